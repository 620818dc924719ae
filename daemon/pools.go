package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"pomelodoor.example/pomelodoor/exchange"
	"pomelodoor.example/pomelodoor/ingress"
)

// maxPeerConns limits the connections to one other daemon. peerDialTimeout limits
// the time to open one: a call to a daemon that is cut off must have time left to
// try another.
const (
	maxPeerConns    = 256
	peerDialTimeout = 250 * time.Millisecond
)

// pools holds the connection pools to other daemons, by address.
type pools struct {
	dial      func(ctx context.Context, address string) (net.Conn, error)
	mu        sync.Mutex
	byAddress map[string]*exchange.Pool
}

func newPools(dial func(ctx context.Context, address string) (net.Conn, error)) *pools {
	return &pools{dial: dial, byAddress: map[string]*exchange.Pool{}}
}

// get returns the pool for an address and creates it if needed.
func (p *pools) get(address string) *exchange.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byAddress[address]
	if pool == nil {
		pool = exchange.New(exchange.Config{
			Address: address, MaxConns: maxPeerConns, DialTimeout: peerDialTimeout, Dial: p.dial, Abandoned: ingress.CallerLeft,
			MayBuffer: ingress.MayBuffer,
		})
		p.byAddress[address] = pool
	}
	return pool
}

// sweep closes idle connections. The pools themselves stay: an address costs a few
// hundred bytes, and a pool in use must not be lost.
func (p *pools) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byAddress {
		pool.Sweep()
	}
}

func (p *pools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byAddress {
		pool.Close()
	}
}
