package exchange

import (
	"bufio"
	"math"
	"net"
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
	c.reader = bufio.NewReaderSize(raw, readBufferBytes)
	c.writer = bufio.NewWriterSize(c, writeBufferBytes)
	return c
}

// Write records that bytes may have been sent, then writes.
func (c *conn) Write(p []byte) (int, error) {
	c.mayHaveSent = true
	return c.Conn.Write(p)
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
