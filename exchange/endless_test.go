package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/exchange"
)

// TestEndlessResponses: a server sends bytes without end, in a head or in a body, until
// the connection is closed. The exchange fails, by its deadline at the latest, without
// keeping the bytes, and the connection is not used again.
func TestEndlessResponses(t *testing.T) {
	const (
		deadline = 400 * time.Millisecond
		// maxRead is how much may be taken in of a head before it is given up.
		maxRead = 4 << 20
	)
	tests := map[string]struct {
		begin, repeat string
		// streamed is true if the head is sound, so that the body fails.
		streamed bool
	}{
		"garbage":                   {"", "\x00\x17garbage", false},
		"one line":                  {"", "x", false},
		"empty lines":               {"", "\r\n", false},
		"status line":               {"HTTP/1.1 200 ", "O", false},
		"header name":               {"HTTP/1.1 200 OK\r\n", "a", false},
		"headers":                   {"HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
		"interim responses":         {"", "HTTP/1.1 100 Continue\r\n\r\n", false},
		"answers to other requests": {"", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 1\r\n\r\nx", false},
		"body of another's answer":  {"HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 9000000000000\r\n\r\n", "xxxxxxxx", false},
		"body that ends by closing": {"HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\n", "garbage", true},
		"body longer than any":      {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9223372036854775807\r\n\r\n", "garbage", true},
		"chunk size":                {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "0", true},
		"chunk extension":           {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x", true},
		"garbage for chunks":        {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "garbage", true},
		"chunks":                    {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n", true},
		"trailers":                  {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", true},
		"trailer name":              {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var taken atomic.Int64
			closed := make(chan struct{})
			address := serve(t, func(c net.Conn, r *bufio.Reader) {
				var req fasthttp.Request
				if req.Read(r) != nil {
					return
				}
				defer close(closed)
				block := strings.Repeat(test.repeat, 1+4096/len(test.repeat))
				_, err := io.WriteString(c, test.begin)
				for err == nil {
					_, err = io.WriteString(c, block)
				}
			})
			p := exchange.New(exchange.Config{
				Address: address, MatchesRequest: sameID,
				Dial: func(ctx context.Context, address string) (net.Conn, error) {
					c, err := exchange.Dial(ctx, address)
					return countingConn{c, &taken}, err
				},
			})
			defer p.Close()
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			started := time.Now()
			req, resp := newRequest(), &fasthttp.Response{}
			req.Header.Set("Id", "a")
			err := p.Do(ctx, req, resp)
			if err == nil {
				err = resp.BodyWriteTo(io.Discard)
				_ = resp.CloseBodyStream()
			} else if !errors.Is(err, exchange.ErrResponseLost) {
				t.Errorf("got error %v, want ErrResponseLost", err)
			}
			if err == nil {
				t.Fatal("got a complete response")
			}
			if took := time.Since(started); took > deadline+300*time.Millisecond {
				t.Errorf("gave up after %s, want %s", took, deadline)
			}
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Fatal("the connection was not closed")
			}
			if n := taken.Load(); !test.streamed && name != "body of another's answer" && n > maxRead {
				t.Errorf("took in %d B of a head, want at most %d B", n, maxRead)
			}
			if n := p.Open(); n != 0 {
				t.Errorf("got %d open connections, want 0", n)
			}
		})
	}
}

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Read reads from the connection.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// TestEndlessBodyIsGivenUp: a body that exceeds its limit is given up at once, not at the
// deadline.
func TestEndlessBodyIsGivenUp(t *testing.T) {
	closed := make(chan struct{})
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		defer close(closed)
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(c, "5\r\nhello\r\n")
		}
	})
	p := exchange.New(exchange.Config{Address: address})
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp := &fasthttp.Response{}
	if err := p.Do(ctx, newRequest(), resp); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	if _, err := exchange.ReadBody(resp, 1<<20); !errors.Is(err, exchange.ErrTooLong) {
		t.Fatalf("got error %v, want ErrTooLong", err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection was not closed")
	}
	if took := time.Since(started); took > 3*time.Second {
		t.Fatalf("gave up after %s", took)
	}
}
