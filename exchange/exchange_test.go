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

// serve runs script on each connection and returns the address.
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

// writeResponse returns a script that writes text for each request. It closes the
// connection after the first one unless text contains "keep".
func writeResponse(text string) func(net.Conn, *bufio.Reader) {
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
	long := strings.Repeat("x", exchange.MaxBufferedBytes+1)
	cases := map[string]struct {
		script func(net.Conn, *bufio.Reader)
		body   io.Reader
		length int
		want   error
		text   string
	}{
		"complete response":          {script: writeResponse("HTTP/1.1 200 OK\r\nX: keep\r\nContent-Length: 2\r\n\r\nok"), text: "ok"},
		"interim response":           {script: writeResponse("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), text: "ok"},
		"chunked response":           {script: writeResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), text: "ok"},
		"long response":              {script: writeResponse("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + long), text: long},
		"response body cut short":    {script: writeResponse("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), want: exchange.ErrResponseLost},
		"closed at once":             {script: writeResponse(""), want: exchange.ErrResponseLost},
		"garbage":                    {script: writeResponse("\x00\x01\x02\r\n\r\n"), want: exchange.ErrResponseLost},
		"request body cut short":     {script: writeResponse("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), body: strings.NewReader("abc"), length: 9, want: exchange.ErrBodySource},
		"only interim responses":     {script: writeResponse(strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", 9)), want: exchange.ErrResponseLost},
		"many interim responses":     {script: writeResponse(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 200) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), text: "ok"},
		"too many interim responses": {script: writeResponse(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 2000) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), want: exchange.ErrResponseLost},
		"no content":                 {script: writeResponse("HTTP/1.1 204 No Content\r\n\r\n")},
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
				t.Fatalf("got error %v, want %v", err, tc.want)
			}
			if err == nil && string(readAll(t, resp)) != tc.text {
				t.Fatalf("response body differs from what the server sent")
			}
		})
	}
}

func TestNotSentWhenConnectionRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	err = exchange.New(exchange.Config{Address: address}).Do(context.Background(), newRequest(), &fasthttp.Response{})
	if !errors.Is(err, exchange.ErrNotSent) {
		t.Fatalf("got error %v, want ErrNotSent", err)
	}
}

// TestLateResponseNeverReachesNextRequest: the first request times out and its response
// arrives late. The second request must not receive it.
func TestLateResponseNeverReachesNextRequest(t *testing.T) {
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		var req fasthttp.Request
		for req.Read(r) == nil {
			path := string(req.RequestURI())
			if path == "/first" {
				time.Sleep(60 * time.Millisecond)
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+digit(len(path))+"\r\n\r\n"+path)
		}
	})
	pool := exchange.New(exchange.Config{Address: address})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	first := newRequest()
	first.SetRequestURI("/first")
	if err := pool.Do(ctx, first, &fasthttp.Response{}); !errors.Is(err, exchange.ErrResponseLost) {
		t.Fatalf("first request: got error %v, want ErrResponseLost", err)
	}
	time.Sleep(60 * time.Millisecond)
	second, resp := newRequest(), &fasthttp.Response{}
	second.SetRequestURI("/second")
	if err := pool.Do(context.Background(), second, resp); err != nil {
		t.Fatalf("second request: %v", err)
	}
	if got := string(resp.Body()); got != "/second" {
		t.Fatalf("second request: got body %q, want /second", got)
	}
}

// TestUnreadBytesDiscardConnection: the server sends a second, unrequested response.
func TestUnreadBytesDiscardConnection(t *testing.T) {
	address := serve(t, writeResponse("HTTP/1.1 200 OK\r\nX: keep\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"))
	pool := exchange.New(exchange.Config{Address: address})
	for range 3 {
		resp := &fasthttp.Response{}
		if err := pool.Do(context.Background(), newRequest(), resp); err != nil {
			t.Fatal(err)
		}
		if got := string(resp.Body()); got != "ok" {
			t.Fatalf("got body %q, want ok", got)
		}
	}
}

// TestConnectionClosedByServerIsNotReused closes the server's end of an idle connection.
// The next request must open another one rather than be lost on it.
func TestConnectionClosedByServerIsNotReused(t *testing.T) {
	address := serve(t, writeResponse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	pool := exchange.New(exchange.Config{Address: address})
	for range 5 {
		if err := pool.Do(context.Background(), newRequest(), &fasthttp.Response{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestMaxConns: a connection that is still being opened counts towards the limit, and a
// request that was sent before its caller left may have run. Opening the connection
// takes a while, so that a test that does not wait for the request to arrive fails.
func TestMaxConns(t *testing.T) {
	const dialTime = 20 * time.Millisecond
	arrived, release := make(chan struct{}), make(chan struct{})
	address := serve(t, func(_ net.Conn, r *bufio.Reader) {
		var req fasthttp.Request
		if req.Read(r) == nil {
			close(arrived)
		}
		<-release
	})
	defer close(release)
	pool := exchange.New(exchange.Config{Address: address, MaxConns: 1, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		time.Sleep(dialTime)
		return exchange.Dial(ctx, address)
	}})
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() { first <- pool.Do(ctx, newRequest(), &fasthttp.Response{}) }()
	for pool.Open() == 0 {
		time.Sleep(time.Millisecond)
	}
	err := pool.Do(context.Background(), newRequest(), &fasthttp.Response{})
	if !errors.Is(err, exchange.ErrBusy) || !errors.Is(err, exchange.ErrNotSent) {
		t.Fatalf("got error %v, want ErrBusy and ErrNotSent", err)
	}
	<-arrived
	cancel()
	if err := <-first; !errors.Is(err, exchange.ErrResponseLost) || !errors.Is(err, context.Canceled) {
		t.Fatalf("cancelled request: got error %v, want ErrResponseLost and context.Canceled", err)
	}
	if n := pool.Open(); n != 0 {
		t.Fatalf("got %d open connections after the cancellation, want 0", n)
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

func digit(n int) string { return string(rune('0' + n)) }
