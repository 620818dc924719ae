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
	// maxHeaderBytes bounds the request line and headers together.
	maxHeaderBytes = 16 << 10
	// idleTimeout is longer than the idle time of every client of ours, so
	// that a connection is closed by the side that sends requests.
	idleTimeout = 90 * time.Second
	// streamedBytes is the part of a body that is read before the handler runs.
	streamedBytes = 64 << 10
	// headerTimeout bounds the time from a request's first byte to its handler.
	headerTimeout = 10 * time.Second
)

// Config sets up a server.
type Config struct {
	// Listen is IP:PORT.
	Listen string
	// Handle is called with each request that parses.
	Handle fasthttp.RequestHandler
	// Expect decides on a request that waits before it sends its body: it
	// returns 100 to have the body sent, or the status to refuse with. Nil has
	// every body sent.
	Expect func(*fasthttp.RequestCtx) int
	// NoDate leaves the Date of answers to the daemon that the caller reached:
	// bytes between availability zones are dear.
	NoDate bool
}

// Server is one listening HTTP edge.
type Server struct {
	http     *fasthttp.Server
	listener net.Listener
	ended    chan error
}

// Start listens and serves until Shutdown.
func Start(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", cfg.Listen, err)
	}
	s := &Server{listener: listener, ended: make(chan error, 1)}
	s.http = &fasthttp.Server{
		Handler:                      cfg.Handle,
		ExpectHandler:                cfg.Expect,
		ErrorHandler:                 refuseMalformed,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		MaxRequestBodySize:           streamedBytes,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  headerTimeout,
		IdleTimeout:                  idleTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		NoDefaultDate:                cfg.NoDate,
		CloseOnShutdown:              true,
		Logger:                       quiet{},
	}
	go func() { s.ended <- s.http.Serve(listener) }()
	return s, nil
}

// Address returns the IP:PORT that the server listens at.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Shutdown stops listening, and waits for the requests under way to be
// answered or for ctx to end.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down the server at %s: %w", s.Address(), err)
	}
	return nil
}

// refuseMalformed answers what cannot be parsed. Framing is lost, so fasthttp
// closes the connection afterwards.
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

// quiet drops fasthttp's own log: what it says of bad input, callers are told.
type quiet struct{}

func (quiet) Printf(string, ...any) {}
