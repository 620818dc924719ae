package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
)

const (
	// maxHeaderBytes limits the request line and headers together.
	maxHeaderBytes = 16 << 10
	// idleTimeout is longer than the idle timeout of every pomelodoor client, so that
	// the client closes an idle connection, not the server.
	idleTimeout = 90 * time.Second
	// prereadBytes is how much of a body is read before the handler runs. It is the least that
	// fasthttp allows: the handler reserves memory for the body first.
	prereadBytes = 1
	// headerTimeout limits the time from the first byte of a request to its handler.
	headerTimeout = 10 * time.Second
)

// Config configures a Server.
type Config struct {
	// Listen is the IP:PORT to listen on.
	Listen string
	// Handle is called with each well-formed request.
	Handle fasthttp.RequestHandler
	// Expect decides on a request with Expect: 100-continue. It returns 100 to
	// receive the body, or the status to refuse the request with. If it is nil,
	// every body is received.
	Expect func(*fasthttp.RequestCtx) int
	// Guard limits the connections and what they hold; nil sets no limits.
	Guard *Guard
	// Overloaded answers a request for which the Guard has no room; it is required with a Guard.
	Overloaded fasthttp.RequestHandler
	// NoDate omits the Date header, which the daemon that the caller reached adds:
	// traffic between availability zones is expensive.
	NoDate bool
}

// Server is a running HTTP server.
type Server struct {
	http     *fasthttp.Server
	listener net.Listener
	serveErr chan error
}

// Start starts a server that runs until Shutdown.
func Start(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", cfg.Listen, err)
	}
	if cfg.Guard != nil {
		listener = guardedListener{Listener: listener, guard: cfg.Guard}
		cfg.Handle, cfg.Expect = cfg.guarded()
	}
	s := &Server{listener: listener, serveErr: make(chan error, 1)}
	s.http = &fasthttp.Server{
		Handler:                      cfg.Handle,
		ExpectHandler:                cfg.Expect,
		ErrorHandler:                 refuseMalformed,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		MaxRequestBodySize:           prereadBytes,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  headerTimeout,
		IdleTimeout:                  idleTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		NoDefaultDate:                cfg.NoDate,
		CloseOnShutdown:              true,
		Logger:                       discardLog{},
	}
	if cfg.Guard != nil {
		s.http.ConnState = cfg.Guard.connState
	}
	go func() { s.serveErr <- s.http.Serve(listener) }()
	return s, nil
}

// guarded returns the handlers of a server with a Guard.
func (c Config) guarded() (handle fasthttp.RequestHandler, expect func(*fasthttp.RequestCtx) int) {
	handle = func(ctx *fasthttp.RequestCtx) {
		t := c.Guard.begin(ctx.Conn())
		if t == nil {
			c.Overloaded(ctx)
			ctx.SetConnectionClose()
			return
		}
		ctx.SetUserValue(transferKey, t)
		c.Handle(ctx)
		t.answer()
	}
	if c.Expect == nil {
		return handle, nil
	}
	return handle, func(ctx *fasthttp.RequestCtx) int {
		if c.Guard.begin(ctx.Conn()) == nil {
			return fasthttp.StatusServiceUnavailable
		}
		return c.Expect(ctx)
	}
}

// Address returns the IP:PORT that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Shutdown stops listening and waits until the requests in progress are answered or ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down the server at %s: %w", s.Address(), err)
	}
	return nil
}

// refuseMalformed refuses a request that cannot be parsed. The start of the next request
// is unknown, so fasthttp closes the connection afterwards.
func refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		Refuse(ctx, call.NotRun, call.BadRequest, "headers are too large")
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, io.ErrUnexpectedEOF):
		Refuse(ctx, call.NotRun, call.ShortBody, "the request was cut short")
	default:
		Refuse(ctx, call.NotRun, call.BadRequest, "malformed HTTP request")
	}
	ctx.SetConnectionClose()
}

// discardLog discards fasthttp's log: invalid requests are reported to their callers.
type discardLog struct{}

func (discardLog) Printf(string, ...any) {}
