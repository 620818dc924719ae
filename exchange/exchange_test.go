package exchange_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/exchange"
)

// serve answers each connection with script and returns the address.
func serve(t *testing.T, script func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// answer returns a script that reads each request and writes text.
func answer(text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		var req fasthttp.Request
		for req.Read(r) == nil {
			if _, err := io.WriteString(c, text); err != nil || !strings.Contains(text, "keep") {
				return
			}
		}
	}
}

func TestDoOutcome(t *testing.T) {
	long := strings.Repeat("x", exchange.HeldBytes+1)
	cases := map[string]struct {
		script func(net.Conn, *bufio.Reader)
		body   io.Reader
		length int
		want   error
		text   string
	}{
		"whole answer":      {script: answer("HTTP/1.1 200 OK\r\nX: keep\r\nContent-Length: 2\r\n\r\nok"), text: "ok"},
		"interim answer":    {script: answer("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), text: "ok"},
		"chunked answer":    {script: answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), text: "ok"},
		"long answer":       {script: answer("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + long), text: long},
		"short answer":      {script: answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), want: exchange.ErrLost},
		"closed at once":    {script: answer(""), want: exchange.ErrLost},
		"garbage":           {script: answer("\x00\x01\x02\r\n\r\n"), want: exchange.ErrLost},
		"body cut short":    {script: answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), body: strings.NewReader("abc"), length: 9, want: exchange.ErrBodySource},
		"endless interim":   {script: answer(strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", 9)), want: exchange.ErrLost},
		"no content answer": {script: answer("HTTP/1.1 204 No Content\r\n\r\n")},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			pool := exchange.New(exchange.Config{Address: serve(t, tc.script)})
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			req, resp := newRequest(), &fasthttp.Response{}
			if tc.body != nil {
				req.SetBodyStream(exchange.NewSource(tc.body, tc.length), tc.length)
			}
			err := pool.Do(ctx, req, resp)
			if !errors.Is(err, tc.want) {
				t.Fatalf("error %v, want %v", err, tc.want)
			}
			if err == nil && string(readAll(t, resp)) != tc.text {
				t.Fatalf("answer differs from what was sent")
			}
		})
	}
}

func TestNotSentWhenNobodyListens(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	err = exchange.New(exchange.Config{Address: address}).Do(context.Background(), newRequest(), &fasthttp.Response{})
	if !errors.Is(err, exchange.ErrNotSent) {
		t.Fatalf("error %v, want ErrNotSent", err)
	}
}

// TestLateAnswerNeverReachesNextRequest covers hard case 12: the first request
// times out, its answer comes late, and the second must not receive it.
func TestLateAnswerNeverReachesNextRequest(t *testing.T) {
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		var req fasthttp.Request
		for req.Read(r) == nil {
			path := string(req.RequestURI())
			if path == "/first" {
				time.Sleep(60 * time.Millisecond)
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+itoa(len(path))+"\r\n\r\n"+path)
		}
	})
	pool := exchange.New(exchange.Config{Address: address})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	first := newRequest()
	first.SetRequestURI("/first")
	if err := pool.Do(ctx, first, &fasthttp.Response{}); !errors.Is(err, exchange.ErrLost) {
		t.Fatalf("first: %v, want ErrLost", err)
	}
	time.Sleep(60 * time.Millisecond)
	second, resp := newRequest(), &fasthttp.Response{}
	second.SetRequestURI("/second")
	if err := pool.Do(context.Background(), second, resp); err != nil {
		t.Fatalf("second: %v", err)
	}
	if got := string(resp.Body()); got != "/second" {
		t.Fatalf("second request received %q", got)
	}
}

// TestStrayBytesCostTheConnection sends an answer that nobody asked for.
func TestStrayBytesCostTheConnection(t *testing.T) {
	address := serve(t, answer("HTTP/1.1 200 OK\r\nX: keep\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"))
	pool := exchange.New(exchange.Config{Address: address})
	for range 3 {
		resp := &fasthttp.Response{}
		if err := pool.Do(context.Background(), newRequest(), resp); err != nil {
			t.Fatal(err)
		}
		if got := string(resp.Body()); got != "ok" {
			t.Fatalf("received %q", got)
		}
	}
}

// TestStaleConnectionIsNotUsed closes the server's end of an idle connection:
// the next request must open another rather than be lost on it.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	address := serve(t, answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	pool := exchange.New(exchange.Config{Address: address})
	for range 5 {
		if err := pool.Do(context.Background(), newRequest(), &fasthttp.Response{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		<-release
	})
	defer close(release)
	pool := exchange.New(exchange.Config{Address: address, MaxConns: 1})
	ctx, cancel := context.WithCancel(context.Background())
	held := make(chan error, 1)
	go func() { held <- pool.Do(ctx, newRequest(), &fasthttp.Response{}) }()
	for pool.Open() == 0 {
		time.Sleep(time.Millisecond)
	}
	err := pool.Do(context.Background(), newRequest(), &fasthttp.Response{})
	if !errors.Is(err, exchange.ErrBusy) || !errors.Is(err, exchange.ErrNotSent) {
		t.Fatalf("error %v, want ErrBusy and ErrNotSent", err)
	}
	cancel()
	if err := <-held; !errors.Is(err, exchange.ErrLost) || !errors.Is(err, context.Canceled) {
		t.Fatalf("cancelled: %v", err)
	}
	if n := pool.Open(); n != 0 {
		t.Fatalf("%d connections open after the cancel", n)
	}
}

func newRequest() *fasthttp.Request {
	req := &fasthttp.Request{}
	req.SetRequestURI("/")
	req.Header.SetHost("faults")
	return req
}

func readAll(t *testing.T, resp *fasthttp.Response) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := resp.BodyWriteTo(&b); err != nil {
		t.Fatalf("read the body: %v", err)
	}
	return b.Bytes()
}

func itoa(n int) string { return string(rune('0' + n)) }
