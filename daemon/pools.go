package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"pomelodoor.example/pomelodoor/exchange"
)

// peerConns bounds the connections to one other daemon, peerDial the opening of
// one: a call whose daemon is cut off must have time left for another.
const (
	peerConns = 256
	peerDial  = 250 * time.Millisecond
)

// pools holds the connections to other daemons, by address.
type pools struct {
	dial      func(ctx context.Context, address string) (net.Conn, error)
	mu        sync.Mutex
	byAddress map[string]*exchange.Pool
}

func newPools(dial func(ctx context.Context, address string) (net.Conn, error)) *pools {
	return &pools{dial: dial, byAddress: map[string]*exchange.Pool{}}
}

// get returns the pool for an address.
func (p *pools) get(address string) *exchange.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byAddress[address]
	if pool == nil {
		pool = exchange.New(exchange.Config{
			Address: address, MaxConns: peerConns, DialTimeout: peerDial, Dial: p.dial,
		})
		p.byAddress[address] = pool
	}
	return pool
}

// sweep closes idle connections. The pools stay: an instance's address costs
// a few hundred bytes, and one in use must not be lost.
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
