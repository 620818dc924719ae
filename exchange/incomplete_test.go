package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/exchange"
)

// afterWriteConn delays each read until a write on the connection has failed, as the
// scheduler may.
type afterWriteConn struct {
	net.Conn
	once   sync.Once
	failed chan struct{}
}

// Read reads once a write has failed.
func (c *afterWriteConn) Read(b []byte) (int, error) {
	select {
	case <-c.failed:
	case <-time.After(2 * time.Second):
	}
	return c.Conn.Read(b)
}

// Write records a failure.
func (c *afterWriteConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

// resetAfter returns a script that reads the head of a request, answers it and resets
// the connection.
func resetAfter(answer string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		var head fasthttp.RequestHeader
		if head.Read(r) != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// TestIncompleteResponses: a response that breaks off is never taken for a complete one.
// Each case is read twice more after its end, as a writer of chunks does.
func TestIncompleteResponses(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct {
		script func(net.Conn, *bufio.Reader)
		// upload is true for a request body that is longer than the socket buffers.
		upload bool
		// readLate delays reads until a write has failed.
		readLate bool
	}{
		"no length, reset":                             {script: resetAfter("HTTP/1.1 200 OK\r\n\r\npart")},
		"no length, reset during a long upload":        {script: resetAfter("HTTP/1.1 200 OK\r\n\r\npart"), upload: true},
		"no length, the writer of the upload fails":    {script: resetAfter("HTTP/1.1 200 OK\r\n\r\npart"), upload: true, readLate: true},
		"empty, no length, the writer fails":           {script: resetAfter("HTTP/1.1 200 OK\r\n\r\n"), upload: true, readLate: true},
		"chunks, reset":                                {script: resetAfter(chunked + "4\r\npart\r\n")},
		"chunks, the writer of the upload fails":       {script: resetAfter(chunked + "4\r\npart\r\n"), upload: true, readLate: true},
		"chunks, closed between two":                   {script: writeResponse(chunked + "4\r\npart\r\n")},
		"chunks, closed within one":                    {script: writeResponse(chunked + "9\r\npart")},
		"chunks, closed after the last one":            {script: writeResponse(chunked + "4\r\npart\r\n0\r\n")},
		"chunks, one is longer than it says":           {script: writeResponse(chunked + "4\r\npart00\r\n\r\n")},
		"long, closed early":                           {script: writeResponse("HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\npart")},
		"long, the writer of the upload fails":         {script: resetAfter("HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\npart"), upload: true, readLate: true},
		"short, closed early":                          {script: writeResponse("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")},
		"short, the writer of the upload fails":        {script: resetAfter("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"), upload: true, readLate: true},
		"upgrade, no length, the writer fails":         {script: resetAfter("HTTP/1.1 200 OK\r\nConnection: Upgrade\r\n\r\npart"), upload: true, readLate: true},
		"HTTP/1.0 with chunks, the writer fails":       {script: resetAfter("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"), upload: true, readLate: true},
		"no length, error status, the writer fails":    {script: resetAfter("HTTP/1.1 503 Full\r\n\r\npart"), upload: true, readLate: true},
		"no length, closed with unread upload (reset)": {script: writeUnread("HTTP/1.1 200 OK\r\n\r\npart"), upload: true, readLate: true},
	}
	upload := make([]byte, 16<<20)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pool := exchange.New(exchange.Config{Address: serve(t, test.script), Dial: func(ctx context.Context, address string) (net.Conn, error) {
				c, err := exchange.Dial(ctx, address)
				if err != nil || !test.readLate {
					return c, err
				}
				return &afterWriteConn{Conn: c, failed: make(chan struct{})}, nil
			}})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			req, resp := newRequest(), &fasthttp.Response{}
			if test.upload {
				req.Header.SetMethod("POST")
				req.SetBodyRaw(upload)
			}
			err := pool.Do(ctx, req, resp)
			if err == nil {
				if !resp.IsBodyStream() {
					t.Fatalf("got the complete response %q", resp.Body())
				}
				_, err = io.ReadAll(resp.BodyStream())
				for range 2 {
					if _, again := resp.BodyStream().Read(make([]byte, 9)); again == nil || errors.Is(again, io.EOF) {
						t.Errorf("got %v after the end, want an error", again)
					}
				}
			}
			if !errors.Is(err, exchange.ErrResponseLost) {
				t.Fatalf("got error %v, want ErrResponseLost", err)
			}
			_ = resp.CloseBodyStream()
			if n := pool.Open(); n != 0 {
				t.Errorf("got %d open connections, want 0", n)
			}
		})
	}
}

// writeUnread returns a script that reads the head of a request, answers it and closes
// the connection, which resets it because the rest of the request is unread.
func writeUnread(answer string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		var head fasthttp.RequestHeader
		if head.Read(r) == nil {
			_, _ = io.WriteString(c, answer)
			time.Sleep(20 * time.Millisecond)
		}
	}
}
