package ingress

import (
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
)

// Refuse answers for pomelodoor itself: the status follows from the outcome
// and the reason, and the body is one line of text.
func Refuse(ctx *fasthttp.RequestCtx, outcome call.Outcome, reason call.Reason, text string) {
	ctx.Response.Reset()
	ctx.SetStatusCode(call.Status(outcome, reason))
	SetOutcome(ctx, outcome, reason)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString("pomelodoor: " + string(outcome) + ": " + string(reason) + ": " + text + "\n")
}

// SetOutcome puts the outcome and its reason on the answer.
func SetOutcome(ctx *fasthttp.RequestCtx, outcome call.Outcome, reason call.Reason) {
	ctx.Response.Header.Set(call.HeaderOutcome, string(outcome))
	ctx.Response.Header.Set(call.HeaderReason, string(reason))
}

// Pass gives the caller an answer that came from elsewhere, whole and
// unchanged but for the headers that belong to one connection. The body may
// still be a stream; the caller's connection breaks if it ends early. done is
// called once the body has been passed on or dropped.
func Pass(ctx *fasthttp.RequestCtx, from *fasthttp.Response, done func()) {
	length := from.Header.ContentLength()
	from.Header.CopyTo(&ctx.Response.Header)
	stripHop(ctx.Response.Header.Del)
	for _, name := range daemonHeaders {
		ctx.Response.Header.Del(name)
	}
	body := &passed{from: from, done: done}
	switch {
	case ctx.IsHead():
		ctx.Response.SkipBody = true
		if length >= 0 {
			ctx.Response.Header.Set("Content-Length", strconv.Itoa(length))
		}
		_ = body.Close()
	case from.IsBodyStream():
		ctx.Response.SetBodyStream(body, length)
	default:
		ctx.Response.SetBody(from.Body())
		_ = body.Close()
	}
}

// passed reads the body of another response and releases it at the end.
type passed struct {
	from   *fasthttp.Response
	done   func()
	closed bool
}

// Read reads the body.
func (p *passed) Read(b []byte) (int, error) {
	if p.closed {
		return 0, io.ErrClosedPipe
	}
	return p.from.BodyStream().Read(b)
}

// Close lets go of the connection that the body comes from.
func (p *passed) Close() error {
	if p.closed {
		return nil
	}
	p.closed = true
	err := p.from.CloseBodyStream()
	fasthttp.ReleaseResponse(p.from)
	p.done()
	return err
}

// stripHop deletes the headers that are meant for one connection only
// (RFC 9110, section 7.6.1).
func stripHop(del func(string)) {
	for _, name := range hopHeaders {
		del(name)
	}
}

var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length",
}
