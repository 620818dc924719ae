package ingress

import (
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
)

// Refuse writes a response of pomelodoor itself. The status follows from the outcome
// and the reason; the body is one line of text.
func Refuse(ctx *fasthttp.RequestCtx, outcome call.Outcome, reason call.Reason, text string) {
	ctx.Response.Reset()
	ctx.SetStatusCode(call.Status(outcome, reason))
	SetOutcome(ctx, outcome, reason)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString("pomelodoor: " + string(outcome) + ": " + string(reason) + ": " + text + "\n")
}

// SetOutcome sets the outcome and its reason on the response.
func SetOutcome(ctx *fasthttp.RequestCtx, outcome call.Outcome, reason call.Reason) {
	ctx.Response.Header.Set(call.HeaderOutcome, string(outcome))
	ctx.Response.Header.Set(call.HeaderReason, string(reason))
}

// protocolVersion is the version of all responses, whatever that of the upstream's: a body in
// chunks is not part of HTTP/1.0 (RFC 9112, sections 2.3 and 6.1).
var protocolVersion = []byte("HTTP/1.1")

// RelayResponse relays a response of an upstream or another daemon to the caller,
// unchanged but for the version, the hop-by-hop headers and those reserved for
// daemons. The body may still be a stream; if it ends early, the caller's connection
// is closed. done is called once the body has been relayed or dropped.
func RelayResponse(ctx *fasthttp.RequestCtx, from *fasthttp.Response, dialect Dialect, done func()) {
	length := from.Header.ContentLength()
	from.Header.CopyTo(&ctx.Response.Header)
	ctx.Response.Header.SetProtocol(protocolVersion)
	deleteHopByHopHeaders(&ctx.Response.Header, dialect.EndToEnd)
	for _, name := range daemonHeaders {
		ctx.Response.Header.Del(name)
	}
	t := transferOf(ctx)
	body := &relayedBody{from: from, done: done, transfer: t}
	switch {
	case ctx.IsHead():
		ctx.Response.SkipBody = true
		if length >= 0 {
			ctx.Response.Header.Set("Content-Length", strconv.Itoa(length))
		}
		_ = body.Close()
	case from.IsBodyStream():
		ctx.Response.SetBodyStream(body, length)
	case t.keep(from):
		ctx.Response.SetBodyRaw(from.Body())
		done()
	default:
		ctx.Response.SetBody(from.Body())
		_ = body.Close()
	}
}

// relayedBody reads the body of another response and releases that response at the end.
type relayedBody struct {
	from     *fasthttp.Response
	done     func()
	closed   bool
	transfer *Transfer
}

func (p *relayedBody) Read(b []byte) (int, error) {
	if p.closed {
		return 0, io.ErrClosedPipe
	}
	// What was read before has been written.
	p.transfer.awaitUpstream()
	defer p.transfer.answer()
	return p.from.BodyStream().Read(b)
}

// Close closes the stream and releases the response.
func (p *relayedBody) Close() error {
	if p.closed {
		return nil
	}
	p.closed = true
	err := p.from.CloseBodyStream()
	fasthttp.ReleaseResponse(p.from)
	p.done()
	return err
}

// header is the header of a request or a response.
type header interface {
	Del(name string)
	PeekAll(name string) [][]byte
}

// deleteHopByHopHeaders deletes the headers that apply to one connection only
// (RFC 9110, section 7.6.1): those of HTTP itself, and those that the Connection header
// names, unless they are in endToEnd.
func deleteHopByHopHeaders(h header, endToEnd []string) {
	for _, line := range h.PeekAll("Connection") {
		for name := range strings.SplitSeq(string(line), ",") {
			name = strings.TrimSpace(name)
			if !containsFold(endToEnd, name) && !containsFold(messageHeaders, name) {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

func containsFold(names []string, name string) bool {
	return slices.ContainsFunc(names, func(n string) bool { return strings.EqualFold(n, name) })
}

var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length",
}

// messageHeaders describe the message or its body, and never a connection.
var messageHeaders = []string{
	"Host", "Content-Type", "Content-Encoding", "Content-Range", "Date",
}
