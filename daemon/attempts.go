package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/exchange"
	"pomelodoor.example/pomelodoor/follow"
	"pomelodoor.example/pomelodoor/ingress"
	"pomelodoor.example/pomelodoor/node"
)

// answer is the result of one attempt. response is nil if there is no response to
// forward.
type answer struct {
	result   node.Attempt
	response *fasthttp.Response
	// done is called once the response has been forwarded or discarded; it may be
	// nil.
	done func()
}

// finish calls done, if set.
func (a *answer) finish() {
	if a != nil && a.done != nil {
		a.done()
	}
}

// discard releases a response that is not needed.
func (a *answer) discard() {
	if a == nil || a.response == nil {
		return
	}
	_ = a.response.CloseBodyStream()
	fasthttp.ReleaseResponse(a.response)
	a.response = nil
	a.finish()
}

// send makes one attempt, either at the local upstream or through another
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

// sendPeer makes one attempt through another daemon, without measuring its
// latency.
func (d *Daemon) sendPeer(ctx context.Context, address string, f ingress.Forwarded, req *fasthttp.Request) *answer {
	if ingress.CallerLeft(ctx, time.Now()) {
		return &answer{result: node.Attempt{Outcome: call.NotRun, Reason: call.Cancelled}}
	}
	held := d.storeCopy.version()
	f.Era, f.Revision = held.Era, held.Revision
	ingress.WriteForwarded(&req.Header, f, time.Now())
	resp := fasthttp.AcquireResponse()
	if err := d.peers.get(address).Do(ctx, req, resp); err != nil {
		fasthttp.ReleaseResponse(resp)
		outcome, reason := classifyFailure(ctx, err)
		return &answer{result: node.Attempt{
			Outcome: outcome, Reason: reason,
			Unreachable: reason == call.ConnectFailed,
		}}
	}
	a := &answer{response: resp}
	var theirs follow.Version
	a.result, theirs = readResult(resp, f.Target)
	d.observeVersion(theirs, f.Target)
	if len(resp.Header.Peek(call.HeaderOutcome)) == 0 && req.MayContinue() && !bodyConsumed(req) {
		// The other daemon refused the request before it received the body.
		a.result = node.Attempt{Outcome: call.NotRun, Reason: call.Overloaded}
	}
	if a.result.Outcome != call.Run {
		a.discard()
	}
	return a
}

// bodyConsumed reports whether any part of a request's streamed body has been
// read. It reports true for a body that is not an exchange.Source.
func bodyConsumed(req *fasthttp.Request) bool {
	source, ok := req.BodyStream().(*exchange.Source)
	return !ok || source.Consumed()
}

// readResult reads the outcome that the other daemon reports, and the version of the
// store that it holds. A response without a valid outcome and report of the
// target daemon is treated as a lost connection; only WrongIncarnation may come
// from another daemon.
func readResult(resp *fasthttp.Response, target string) (node.Attempt, follow.Version) {
	h := &resp.Header
	result := node.Attempt{
		Outcome:  call.Outcome(h.Peek(call.HeaderOutcome)),
		Reason:   call.Reason(h.Peek(call.HeaderReason)),
		Status:   resp.StatusCode(),
		Answered: true,
	}
	valid := result.Outcome == call.Run || result.Outcome == call.NotRun || result.Outcome == call.Unknown
	report, err := ingress.ReadReport(h)
	if !valid || err != nil || report.From != target && result.Reason != call.WrongIncarnation {
		return node.Attempt{Outcome: call.Unknown, Reason: call.ConnectionLost}, follow.Version{}
	}
	result.Load, result.HasLoad = report.Load, report.HasLoad
	result.RemoteTime, result.Work = report.Elapsed, report.Work
	return result, follow.Version{Era: report.Era, Revision: report.Revision}
}

// classifyFailure returns the outcome and the reason of a failed exchange.
func classifyFailure(ctx context.Context, err error) (call.Outcome, call.Reason) {
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
	case errors.Is(err, exchange.ErrInvalidHead):
		return outcome, call.InvalidResponse
	case errors.Is(err, exchange.ErrBusy):
		return outcome, call.Overloaded
	case outcome == call.NotRun:
		return outcome, call.ConnectFailed
	}
	return outcome, call.ConnectionLost
}
