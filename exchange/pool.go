package exchange

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	defaultMaxConns    = 64
	defaultMaxIdle     = 5 * time.Second
	defaultDialTimeout = time.Second
)

// Config configures a Pool.
type Config struct {
	// Address is IP:PORT.
	Address string
	// MaxConns limits the open connections; 64 when zero.
	MaxConns int
	// MaxIdle is how long an idle connection is kept; 5 s when zero. It must be
	// shorter than the server's idle timeout, so that the server does not close a
	// connection while a request is being sent on it.
	MaxIdle time.Duration
	// DialTimeout limits the opening of a connection; 1 s when zero.
	DialTimeout time.Duration
	// Dial opens a connection; TCP when nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MatchesRequest reports whether a response belongs to the request; nil accepts
	// every response. One that does not belong is discarded: a server that answered
	// an earlier request late, or twice, sends it before the right one.
	MatchesRequest func(req *fasthttp.Request, resp *fasthttp.Response) bool
	// Attributable reports whether a copy of the response that arrives later cannot be
	// taken for the response to another request; nil accepts every response. After a
	// response that is not attributable the connection is closed.
	Attributable func(resp *fasthttp.Response) bool
	// Abandoned reports whether a request is not to be sent any more. It is called once
	// the request has a connection, the opening of which may have taken long; nil sends
	// all.
	Abandoned func(ctx context.Context, now time.Time) bool
	// MayBuffer reports whether there is memory to buffer so many bytes of a response, which
	// is streamed otherwise; nil buffers all. It is not asked about the smallest ones.
	MayBuffer func(ctx context.Context, bytes int) bool
	// Now returns the time for idle timeouts; time.Now when nil.
	Now func() time.Time
}

// Pool holds the connections to one address. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// New returns a pool without open connections.
func New(cfg Config) *Pool {
	if cfg.MaxConns == 0 {
		cfg.MaxConns = defaultMaxConns
	}
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = defaultMaxIdle
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.Dial == nil {
		cfg.Dial = Dial
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Pool{cfg: cfg}
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// SetMaxConns changes the limit on open connections. Connections above it are closed
// when their exchange ends.
func (p *Pool) SetMaxConns(n int) {
	p.mu.Lock()
	p.cfg.MaxConns = n
	p.mu.Unlock()
}

// Sweep closes the connections that have been idle for longer than MaxIdle.
func (p *Pool) Sweep() {
	oldest := p.cfg.Now().Add(-p.cfg.MaxIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleSince(oldest)
}

// Close closes the idle connections and rejects new requests. Exchanges in progress
// finish.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.closed = true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// get returns a usable idle connection, or opens one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		if !p.cfg.Now().After(c.idleUntil) && c.usable() {
			c.mayHaveSent = false
			return c, nil
		}
		p.discard(c)
	}
}

// pop returns the most recently used idle connection, or nil, after closing those
// that have been idle for too long.
func (p *Pool) pop() *conn {
	oldest := p.cfg.Now().Add(-p.cfg.MaxIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleSince(oldest)
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

// closeIdleSince closes the connections that have been idle since before oldest. They
// come first in the list.
func (p *Pool) closeIdleSince(oldest time.Time) {
	for len(p.idle) > 0 && p.idle[0].idleSince.Before(oldest) {
		_ = p.idle[0].Close()
		p.idle[0] = nil
		p.idle = p.idle[1:]
		p.open--
	}
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	if err := p.reserve(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	raw, err := p.cfg.Dial(ctx, p.cfg.Address)
	if err != nil {
		p.release()
		return nil, fmt.Errorf("dial %s: %w", p.cfg.Address, err)
	}
	return newConn(raw), nil
}

func (p *Pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return ErrClosed
	}
	if p.open >= p.cfg.MaxConns {
		return ErrBusy
	}
	p.open++
	return nil
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put returns a connection to the pool after its last response was read to the end.
func (p *Pool) put(c *conn) {
	_ = c.SetDeadline(time.Time{})
	c.mayBuffer = nil
	c.idleSince = p.cfg.Now()
	c.idleUntil = c.idleSince.Add(min(p.cfg.MaxIdle, c.keepAliveTimeout))
	p.mu.Lock()
	if p.closed || p.open > p.cfg.MaxConns {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// discard closes a connection.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.release()
}

// Flush closes the idle connections. When one connection breaks, those that were
// opened with it are often broken too.
func (p *Pool) Flush() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}
