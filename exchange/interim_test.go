package exchange_test

import (
	"bufio"
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

// TestInterimBeforeBody: interim responses other than 100 are skipped while the body of a
// request waits for 100, and the body is sent only after that.
func TestInterimBeforeBody(t *testing.T) {
	const body = "the body"
	final := func(status string) string { return "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok" }
	tests := map[string]struct {
		// first is written after the head of the request; then, if it asks for the body,
		// the body is read and answered by second.
		first, second string
		sent          bool
		status        int
		invalid       bool
	}{
		"asked for":             {first: "HTTP/1.1 100 C\r\n\r\n", second: final("200"), sent: true, status: 200},
		"refused":               {first: final("503"), status: 503},
		"102, then asked for":   {first: "HTTP/1.1 102 P\r\n\r\nHTTP/1.1 100 C\r\n\r\n", second: final("200"), sent: true, status: 200},
		"103, then refused":     {first: "HTTP/1.1 103 E\r\nLink: x\r\n\r\n" + final("503"), status: 503},
		"asked for, then 102":   {first: "HTTP/1.1 100 C\r\n\r\n", second: "HTTP/1.1 102 P\r\n\r\n" + final("201"), sent: true, status: 201},
		"asked for twice":       {first: "HTTP/1.1 100 C\r\n\r\n", second: "HTTP/1.1 100 C\r\n\r\n" + final("200"), sent: true, status: 200},
		"101":                   {first: "HTTP/1.1 101 S\r\n\r\n", invalid: true},
		"000":                   {first: final("000"), invalid: true},
		"600":                   {first: final("600"), invalid: true},
		"asked for, then 000":   {first: "HTTP/1.1 100 C\r\n\r\n", second: final("000"), sent: true, invalid: true},
		"interim one, then 600": {first: "HTTP/1.1 102 P\r\n\r\n" + final("600"), invalid: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan string, 1)
			address := serve(t, func(c net.Conn, r *bufio.Reader) {
				var head fasthttp.RequestHeader
				if head.Read(r) != nil {
					return
				}
				_, _ = io.WriteString(c, test.first)
				if test.second != "" {
					text := make([]byte, len(body))
					_, _ = io.ReadFull(r, text)
					received <- string(text)
					_, _ = io.WriteString(c, test.second)
				}
				_, _ = r.ReadByte()
			})
			pool := exchange.New(exchange.Config{Address: address})
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			source := exchange.NewSource(strings.NewReader(body), len(body))
			req, resp := newRequest(), &fasthttp.Response{}
			req.Header.SetMethod("POST")
			req.Header.Set("Expect", "100-continue")
			req.SetBodyStream(source, len(body))
			err := pool.Do(ctx, req, resp)
			if errors.Is(err, exchange.ErrInvalidStatus) != test.invalid || (err != nil) != test.invalid || ctx.Err() != nil {
				t.Fatalf("got error %v", err)
			}
			if source.Consumed() != test.sent || test.sent && <-received != body {
				t.Errorf("body sent: got %t, want %t", source.Consumed(), test.sent)
			}
			if err == nil && (resp.StatusCode() != test.status || string(readAll(t, resp)) != "ok") {
				t.Errorf("got status %d, want %d", resp.StatusCode(), test.status)
			}
		})
	}
}
