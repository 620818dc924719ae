package ingress

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/memory"
)

// GuardConfig configures a Guard.
type GuardConfig struct {
	Account *memory.Account
	// Source is whose connections these are.
	Source memory.Source
	// MaxConns limits the open connections; the account limits them too.
	MaxConns int
	// Now returns the time.
	Now func() time.Time
}

// Guard holds the connections of a Server to their limits and ends those that hold memory
// without progress. The rules are those of memory.Connections.
type Guard struct {
	now   func() time.Time
	mu    sync.Mutex
	conns *memory.Connections
	// tracked and netConns relate the connections of the listener to those of conns.
	tracked  map[net.Conn]*guardedConn
	netConns map[*memory.Conn]net.Conn
}

// guardedConn is a connection with the response that is being relayed on it, which is released
// once it has been written.
type guardedConn struct {
	conn    *memory.Conn
	relayed *fasthttp.Response
}

// NewGuard returns a Guard for one Server.
func NewGuard(cfg GuardConfig) *Guard {
	return &Guard{
		now:     cfg.Now,
		conns:   memory.NewConnections(cfg.Account, cfg.Source, cfg.MaxConns),
		tracked: map[net.Conn]*guardedConn{}, netConns: map[*memory.Conn]net.Conn{},
	}
}

// Status returns the present state.
func (g *Guard) Status() memory.PortStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conns.Status()
}

// EndStalled ends the connections that hold memory without progress. It must be called several
// times a second.
func (g *Guard) EndStalled() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns.EndStalled(g.now()) {
		netConn := g.netConns[c]
		if c.State() == memory.ReadingBody {
			// The handler can still tell the sender that the request has not run.
			_ = netConn.SetReadDeadline(time.Unix(1, 0))
			continue
		}
		_ = netConn.Close()
	}
}

// open adds a connection that has been accepted, or returns false if there is no room.
func (g *Guard) open(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	opened, end := g.conns.Open(g.now())
	if end != nil {
		_ = g.netConns[end].Close()
	}
	if opened == nil {
		return false
	}
	g.tracked[c], g.netConns[opened] = &guardedConn{conn: opened}, c
	return true
}

// connState follows the states of fasthttp's connections.
func (g *Guard) connState(c net.Conn, state fasthttp.ConnState) {
	if state != fasthttp.StateIdle && state != fasthttp.StateClosed {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	tracked := g.tracked[c]
	if tracked == nil {
		return
	}
	if tracked.relayed != nil {
		fasthttp.ReleaseResponse(tracked.relayed)
		tracked.relayed = nil
	}
	if state == fasthttp.StateIdle {
		g.conns.Done(tracked.conn, g.now())
		return
	}
	g.conns.Close(tracked.conn)
	delete(g.tracked, c)
	delete(g.netConns, tracked.conn)
}

// begin starts a request. It returns nil if there is no room for it.
func (g *Guard) begin(c net.Conn) *Transfer {
	g.mu.Lock()
	defer g.mu.Unlock()
	tracked := g.tracked[c]
	if tracked == nil || !g.conns.Begin(tracked.conn, g.now()) {
		return nil
	}
	return &Transfer{guard: g, tracked: tracked, hold: tracked.conn.Request()}
}

// guardedListener accepts the connections for which a Guard has room.
type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection that may stay open, and closes the others.
func (l guardedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.guard.open(c) {
			return c, err
		}
		_ = c.Close()
	}
}
