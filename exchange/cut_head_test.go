package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"pomelodoor.example/pomelodoor/exchange"
)

// TestCutHeads cuts a response at each byte of its head. The server closes or resets the
// connection there; that is never a response.
func TestCutHeads(t *testing.T) {
	heads := map[string]string{
		"length":           "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\n",
		"empty body first": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: a\r\n\r\n",
		"chunks":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: a\r\n\r\n",
		"no length":        "HTTP/1.1 200 OK\r\nId: a\r\n\r\n",
		"no content":       "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n",
		"old version":      "HTTP/1.0 200 OK\r\nId: a\r\n\r\n",
		"after an interim": "HTTP/1.1 103 Early\r\nId: a\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n\r\n",
	}
	closings := map[string]func(string) func(net.Conn, *bufio.Reader){"closed": writeResponse, "reset": resetAfter}
	for name, head := range heads {
		for closing, script := range closings {
			for _, upload := range []int{1, 60 << 10} {
				t.Run(fmt.Sprintf("%s, %s, %d B sent", name, closing, upload), func(t *testing.T) {
					t.Parallel()
					var length atomic.Int32
					pool := exchange.New(exchange.Config{Address: serve(t, func(c net.Conn, r *bufio.Reader) { script(head[:length.Load()])(c, r) })})
					for cut := range len(head) {
						length.Store(int32(cut))
						status, _, err := receiveFrom(pool, upload)
						if !errors.Is(err, exchange.ErrResponseLost) || errors.Is(err, context.DeadlineExceeded) {
							t.Errorf("cut after %q: got status %d and error %v, want ErrResponseLost at once", head[:cut], status, err)
						}
					}
				})
			}
		}
	}
}
