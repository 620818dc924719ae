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

	"pomelodoor.example/pomelodoor/memory"
)

const (
	// DefaultMaxFrameBytes is the default limit of a message. It holds a document
	// of 64 KiB in its JSON envelope.
	DefaultMaxFrameBytes = 256 << 10

	// defaultMaxConns and defaultMaxBufferedBytes apply where Config sets no limit.
	defaultMaxConns         = 1024
	defaultMaxBufferedBytes = 64 << 20

	startTimeout = 5 * time.Second
	stopTimeout  = 2 * time.Second
)

// Config configures an Endpoint.
type Config struct {
	// Listen is the IP:PORT to listen on.
	Listen string
	// From is the local IP of outgoing connections; any IP when empty.
	From string
	// MaxFrameBytes limits the size of a message; DefaultMaxFrameBytes when zero.
	MaxFrameBytes int
	// MaxConns limits the connections that others open, and MaxBufferedBytes what is kept of
	// their incomplete messages. Above a limit, the connection whose last complete message is
	// the longest ago is closed.
	MaxConns         int
	MaxBufferedBytes int
	// Hold is where the memory for these connections is reserved; nil reserves none.
	Hold *memory.Hold
	// Handle is called with each message, on the connection's own goroutine.
	Handle func(Envelope)
	// OnError is called with the error when a connection is closed for invalid
	// framing or a full backlog; it may be nil.
	OnError func(error)
}

// Endpoint sends and receives control messages.
type Endpoint struct {
	cfg       Config
	engine    gnet.Engine
	client    *gnet.Client
	listening chan struct{}
	serveErr  chan error

	mu    sync.Mutex
	links map[string]*link

	bytesOut atomic.Int64
	bytesIn  atomic.Int64
	dropped  atomic.Int64
	accepted atomic.Int64
	ended    atomic.Int64
}

// Start starts an endpoint, and returns once it can receive messages.
func Start(cfg Config) (*Endpoint, error) {
	if cfg.MaxFrameBytes == 0 {
		cfg.MaxFrameBytes = DefaultMaxFrameBytes
	}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = defaultMaxConns
	}
	if cfg.MaxBufferedBytes == 0 {
		cfg.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	e := &Endpoint{
		cfg:       cfg,
		listening: make(chan struct{}),
		serveErr:  make(chan error, 1),
		links:     map[string]*link{},
	}
	noLog := gnet.WithLogger(discardGnetLog{})
	client, err := gnet.NewClient(&eventHandler{endpoint: e}, noLog, gnet.WithNumEventLoop(1))
	if err != nil {
		return nil, fmt.Errorf("create the control client: %w", err)
	}
	if err := client.Start(); err != nil {
		return nil, fmt.Errorf("start the control client: %w", err)
	}
	e.client = client
	go func() {
		handler := &eventHandler{endpoint: e, accepted: newAccepted(cfg.MaxConns, cfg.MaxBufferedBytes, cfg.Hold)}
		e.serveErr <- gnet.Run(handler, "tcp://"+cfg.Listen, noLog, gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true))
	}()
	select {
	case <-e.listening:
		return e, nil
	case err := <-e.serveErr:
		_ = client.Stop()
		return nil, fmt.Errorf("listen for control messages on %s: %w", cfg.Listen, err)
	case <-time.After(startTimeout):
		_ = client.Stop()
		return nil, fmt.Errorf("listen for control messages on %s: listener did not start within %s", cfg.Listen, startTimeout)
	}
}

// Send queues a message for the daemon at address. It never blocks; a message that
// cannot be sent is dropped and counted.
func (e *Endpoint) Send(address string, m Envelope) {
	if !e.link(address).enqueue(m) {
		e.dropped.Add(1)
	}
}

// BytesOut returns the number of bytes of the frames sent.
func (e *Endpoint) BytesOut() int64 { return e.bytesOut.Load() }

// BytesIn returns the number of bytes of the frames received.
func (e *Endpoint) BytesIn() int64 { return e.bytesIn.Load() }

// Dropped returns the number of messages that were not sent.
func (e *Endpoint) Dropped() int64 { return e.dropped.Load() }

// Accepted returns the number of open connections that others have opened.
func (e *Endpoint) Accepted() int { return int(e.accepted.Load()) }

// Ended returns the number of connections that were closed for lack of room.
func (e *Endpoint) Ended() int64 { return e.ended.Load() }

// Stop stops the endpoint and closes its connections.
func (e *Endpoint) Stop() error {
	e.mu.Lock()
	for _, l := range e.links {
		l.stop()
	}
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := e.engine.Stop(ctx)
	if clientErr := e.client.Stop(); err == nil {
		err = clientErr
	}
	if err != nil {
		return fmt.Errorf("stop the control endpoint: %w", err)
	}
	return nil
}

// link returns the link to an address, and creates it if there is none.
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

// removeLink removes a link that has ended.
func (e *Endpoint) removeLink(l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.links[l.address] == l {
		delete(e.links, l.address)
	}
}

// Handle implements jsonrpc2.Handler: it passes a message to Config.Handle, or closes
// the connection if the parameters are invalid. A jsonrpc2 request gets no reply,
// since the protocol has only notifications.
func (e *Endpoint) Handle(_ context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var m Envelope
	if req.Params == nil || json.Unmarshal(*req.Params, &m) != nil {
		_ = c.Close()
		return
	}
	m.Kind = req.Method
	e.cfg.Handle(m)
}

// discardGnetLog discards gnet's log.
type discardGnetLog struct{}

var _ logging.Logger = discardGnetLog{}

func (discardGnetLog) Debugf(string, ...any) {}
func (discardGnetLog) Infof(string, ...any)  {}
func (discardGnetLog) Warnf(string, ...any)  {}
func (discardGnetLog) Errorf(string, ...any) {}
func (discardGnetLog) Fatalf(string, ...any) {}
