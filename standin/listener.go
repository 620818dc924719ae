package standin

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// ErrNotLoopback is returned for an address that is reachable from other
// machines.
var ErrNotLoopback = errors.New("not a loopback address")

// anyPort is the address for which the system chooses a free loopback port.
const anyPort = "127.0.0.1:0"

// A child process inherits all file descriptors of its parent until exec, even
// those that the parent closes in the meantime.
const (
	// childFDTimeout limits how long a child process may keep a closed socket
	// open.
	childFDTimeout = time.Second
	// listenRetryInterval is the interval between attempts to listen.
	listenRetryInterval = time.Millisecond
)

// Listener accepts loopback connections and tracks them, so that Kill can reset
// them as the end of a process would.
type Listener struct {
	net.Listener
	openDelay time.Duration

	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

// trackedConn is a connection of a Listener. It delays its first read by
// openDelay.
type trackedConn struct {
	net.Conn
	owner     *Listener
	openDelay time.Duration
}

// Listen opens a loopback listener. The first read of each accepted connection
// is delayed by openDelay. An empty address selects a free port.
func Listen(addr string, openDelay time.Duration) (*Listener, error) {
	if addr == "" {
		addr = anyPort
	}
	if err := checkLoopback(addr); err != nil {
		return nil, err
	}
	l, err := listenWithRetry(addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return &Listener{Listener: l, openDelay: openDelay, conns: make(map[*trackedConn]struct{})}, nil
}

// listenWithRetry listens on an address. It retries while the address is in use,
// since a child process that is being started may still hold the previous
// listening socket.
func listenWithRetry(addr string) (net.Listener, error) {
	for end := time.Now().Add(childFDTimeout); ; time.Sleep(listenRetryInterval) {
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
		return fmt.Errorf("parse address %q: %w", addr, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("check address %q: %w", addr, ErrNotLoopback)
	}
	return nil
}

// Accept waits for the next connection and tracks it.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: c, owner: l, openDelay: l.openDelay}
	l.mu.Lock()
	l.conns[tracked] = struct{}{}
	l.mu.Unlock()
	return tracked, nil
}

// Kill closes the listener and resets every open connection.
func (l *Listener) Kill() {
	_ = l.Close()
	l.mu.Lock()
	open := make([]*trackedConn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		Reset(c)
	}
}

// Read reads from the connection. The first call waits for openDelay.
func (c *trackedConn) Read(p []byte) (int, error) {
	if c.openDelay > 0 {
		time.Sleep(c.openDelay)
		c.openDelay = 0
	}
	return c.Conn.Read(p)
}

// CloseWrite shuts down the writing side of the connection.
func (c *trackedConn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.CloseWrite()
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// Reset closes a connection with a TCP reset.
func Reset(c net.Conn) {
	if tracked, ok := c.(*trackedConn); ok {
		defer func() { _ = tracked.Close() }()
		c = tracked.Conn
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
