package standin

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// ErrNotLoopback is returned for an address that other machines could reach.
var ErrNotLoopback = errors.New("address is not on loopback")

// anyPort is the address that lets the system choose a free loopback port.
const anyPort = "127.0.0.1:0"

// A child process holds every descriptor of its parent until it has become its
// own program, also those that the parent closes meanwhile.
const (
	// childTime bounds how long a child may hold a closed socket.
	childTime = time.Second
	// childPause is the time between two tries to listen.
	childPause = time.Millisecond
)

// Listener accepts loopback connections and remembers them, so that closing it
// closes them too, as the end of a process would.
type Listener struct {
	net.Listener
	openTime time.Duration

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// conn delays its first read by the time that opening a connection takes.
type conn struct {
	net.Conn
	owner *Listener
	wait  time.Duration
}

// Listen opens a loopback listener whose connections take openTime before the
// first byte is read. An empty address means any free port.
func Listen(addr string, openTime time.Duration) (*Listener, error) {
	if addr == "" {
		addr = anyPort
	}
	if err := checkLoopback(addr); err != nil {
		return nil, err
	}
	l, err := listenAgain(addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return &Listener{Listener: l, openTime: openTime, conns: make(map[*conn]struct{})}, nil
}

// listenAgain listens on an address, and tries again while a process being
// started may still hold the socket that listened there before.
func listenAgain(addr string) (net.Listener, error) {
	for end := time.Now().Add(childTime); ; time.Sleep(childPause) {
		l, err := net.Listen("tcp", addr)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return l, err
		}
	}
}

// checkLoopback returns ErrNotLoopback unless addr names a loopback IP.
func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("address %q: %w", addr, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("address %q: %w", addr, ErrNotLoopback)
	}
	return nil
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &conn{Conn: c, owner: l, wait: l.openTime}
	l.mu.Lock()
	l.conns[tracked] = struct{}{}
	l.mu.Unlock()
	return tracked, nil
}

// Kill closes the listener and resets every open connection.
func (l *Listener) Kill() {
	_ = l.Close()
	l.mu.Lock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		Reset(c)
	}
}

// Read waits out the opening time once, then reads.
func (c *conn) Read(p []byte) (int, error) {
	if c.wait > 0 {
		time.Sleep(c.wait)
		c.wait = 0
	}
	return c.Conn.Read(p)
}

// CloseWrite ends the sending half of the connection.
func (c *conn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.CloseWrite()
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// Reset closes a connection so that the other side sees a reset.
func Reset(c net.Conn) {
	if tracked, ok := c.(*conn); ok {
		defer func() { _ = tracked.Close() }()
		c = tracked.Conn
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
