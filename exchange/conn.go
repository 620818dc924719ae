package exchange

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	readBufferBytes  = 16 << 10
	writeBufferBytes = 16 << 10
)

// conn is a connection with its buffers.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// broken is the first error of the connection other than a passed deadline.
	broken atomic.Pointer[error]
	// mayHaveSent is set by the first write of the current exchange.
	mayHaveSent bool
	// mayBuffer is Config.MayBuffer for the current exchange, or nil.
	mayBuffer func(bytes int) bool
	// idleSince is when the connection was last returned to the pool, and
	// idleUntil the time after which it must not be reused.
	idleSince time.Time
	idleUntil time.Time
	// keepAliveTimeout is how long the connection may stay idle according to the server.
	keepAliveTimeout time.Duration
}

// newConn wraps a connection that has just been opened.
func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, keepAliveTimeout: math.MaxInt64}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	c.writer = bufio.NewWriterSize(c, writeBufferBytes)
	return c
}

// Write records that bytes may have been sent, then writes.
func (c *conn) Write(p []byte) (int, error) {
	c.mayHaveSent = true
	n, err := c.Conn.Write(p)
	c.noteBroken(err)
	return n, err
}

// Read reads from the connection. The system reports a reset only once, perhaps to a write,
// and then an end like that of a connection that was closed in order; Read does not.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if broken := c.broken.Load(); broken != nil && errors.Is(err, io.EOF) {
		return n, *broken
	}
	c.noteBroken(err)
	return n, err
}

// noteBroken records an error that ends the connection.
func (c *conn) noteBroken(err error) {
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.broken.CompareAndSwap(nil, &err)
	}
}

// usable reports whether the connection is open and has no unread bytes. Unread bytes
// would be taken for the response to the next request.
func (c *conn) usable() bool {
	return c.reader.Buffered() == 0 && socketIdle(c.Conn)
}

// roomFor reports whether a response body of a given length may be buffered.
func (c *conn) roomFor(length int) bool {
	return length <= smallResponseBytes || c.mayBuffer == nil || c.mayBuffer(length)
}
