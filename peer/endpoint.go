package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// DefaultMaxFrame bounds one message, in bytes. It leaves room for a
	// document of 64 KiB in its JSON envelope.
	DefaultMaxFrame = 256 << 10

	bootTimeout = 5 * time.Second
	stopTimeout = 2 * time.Second
)

// Config sets up an endpoint.
type Config struct {
	// Listen is the IP:PORT to take messages at.
	Listen string
	// From is the IP that connections to others come from; any when empty.
	From string
	// MaxFrame bounds one message in bytes; DefaultMaxFrame when zero.
	MaxFrame int
	// Handle is called with each message, on the connection's own goroutine.
	Handle func(Envelope)
	// Lost is called with the reason when a connection is closed for bad
	// framing; it may be nil.
	Lost func(error)
}

// Endpoint sends and receives control messages.
type Endpoint struct {
	cfg    Config
	engine gnet.Engine
	client *gnet.Client
	booted chan struct{}
	ended  chan error

	mu    sync.Mutex
	links map[string]*link

	bytesOut atomic.Int64
	bytesIn  atomic.Int64
	dropped  atomic.Int64
}

// Start listens, and returns once messages can arrive.
func Start(cfg Config) (*Endpoint, error) {
	if cfg.MaxFrame == 0 {
		cfg.MaxFrame = DefaultMaxFrame
	}
	e := &Endpoint{
		cfg:    cfg,
		booted: make(chan struct{}),
		ended:  make(chan error, 1),
		links:  map[string]*link{},
	}
	quiet := gnet.WithLogger(silent{})
	client, err := gnet.NewClient(&events{e: e}, quiet, gnet.WithNumEventLoop(1))
	if err != nil {
		return nil, fmt.Errorf("create control client: %w", err)
	}
	if err := client.Start(); err != nil {
		return nil, fmt.Errorf("start control client: %w", err)
	}
	e.client = client
	go func() {
		e.ended <- gnet.Run(&events{e: e, server: true}, "tcp://"+cfg.Listen, quiet,
			gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true))
	}()
	select {
	case <-e.booted:
		return e, nil
	case err := <-e.ended:
		_ = client.Stop()
		return nil, fmt.Errorf("listen for control at %s: %w", cfg.Listen, err)
	case <-time.After(bootTimeout):
		_ = client.Stop()
		return nil, fmt.Errorf("listen for control at %s: no answer within %s", cfg.Listen, bootTimeout)
	}
}

// Send queues a message for the daemon at address. It never waits; a message
// that cannot be sent is dropped and counted.
func (e *Endpoint) Send(address string, m Envelope) {
	if !e.link(address).offer(m) {
		e.dropped.Add(1)
	}
}

// BytesOut returns the bytes of all frames sent.
func (e *Endpoint) BytesOut() int64 { return e.bytesOut.Load() }

// BytesIn returns the bytes of all frames received.
func (e *Endpoint) BytesIn() int64 { return e.bytesIn.Load() }

// Dropped returns how many messages were not sent.
func (e *Endpoint) Dropped() int64 { return e.dropped.Load() }

// Stop closes every connection.
func (e *Endpoint) Stop() error {
	e.mu.Lock()
	for _, l := range e.links {
		l.stop()
	}
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := e.engine.Stop(ctx)
	if errClient := e.client.Stop(); err == nil {
		err = errClient
	}
	if err != nil {
		return fmt.Errorf("stop control: %w", err)
	}
	return nil
}

// link returns the way to an address, and opens one where there is none.
func (e *Endpoint) link(address string) *link {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.links[address]
	if l == nil {
		l = newLink(e, address)
		e.links[address] = l
		go l.run()
	}
	return l
}

// forget drops a link that has ended.
func (e *Endpoint) forget(l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.links[l.address] == l {
		delete(e.links, l.address)
	}
}

// Handle implements jsonrpc2.Handler: it decodes one notification. A request,
// which would want an answer, is not part of the protocol and gets none.
func (e *Endpoint) Handle(_ context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var m Envelope
	if req.Params == nil || json.Unmarshal(*req.Params, &m) != nil {
		_ = c.Close()
		return
	}
	m.Kind = req.Method
	e.cfg.Handle(m)
}

// silent keeps gnet's own log out of the daemon's.
type silent struct{}

var _ logging.Logger = silent{}

func (silent) Debugf(string, ...any) {}
func (silent) Infof(string, ...any)  {}
func (silent) Warnf(string, ...any)  {}
func (silent) Errorf(string, ...any) {}
func (silent) Fatalf(string, ...any) {}
