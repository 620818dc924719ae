package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

// HeldBytes is the longest answer that Do reads whole before it returns. A
// longer one, or one of unknown length, is streamed.
const HeldBytes = 64 << 10

// maxInterim bounds the heads read for one answer.
const maxInterim = 4

var (
	errInterim = errors.New("too many interim answers")
	errForeign = errors.New("the answer belongs to another request")
)

// Do sends req once and reads the answer into resp. It returns an error that
// wraps ErrNotSent, ErrLost or ErrBodySource. When the answer is longer than
// HeldBytes, resp holds a stream: the connection is given back when the stream
// has been read to its end, and closed when resp.CloseBodyStream comes first.
// The context's end closes the connection, also under such a stream.
func (p *Pool) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c, err := p.get(ctx)
	if err != nil {
		p.settle(ctx)
		return withCause(ctx, fmt.Errorf("%w: %w", ErrNotSent, err))
	}
	stop := watch(ctx, c)
	err = p.converse(c, req, resp, stop)
	if err != nil {
		stop()
		p.discard(c)
		p.settle(ctx)
		if ctx.Err() == nil && errors.Is(err, ErrLost) {
			p.Flush()
		}
		return withCause(ctx, err)
	}
	return nil
}

// settleLimit bounds the wait for a context whose deadline has passed.
const settleLimit = 50 * time.Millisecond

// settle waits for the end of the context where the connection's own deadline,
// which is the same moment, fired first.
func (p *Pool) settle(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); !ok || p.cfg.Now().Before(deadline) {
		return
	}
	limit := time.NewTimer(settleLimit)
	defer limit.Stop()
	select {
	case <-ctx.Done():
	case <-limit.C:
	}
}

// converse sends the request and reads the answer. A request that expects 100
// (RFC 9110, section 10.1.1) sends its body only when the server asks for it; a
// server that answers at once has not seen the body.
func (p *Pool) converse(c *conn, req *fasthttp.Request, resp *fasthttp.Response, stop func() bool) error {
	if req.MayContinue() && req.IsBodyStream() && req.Header.ContentLength() > 0 {
		asked, err := p.sendHead(c, req, resp)
		if err != nil {
			return err
		}
		if !asked {
			return p.receiveBody(c, req, resp, stop, false)
		}
		if err := p.sendBody(c, req); err != nil {
			return err
		}
		return p.receive(c, req, resp, stop)
	}
	if !req.IsBodyStream() && len(req.Body()) > besideBytes {
		return p.converseBeside(c, req, resp, stop)
	}
	if err := p.send(c, req); err != nil {
		return err
	}
	return p.receive(c, req, resp, stop)
}

// besideBytes is the longest held body that is written before the answer is
// read. It fits into the buffers of any connection.
const besideBytes = 8 << 10

// converseBeside reads the answer while a long body is being written, since a
// server may answer before it has read the body. A connection on which the body
// was not written whole is not used again: the rest would be taken for a request.
func (p *Pool) converseBeside(c *conn, req *fasthttp.Request, resp *fasthttp.Response, stop func() bool) error {
	written := make(chan error, 1)
	go func() { written <- p.send(c, req) }()
	err := p.readMine(c, req, resp)
	var failed error
	select {
	case failed = <-written:
	default:
		// The head of the answer is here, or the connection has failed.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		failed = <-written
		_ = c.SetWriteDeadline(time.Time{})
	}
	if err != nil {
		if failed != nil {
			return failed
		}
		return fmt.Errorf("%w while reading the head: %w", ErrLost, err)
	}
	return p.receiveBody(c, req, resp, stop, failed == nil)
}

// sendHead sends all but the body, and reports whether the server asks for the
// body. If it does not, resp holds the head of its final answer.
func (p *Pool) sendHead(c *conn, req *fasthttp.Request, resp *fasthttp.Response) (asked bool, err error) {
	err = req.Header.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		return false, fmt.Errorf("%w while writing the head: %w", ErrLost, err)
	}
	if err := resp.Header.Read(c.reader); err != nil {
		return false, fmt.Errorf("%w while waiting to send the body: %w", ErrLost, err)
	}
	return resp.StatusCode() == fasthttp.StatusContinue, nil
}

// sendBody sends the body that the server has asked for.
func (p *Pool) sendBody(c *conn, req *fasthttp.Request) error {
	body := req.BodyStream()
	_, err := io.CopyN(c.writer, body, int64(req.Header.ContentLength()))
	if err == nil {
		err = c.writer.Flush()
	}
	if source, ok := body.(*Source); ok && source.err != nil {
		return fmt.Errorf("%w: %w: %w", ErrBodySource, ErrLost, source.err)
	}
	if err != nil {
		return fmt.Errorf("%w while writing the body: %w", ErrLost, err)
	}
	return nil
}

// watch ends every read and write on the connection when ctx ends. The function
// it returns stops that, and reports whether ctx had not ended.
func watch(ctx context.Context, c *conn) func() bool {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	return context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(time.Unix(1, 0))
	})
}

// send writes the request. A body that fails at its source is told apart from
// a connection that fails.
func (p *Pool) send(c *conn, req *fasthttp.Request) error {
	source, _ := req.BodyStream().(*Source)
	err := req.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err == nil {
		return nil
	}
	sent := ErrNotSent
	if c.wrote {
		sent = ErrLost
	}
	if source != nil && source.err != nil {
		return fmt.Errorf("%w: %w: %w", ErrBodySource, sent, source.err)
	}
	return fmt.Errorf("%w while writing: %w", sent, err)
}

// receive reads the answer: whole when it is short, else as a stream.
func (p *Pool) receive(c *conn, req *fasthttp.Request, resp *fasthttp.Response, stop func() bool) error {
	if err := p.readMine(c, req, resp); err != nil {
		return fmt.Errorf("%w while reading the head: %w", ErrLost, err)
	}
	return p.receiveBody(c, req, resp, stop, true)
}

// maxForeign bounds the answers passed over before the right one.
const maxForeign = 3

// readMine reads the head of the answer, and passes over answers to requests of
// before.
func (p *Pool) readMine(c *conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	for range maxForeign {
		if err := readHead(c, resp); err != nil {
			return err
		}
		if p.cfg.Mine == nil || p.cfg.Mine(req, resp) {
			return nil
		}
		length := resp.Header.ContentLength()
		if length < 0 {
			return errForeign
		}
		if _, err := c.reader.Discard(length); err != nil {
			return fmt.Errorf("pass over an answer: %w", err)
		}
	}
	return errForeign
}

// receiveBody reads what follows the head of the answer.
func (p *Pool) receiveBody(c *conn, req *fasthttp.Request, resp *fasthttp.Response, stop func() bool, keep bool) error {
	keep = keep && !resp.ConnectionClose() && !req.ConnectionClose()
	c.keepAlive = keepAlive(&resp.Header)
	if hasNoBody(req, resp) {
		resp.SkipBody = true
		p.finish(c, stop, keep)
		return nil
	}
	length := resp.Header.ContentLength()
	if length < 0 || length > HeldBytes {
		return p.stream(c, resp, length, stop, keep)
	}
	if err := resp.ReadBody(c.reader, 0); err != nil {
		return fmt.Errorf("%w while reading the body: %w", ErrLost, err)
	}
	p.finish(c, stop, keep)
	return nil
}

// readHead reads the head of the answer and passes over interim ones.
func readHead(c *conn, resp *fasthttp.Response) error {
	for range maxInterim {
		if err := resp.Header.Read(c.reader); err != nil {
			return fmt.Errorf("read head: %w", err)
		}
		if resp.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return errInterim
}

// hasNoBody follows RFC 9112, section 6.3.
func hasNoBody(req *fasthttp.Request, resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return req.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// stream leaves the body on the connection for the reader of resp. A second
// response does the decoding, since setting a stream on resp drops its own.
func (p *Pool) stream(c *conn, resp *fasthttp.Response, length int, stop func() bool, keep bool) error {
	inner := fasthttp.AcquireResponse()
	inner.StreamBody = true
	resp.Header.CopyTo(&inner.Header)
	if err := inner.ReadBody(c.reader, 0); err != nil {
		fasthttp.ReleaseResponse(inner)
		return fmt.Errorf("%w while opening the body: %w", ErrLost, err)
	}
	done := func(whole bool) { p.finish(c, stop, keep && whole) }
	if length < -1 {
		// The body ends with the connection; it travels on in chunks.
		length = -1
	}
	resp.SetBodyStream(&answerStream{inner: inner, done: done}, length)
	return nil
}

// finish gives the connection back, or closes it.
func (p *Pool) finish(c *conn, stop func() bool, keep bool) {
	if stop() && keep {
		p.put(c)
		return
	}
	p.discard(c)
}

// withCause adds the context's own error, so that a caller can tell a passed
// deadline and a cancellation from a broken connection.
func withCause(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return fmt.Errorf("%w: %w", err, cause)
	}
	return err
}
