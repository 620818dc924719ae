package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

// MaxBufferedBytes is the length up to which Do reads a response body whole before it
// returns. A longer body, or one of unknown length, is streamed.
const MaxBufferedBytes = 64 << 10

// maxResponseHeads limits the interim and final heads read for one response. A server may
// report progress (102) several times a second for as long as its longest request takes;
// the request's deadline ends that earlier.
const maxResponseHeads = 1000

// smallResponseBytes is the length up to which a response is buffered without asking
// Config.MayBuffer.
const smallResponseBytes = 4 << 10

var (
	errTooManyInterim = errors.New("too many interim responses")
	errMismatch       = errors.New("response belongs to another request")
	errAbandoned      = errors.New("the request was given up before it was sent")
)

// Do sends req once and reads the response into resp. Its error wraps ErrNotSent,
// ErrResponseLost or ErrBodySource. With ErrInvalidStatus, resp holds the head. When the
// body is longer than MaxBufferedBytes, resp holds a stream: the connection returns to the
// pool once the stream has been read to its end, and is closed if resp.CloseBodyStream is
// called earlier. The end of ctx closes the connection, also during streaming.
func (p *Pool) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c, err := p.get(ctx)
	if err == nil && p.abandoned(ctx) {
		p.put(c)
		err = errAbandoned
	}
	if err != nil {
		p.awaitContextEnd(ctx)
		return withCause(ctx, fmt.Errorf("%w: %w", ErrNotSent, err))
	}
	if p.cfg.MayBuffer != nil {
		c.mayBuffer = func(bytes int) bool { return p.cfg.MayBuffer(ctx, bytes) }
	}
	stop := bindContext(ctx, c)
	err = p.roundTrip(c, req, resp, stop)
	if err != nil {
		stop()
		p.discard(c)
		p.awaitContextEnd(ctx)
		if ctx.Err() == nil && errors.Is(err, ErrResponseLost) && !errors.Is(err, ErrInvalidHead) {
			p.Flush()
		}
		return withCause(ctx, err)
	}
	return nil
}

// abandoned reports whether the request is not to be sent any more, although it has a
// connection.
func (p *Pool) abandoned(ctx context.Context) bool {
	return ctx.Err() != nil || p.cfg.Abandoned != nil && p.cfg.Abandoned(ctx, p.cfg.Now())
}

// contextEndLimit limits the wait for a context whose deadline has passed.
const contextEndLimit = 50 * time.Millisecond

// awaitContextEnd waits until ctx has ended, if its deadline has passed. The
// connection's deadline is the same moment and may fire first.
func (p *Pool) awaitContextEnd(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); !ok || p.cfg.Now().Before(deadline) {
		return
	}
	limit := time.NewTimer(contextEndLimit)
	defer limit.Stop()
	select {
	case <-ctx.Done():
	case <-limit.C:
	}
}

// roundTrip sends the request and reads the response. A request with Expect:
// 100-continue (RFC 9110, section 10.1.1) sends its body only after the server has
// asked for it; a server that responds at once has not seen the body.
func (p *Pool) roundTrip(c *conn, req *fasthttp.Request, resp *fasthttp.Response, stop func() bool) error {
	if req.MayContinue() && req.IsBodyStream() && req.Header.ContentLength() > 0 {
		bodyRequested, err := p.sendHead(c, req, resp)
		if err != nil {
			return err
		}
		if !bodyRequested {
			return p.receiveBody(c, req, resp, stop, false)
		}
		if err := p.sendBody(c, req); err != nil {
			return err
		}
		return p.receive(c, req, resp, stop)
	}
	if !req.IsBodyStream() && len(req.Body()) > maxSequentialBytes {
		return p.roundTripConcurrent(c, req, resp, stop)
	}
	if err := p.send(c, req); err != nil {
		return err
	}
	return p.receive(c, req, resp, stop)
}

// maxSequentialBytes is the longest buffered body that is written before the response
// is read. It fits into the socket buffers of any connection.
const maxSequentialBytes = 8 << 10

// roundTripConcurrent reads the response while a long body is being written, since a
// server may respond before it has read the body. If the body was not written
// completely, the connection is not reused: the server would take the next request
// for the rest of the body.
func (p *Pool) roundTripConcurrent(c *conn, req *fasthttp.Request, resp *fasthttp.Response, stop func() bool) error {
	written := make(chan error, 1)
	go func() { written <- p.send(c, req) }()
	err := p.readMatchingHead(c, req, resp)
	var writeErr error
	select {
	case writeErr = <-written:
	default:
		// The response head has been read, or the connection has failed.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		writeErr = <-written
		_ = c.SetWriteDeadline(time.Time{})
	}
	if err != nil {
		invalid := errors.Is(err, ErrInvalidHead) && !errors.Is(writeErr, ErrNotSent)
		if writeErr != nil && !invalid {
			return writeErr
		}
		return fmt.Errorf("%w while reading the response head: %w", ErrResponseLost, err)
	}
	return p.receiveBody(c, req, resp, stop, writeErr == nil)
}

// sendHead sends the request head, and reports whether the server asks for the
// body. If it does not, resp holds the head of the final response.
func (p *Pool) sendHead(c *conn, req *fasthttp.Request, resp *fasthttp.Response) (bodyRequested bool, err error) {
	err = req.Header.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		return false, fmt.Errorf("%w while writing the request head: %w", ErrResponseLost, err)
	}
	for range maxResponseHeads {
		final, err := readOneHead(c, resp)
		if err != nil {
			return false, fmt.Errorf("%w while waiting for 100 Continue: %w", ErrResponseLost, err)
		}
		if final || resp.StatusCode() == fasthttp.StatusContinue {
			return !final, nil
		}
	}
	return false, fmt.Errorf("%w while waiting for 100 Continue: %w", ErrResponseLost, errTooManyInterim)
}

// sendBody sends the body after the server has asked for it.
func (p *Pool) sendBody(c *conn, req *fasthttp.Request) error {
	body := req.BodyStream()
	_, err := io.CopyN(c.writer, body, int64(req.Header.ContentLength()))
	if err == nil {
		err = c.writer.Flush()
	}
	if source, ok := body.(*Source); ok && source.err != nil {
		return fmt.Errorf("%w: %w: %w", ErrBodySource, ErrResponseLost, source.err)
	}
	if err != nil {
		return fmt.Errorf("%w while writing the request body: %w", ErrResponseLost, err)
	}
	return nil
}

// bindContext makes every read and write on the connection fail when ctx ends. The
// function it returns undoes that, and reports false if ctx had ended already.
func bindContext(ctx context.Context, c *conn) func() bool {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	return context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(time.Unix(1, 0))
	})
}

// send writes the request. Its error distinguishes a body that fails at its source
// from a connection that fails.
func (p *Pool) send(c *conn, req *fasthttp.Request) error {
	source, _ := req.BodyStream().(*Source)
	err := req.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err == nil {
		return nil
	}
	sendErr := ErrNotSent
	if c.mayHaveSent {
		sendErr = ErrResponseLost
	}
	if source != nil && source.err != nil {
		return fmt.Errorf("%w: %w: %w", ErrBodySource, sendErr, source.err)
	}
	return fmt.Errorf("%w while writing the request: %w", sendErr, err)
}

// receive reads the response; a short body is buffered, a long one streamed.
func (p *Pool) receive(c *conn, req *fasthttp.Request, resp *fasthttp.Response, stop func() bool) error {
	if err := p.readMatchingHead(c, req, resp); err != nil {
		return fmt.Errorf("%w while reading the response head: %w", ErrResponseLost, err)
	}
	return p.receiveBody(c, req, resp, stop, true)
}

// maxMatchAttempts limits the responses examined for the one that matches the request.
const maxMatchAttempts = 3

// readMatchingHead reads the head of the response, and discards responses to earlier
// requests. With ErrInvalidStatus, the head belongs to the request.
func (p *Pool) readMatchingHead(c *conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	for range maxMatchAttempts {
		err := readHead(c, resp)
		if err != nil && !errors.Is(err, ErrInvalidStatus) {
			return err
		}
		if p.cfg.MatchesRequest == nil || p.cfg.MatchesRequest(req, resp) {
			return err
		}
		length := resp.Header.ContentLength()
		if length < 0 {
			return errMismatch
		}
		if _, err := c.reader.Discard(length); err != nil {
			return fmt.Errorf("discard a response to another request: %w", err)
		}
	}
	return errMismatch
}

// receiveBody reads the body after the response head.
func (p *Pool) receiveBody(c *conn, req *fasthttp.Request, resp *fasthttp.Response, stop func() bool, reuse bool) error {
	reuse = reuse && !resp.ConnectionClose() && !req.ConnectionClose()
	reuse = reuse && (p.cfg.Attributable == nil || p.cfg.Attributable(resp))
	c.keepAliveTimeout = parseKeepAlive(&resp.Header)
	if hasNoBody(req, resp) {
		resp.SkipBody = true
		p.finish(c, stop, reuse)
		return nil
	}
	length := resp.Header.ContentLength()
	if length < 0 || length > MaxBufferedBytes || !c.roomFor(length) {
		return p.streamBody(c, resp, length, stop, reuse)
	}
	if err := resp.ReadBody(c.reader, 0); err != nil {
		return fmt.Errorf("%w while reading the response body: %w", ErrResponseLost, err)
	}
	p.finish(c, stop, reuse)
	return nil
}

// hasNoBody reports whether the response has no body (RFC 9112, section 6.3).
func hasNoBody(req *fasthttp.Request, resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return req.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// streamBody leaves the body on the connection for the reader of resp. A second
// response does the decoding, since setting a stream on resp drops its own.
func (p *Pool) streamBody(c *conn, resp *fasthttp.Response, length int, stop func() bool, reuse bool) error {
	inner := fasthttp.AcquireResponse()
	inner.StreamBody = true
	resp.Header.CopyTo(&inner.Header)
	if err := inner.ReadBody(c.reader, 0); err != nil {
		fasthttp.ReleaseResponse(inner)
		return fmt.Errorf("%w while opening the response body: %w", ErrResponseLost, err)
	}
	done := func(whole bool) { p.finish(c, stop, reuse && whole) }
	if length < -1 {
		// The body ends when the connection closes; it is forwarded in chunks.
		length = -1
	}
	resp.SetBodyStream(&responseStream{inner: inner, done: done}, length)
	return nil
}

// finish returns the connection to the pool, or closes it.
func (p *Pool) finish(c *conn, stop func() bool, reuse bool) {
	if stop() && reuse {
		p.put(c)
		return
	}
	p.discard(c)
}

// withCause adds the error of the context, so that the caller can tell a passed
// deadline or a cancellation from a broken connection.
func withCause(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return fmt.Errorf("%w: %w", err, cause)
	}
	return err
}
