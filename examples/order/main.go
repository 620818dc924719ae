// Command order sends an order that runs at most once. It requests an idempotency
// key from a daemon and resends the order with that key until a daemon reports
// that it ran.
//
//	go run ./examples/order 127.0.0.1:8080 127.0.0.1:8090
//
// The arguments are the --listen addresses of one or more daemons.
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
	service     = "orders"
	caller      = "station-12"
	maxSends    = 5
	resendDelay = 200 * time.Millisecond
	timeout     = 5 * time.Second
)

var errNoKey = errors.New("no daemon issued a key")

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: order ADDRESS...")
		os.Exit(2)
	}
	if err := placeOrder(os.Args[1:], `{"movement":"K3"}`); err != nil {
		fmt.Fprintln(os.Stderr, "order:", err)
		os.Exit(1)
	}
}

// placeOrder sends the body to the daemons in turn. The key makes each resend
// safe, whatever the previous send returned.
func placeOrder(daemons []string, body string) error {
	client := &http.Client{Timeout: timeout}
	key, err := requestKey(client, daemons)
	if err != nil {
		return err
	}
	for i := range maxSends {
		outcome, err := sendOnce(client, daemons[i%len(daemons)], key, body)
		fmt.Printf("send %d: %s %v\n", i+1, outcome, err)
		if outcome == "run" {
			return nil
		}
		time.Sleep(resendDelay)
	}
	return fmt.Errorf("no confirmation that the order ran after %d sends with key %s", maxSends, key)
}

// requestKey returns the key from the first daemon that issues one.
func requestKey(client *http.Client, daemons []string) (string, error) {
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

// sendOnce returns the outcome that the daemon reports. Without a complete
// response the outcome is unknown.
func sendOnce(client *http.Client, address, key, body string) (string, error) {
	resp, err := post(client, address, "/orders", key, body)
	if err != nil {
		return "unknown", err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "unknown", fmt.Errorf("read response: %w", err)
	}
	return resp.Header.Get("Pomelodoor-Outcome"), nil
}

func post(client *http.Client, address, path, key, body string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	req.Host = service
	req.Header.Set("Pomelodoor-Caller", caller)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	return resp, nil
}
