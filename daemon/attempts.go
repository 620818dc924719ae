package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/exchange"
	"pomelodoor.example/pomelodoor/ingress"
	"pomelodoor.example/pomelodoor/node"
)

// answer is what came of one attempt. response is nil when there was no answer.
type answer struct {
	result   node.Attempt
	response *fasthttp.Response
	// done is called once the response has been passed on; it may be nil.
	done func()
}

// finish notes that the response has been passed on.
func (a *answer) finish() {
	if a != nil && a.done != nil {
		a.done()
	}
}

// drop lets go of a response that is not wanted.
func (a *answer) drop() {
	if a == nil || a.response == nil {
		return
	}
	_ = a.response.CloseBodyStream()
	fasthttp.ReleaseResponse(a.response)
	a.response = nil
	a.finish()
}

// send makes one attempt: at this daemon's own upstream, or through another
// daemon.
func (d *Daemon) send(ctx context.Context, f node.Forward, req *fasthttp.Request) *answer {
	start := time.Now()
	forwarded := ingress.Forwarded{
		Request: f.Request, From: d.self.ID, Target: f.To.ID, Incarnation: f.Incarnation,
	}
	var a *answer
	if f.To.ID == d.self.ID {
		a = d.serve(ctx, forwarded, req)
	} else {
		a = d.sendPeer(ctx, f.To.Peer, forwarded, req)
	}
	a.result.Latency = time.Since(start)
	return a
}

// sendPeer makes one attempt through another daemon.
func (d *Daemon) sendPeer(ctx context.Context, address string, f ingress.Forwarded, req *fasthttp.Request) *answer {
	f.Revision = d.held.known.Load()
	ingress.WriteForwarded(&req.Header, f, time.Now())
	resp := fasthttp.AcquireResponse()
	if err := d.peers.get(address).Do(ctx, req, resp); err != nil {
		fasthttp.ReleaseResponse(resp)
		outcome, reason := failure(ctx, err)
		return &answer{result: node.Attempt{
			Outcome: outcome, Reason: reason,
			Unreachable: reason == call.ConnectFailed,
		}}
	}
	a := &answer{response: resp}
	var revision uint64
	a.result, revision = readResult(resp, f.Target)
	d.hear(revision, f.Target)
	if len(resp.Header.Peek(call.HeaderOutcome)) == 0 && req.MayContinue() && !bodyTaken(req) {
		// The other daemon refused before it was sent the body.
		a.result = node.Attempt{Outcome: call.NotRun, Reason: call.Overloaded}
	}
	if a.result.Outcome != call.Run {
		a.drop()
	}
	return a
}

// bodyTaken reports whether any of a request's streamed body has been read.
func bodyTaken(req *fasthttp.Request) bool {
	source, ok := req.BodyStream().(*exchange.Source)
	return !ok || source.Taken()
}

// readResult reads what the other daemon says became of the request. An answer
// that is not from the daemon meant is worth nothing. It returns the store's
// revision that the other holds, too.
func readResult(resp *fasthttp.Response, target string) (node.Attempt, uint64) {
	h := &resp.Header
	result := node.Attempt{
		Outcome:  call.Outcome(h.Peek(call.HeaderOutcome)),
		Reason:   call.Reason(h.Peek(call.HeaderReason)),
		Status:   resp.StatusCode(),
		Answered: true,
	}
	known := result.Outcome == call.Run || result.Outcome == call.NotRun || result.Outcome == call.Unknown
	report, err := ingress.ReadReport(h)
	if !known || err != nil || report.From != target && result.Reason != call.WrongIncarnation {
		return node.Attempt{Outcome: call.Unknown, Reason: call.ConnectionLost}, 0
	}
	result.Load, result.HasLoad = report.Load, report.HasLoad
	result.Spent, result.Work = report.Spent, report.Work
	return result, report.Revision
}

// failure says what an exchange that failed proves about the request.
func failure(ctx context.Context, err error) (call.Outcome, call.Reason) {
	outcome := call.Unknown
	if errors.Is(err, exchange.ErrNotSent) {
		outcome = call.NotRun
	}
	switch {
	case errors.Is(err, exchange.ErrBodySource):
		return outcome, call.ShortBody
	case errors.Is(ctx.Err(), context.Canceled):
		return outcome, call.Cancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome, call.DeadlineExceeded
	case errors.Is(err, exchange.ErrBusy):
		return outcome, call.Overloaded
	case outcome == call.NotRun:
		return outcome, call.ConnectFailed
	}
	return outcome, call.ConnectionLost
}
