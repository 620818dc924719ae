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

// Config sets up a pool.
type Config struct {
	// Address is IP:PORT.
	Address string
	// MaxConns bounds the connections open at once; 64 when zero.
	MaxConns int
	// MaxIdle is how long an unused connection is kept; 5 s when zero. It must
	// be shorter than the server's own idle limit, so that the server does not
	// close a connection just as a request goes out on it.
	MaxIdle time.Duration
	// DialTimeout bounds the opening of a connection; 1 s when zero.
	DialTimeout time.Duration
	// Dial opens a connection; TCP when nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Mine reports whether an answer belongs to the request; nil takes every
	// answer. One that does not is passed over: a server that answered an
	// earlier request late, or twice, sends it just before the right one.
	Mine func(req *fasthttp.Request, resp *fasthttp.Response) bool
	// Now reads the clock that idle times are taken from; time.Now when nil.
	Now func() time.Time
}

// Pool holds the connections to one address. Its methods may be called from
// several goroutines.
type Pool struct {
	cfg Config

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// New returns a pool with no connection open.
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

// Open returns the number of connections now open.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// SetMaxConns changes the bound on open connections. Those beyond it close as
// they fall idle.
func (p *Pool) SetMaxConns(n int) {
	p.mu.Lock()
	p.cfg.MaxConns = n
	p.mu.Unlock()
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep() {
	oldest := p.cfg.Now().Add(-p.cfg.MaxIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle(oldest)
}

// Close closes the idle connections and refuses new requests. Exchanges under
// way finish.
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

// get returns an idle connection that is still usable, or opens one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		if !p.cfg.Now().After(c.idleUntil) && c.usable() {
			c.wrote = false
			return c, nil
		}
		p.discard(c)
	}
}

// pop takes the connection used last, and closes those idle for too long.
func (p *Pool) pop() *conn {
	oldest := p.cfg.Now().Add(-p.cfg.MaxIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle(oldest)
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

// dropIdle closes the connections put back before oldest, which are first.
func (p *Pool) dropIdle(oldest time.Time) {
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

// put keeps a connection whose last answer was read to its end.
func (p *Pool) put(c *conn) {
	_ = c.SetDeadline(time.Time{})
	c.idleSince = p.cfg.Now()
	c.idleUntil = c.idleSince.Add(min(p.cfg.MaxIdle, c.keepAlive))
	p.mu.Lock()
	if p.closed || p.open > p.cfg.MaxConns {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// discard closes a connection for good.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.release()
}

// Flush closes the idle connections. Connections that were opened through one
// break tend to have broken together.
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
