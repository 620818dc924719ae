// Command order sends one order that runs at most once: it asks a daemon for a
// key, and sends the order with it until it knows what became of it.
//
//	go run ./examples/order 127.0.0.1:8080 127.0.0.1:8090
//
// The addresses are those of any daemons, as given by --listen.
package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	service  = "orders"
	caller   = "station-12"
	maxSends = 5
	pause    = 200 * time.Millisecond
	timeout  = 5 * time.Second
)

var errNoKey = errors.New("no daemon issued a key")

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: order ADDRESS...")
		os.Exit(2)
	}
	if err := order(os.Args[1:], `{"movement":"K3"}`); err != nil {
		fmt.Fprintln(os.Stderr, "order:", err)
		os.Exit(1)
	}
}

// order sends the body through one daemon after another. With a key every send
// is safe, whatever the answer to the one before was.
func order(daemons []string, body string) error {
	client := &http.Client{Timeout: timeout}
	key, err := askForKey(client, daemons)
	if err != nil {
		return err
	}
	for i := range maxSends {
		outcome, err := send(client, daemons[i%len(daemons)], key, body)
		fmt.Printf("send %d: %s %v\n", i+1, outcome, err)
		if outcome == "run" {
			return nil
		}
		time.Sleep(pause)
	}
	return fmt.Errorf("not known to have run after %d sends; the key is %s", maxSends, key)
}

// askForKey asks each daemon in turn.
func askForKey(client *http.Client, daemons []string) (string, error) {
	for _, address := range daemons {
		resp, err := post(client, address, "/.well-known/pomelodoor/key", "", "")
		if err != nil {
			continue
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			return string(text), nil
		}
	}
	return "", errNoKey
}

// send returns the outcome that the daemon tells. A lost answer is unknown.
func send(client *http.Client, address, key, body string) (string, error) {
	resp, err := post(client, address, "/orders", key, body)
	if err != nil {
		return "unknown", err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "unknown", fmt.Errorf("read the answer: %w", err)
	}
	return resp.Header.Get("Pomelodoor-Outcome"), nil
}

func post(client *http.Client, address, path, key, body string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make the request: %w", err)
	}
	req.Host = service
	req.Header.Set("Pomelodoor-Caller", caller)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send the request: %w", err)
	}
	return resp, nil
}
