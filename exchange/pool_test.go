package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/exchange"
)

// serveRaw writes what respond returns for each request, and closes the connection if
// that is empty.
func serveRaw(t *testing.T, respond func(r *http.Request) string) (address string, connections *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	connections = &atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					text := respond(r)
					if text == "" {
						return
					}
					_, _ = io.WriteString(c, text)
				}
			}()
		}
	}()
	return l.Addr().String(), connections
}

// exchangeOnce sends a GET request with an Id header and returns the response body.
func exchangeOnce(p *exchange.Pool, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetRequestURI("/")
	req.Header.SetHost("h")
	req.Header.Set("Id", id)
	err := p.Do(ctx, req, resp)
	return string(resp.Body()), err
}

func sameID(req *fasthttp.Request, resp *fasthttp.Response) bool {
	return string(req.Header.Peek("Id")) == string(resp.Header.Peek("Id"))
}

func TestMismatchedResponses(t *testing.T) {
	response := func(id, body string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 3\r\n\r\n" + body
	}
	tests := map[string]struct {
		text string
		body string
		lost bool
	}{
		"matching":               {text: response("a", "own"), body: "own"},
		"one mismatch first":     {text: response("z", "old") + response("a", "own"), body: "own"},
		"two mismatches first":   {text: response("y", "old") + response("z", "old") + response("a", "own"), body: "own"},
		"three mismatches first": {text: response("x", "old") + response("y", "old") + response("z", "old") + response("a", "own"), lost: true},
		"chunked mismatch first": {text: "HTTP/1.1 200 OK\r\nId: z\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + response("a", "own"), lost: true},
		"mismatch cut short":     {text: "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 30\r\n\r\nold", lost: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := serveRaw(t, func(*http.Request) string { return test.text })
			p := exchange.New(exchange.Config{Address: address, MatchesRequest: sameID})
			defer p.Close()
			body, err := exchangeOnce(p, "a")
			if errors.Is(err, exchange.ErrResponseLost) != test.lost || !test.lost && body != test.body {
				t.Fatalf("got body %q, error %v", body, err)
			}
		})
	}
}

func TestServerKeepAliveTimeout(t *testing.T) {
	tests := map[string]struct {
		header string
		reused bool
	}{
		"no header":             {"", true},
		"long timeout":          {"Keep-Alive: timeout=5, max=100\r\n", true},
		"timeout of one second": {"Keep-Alive: timeout=1\r\n", false},
		"not a number":          {"Keep-Alive: timeout=soon\r\n", true},
		"no timeout parameter":  {"Keep-Alive: max=3\r\n", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, connections := serveRaw(t, func(*http.Request) string {
				return "HTTP/1.1 200 OK\r\n" + test.header + "Content-Length: 0\r\n\r\n"
			})
			p := exchange.New(exchange.Config{Address: address})
			defer p.Close()
			if _, err := exchangeOnce(p, "a"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(700 * time.Millisecond)
			if _, err := exchangeOnce(p, "b"); err != nil {
				t.Fatal(err)
			}
			if reused := connections.Load() == 1; reused != test.reused {
				t.Fatalf("got %d connections", connections.Load())
			}
		})
	}
}

// TestLostConnectionFlushesPool: when one connection breaks, connections that were idle
// at that time are often broken too.
func TestLostConnectionFlushesPool(t *testing.T) {
	address, _ := serveRaw(t, func(r *http.Request) string {
		switch r.Header.Get("Id") {
		case "break":
			return ""
		case "wait":
			time.Sleep(100 * time.Millisecond)
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	})
	p := exchange.New(exchange.Config{Address: address})
	defer p.Close()
	done := make(chan error, 3)
	for range 3 {
		go func() {
			_, err := exchangeOnce(p, "wait")
			done <- err
		}()
	}
	for range 3 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	if n := p.Open(); n != 3 {
		t.Fatalf("got %d open connections, want 3", n)
	}
	if _, err := exchangeOnce(p, "break"); !errors.Is(err, exchange.ErrResponseLost) {
		t.Fatalf("got error %v, want ErrResponseLost", err)
	}
	if n := p.Open(); n != 0 {
		t.Fatalf("got %d open connections after a lost one, want 0", n)
	}
}

// TestDeadlineErrorOverConnectionError: the connection's deadline and that of the context
// are the same moment, and either may fire first. The error must name the deadline.
func TestDeadlineErrorOverConnectionError(t *testing.T) {
	address, _ := serveRaw(t, func(*http.Request) string {
		time.Sleep(100 * time.Millisecond)
		return ""
	})
	p := exchange.New(exchange.Config{Address: address, MaxConns: 400})
	defer p.Close()
	errs := make(chan error, 300)
	for range cap(errs) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 40*time.Millisecond)
			defer cancel()
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.Header.SetRequestURI("/")
			req.Header.SetHost("h")
			errs <- p.Do(ctx, req, resp)
		}()
	}
	for range cap(errs) {
		if err := <-errs; !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got error %v, want context.DeadlineExceeded", err)
		}
	}
}

// TestDeadlineWhileDialing: a connection that does not open before the deadline does not
// show that the upstream is down. The error must name the deadline.
func TestDeadlineWhileDialing(t *testing.T) {
	p := exchange.New(exchange.Config{Address: "127.0.0.1:1", Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		deadline, _ := ctx.Deadline()
		time.Sleep(time.Until(deadline))
		// Package net does the same, possibly before the context's own timer fires.
		return nil, os.ErrDeadlineExceeded
	}})
	defer p.Close()
	for range 50 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetRequestURI("/")
		req.Header.SetHost("h")
		err := p.Do(ctx, req, resp)
		cancel()
		if !errors.Is(err, exchange.ErrNotSent) || !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got error %v, want ErrNotSent and context.DeadlineExceeded", err)
		}
	}
}

// TestContextEndsDuringDial guards against a request that is written although its caller
// has left while the connection was opened.
func TestContextEndsDuringDial(t *testing.T) {
	var received atomic.Int64
	address := serve(t, func(_ net.Conn, r *bufio.Reader) {
		if _, err := r.Peek(1); err == nil {
			received.Add(1)
		}
	})
	var leave context.CancelFunc
	p := exchange.New(exchange.Config{Address: address, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		c, err := exchange.Dial(ctx, address)
		leave()
		return c, err
	}})
	for range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		leave = cancel
		p.Flush()
		if err := p.Do(ctx, newRequest(), &fasthttp.Response{}); !errors.Is(err, exchange.ErrNotSent) || !errors.Is(err, context.Canceled) {
			t.Fatalf("got error %v, want ErrNotSent and Canceled", err)
		}
	}
	p.Close()
	time.Sleep(50 * time.Millisecond)
	if n := received.Load(); n != 0 || p.Open() != 0 {
		t.Fatalf("%d requests were written, %d connections are open", n, p.Open())
	}
}
