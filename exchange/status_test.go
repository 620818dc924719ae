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

// answerAll returns a script that writes text for each request, and leaves the connection
// open.
func answerAll(text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		var req fasthttp.Request
		for req.Read(r) == nil {
			_, _ = io.WriteString(c, text)
		}
	}
}

// TestInvalidStatus: a response with an invalid status is none. It ends the exchange at
// once, as lost, and its connection is closed.
func TestInvalidStatus(t *testing.T) {
	const rest = " X\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
	tests := map[string]struct {
		text    string
		upload  int
		invalid bool
		// status is that of the valid response.
		status int
	}{
		"000":                          {text: "HTTP/1.1 000" + rest, invalid: true},
		"000, long upload":             {text: "HTTP/1.1 000" + rest, upload: 60 << 10, invalid: true},
		"001":                          {text: "HTTP/1.1 001" + rest, invalid: true},
		"099":                          {text: "HTTP/1.1 099" + rest, invalid: true},
		"101":                          {text: "HTTP/1.1 101" + rest, invalid: true},
		"101, upgrade":                 {text: "HTTP/1.1 101 X\r\nId: a\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", invalid: true},
		"101, then 200":                {text: "HTTP/1.1 101 X\r\nId: a\r\n\r\nHTTP/1.1 200" + rest, invalid: true},
		"000, then 200":                {text: "HTTP/1.1 000 X\r\nId: a\r\n\r\nHTTP/1.1 200" + rest, invalid: true},
		"600":                          {text: "HTTP/1.1 600" + rest, invalid: true},
		"999":                          {text: "HTTP/1.1 999" + rest, invalid: true},
		"999, chunks":                  {text: "HTTP/1.1 999 X\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", invalid: true},
		"interim one first":            {text: "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 600" + rest, invalid: true},
		"599":                          {text: "HTTP/1.1 599" + rest, status: 599},
		"200":                          {text: "HTTP/1.1 200" + rest, status: 200},
		"600 of an earlier request":    {text: "HTTP/1.1 600 X\r\nId: z\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200" + rest, status: 200},
		"interim ones, any below 200":  {text: "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 102 X\r\n\r\nHTTP/1.1 199 X\r\n\r\nHTTP/1.1 200" + rest, status: 200},
		"four digits are no status":    {text: "HTTP/1.1 2000" + rest},
		"two digits are no status":     {text: "HTTP/1.1 20" + rest},
		"a negative one is no status":  {text: "HTTP/1.1 -20" + rest},
		"no status":                    {text: "HTTP/1.1 " + rest},
		"000 after a body of 200":      {text: "HTTP/1.1 200" + rest + "HTTP/1.1 000" + rest, status: 200},
		"000 in place of interim ones": {text: "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 000 X\r\nId: a\r\n\r\nHTTP/1.1 200" + rest, invalid: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pool := exchange.New(exchange.Config{Address: serve(t, answerAll(test.text)), MatchesRequest: sameID})
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			req, resp := newRequest(), &fasthttp.Response{}
			req.Header.Set("Id", "a")
			req.SetBodyString(strings.Repeat("u", test.upload))
			err := pool.Do(ctx, req, resp)
			if ctx.Err() != nil {
				t.Fatal("the exchange ended by its deadline")
			}
			if errors.Is(err, exchange.ErrInvalidStatus) != test.invalid || (err == nil) != (test.status != 0) {
				t.Fatalf("got error %v and status %d, want status %d", err, resp.StatusCode(), test.status)
			}
			if err == nil && resp.StatusCode() != test.status {
				t.Fatalf("got status %d, want %d", resp.StatusCode(), test.status)
			}
			if err != nil && (!errors.Is(err, exchange.ErrResponseLost) || pool.Open() != 0) {
				t.Fatalf("got error %v and %d connections, want ErrResponseLost and none", err, pool.Open())
			}
		})
	}
}
