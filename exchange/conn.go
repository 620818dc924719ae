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

// conn is one connection with its buffers.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// wrote is set by the first attempt to write in this exchange.
	wrote bool
	// idleSince is when the connection was last put back, and idleUntil how
	// long it may be taken again.
	idleSince time.Time
	idleUntil time.Time
	// keepAlive is how long the server says it keeps the connection idle.
	keepAlive time.Duration
}

// newConn wraps a connection that has just been opened.
func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, keepAlive: math.MaxInt64}
	c.reader = bufio.NewReaderSize(raw, readBufferBytes)
	c.writer = bufio.NewWriterSize(c, writeBufferBytes)
	return c
}

// Write notes that bytes may have left, then writes.
func (c *conn) Write(p []byte) (int, error) {
	c.wrote = true
	return c.Conn.Write(p)
}

// usable reports whether the connection is open with nothing waiting on it.
// Bytes that nobody asked for would be taken for the next request's answer.
func (c *conn) usable() bool {
	return c.reader.Buffered() == 0 && quiet(c.Conn)
}
