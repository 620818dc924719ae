package daemon

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/exchange"
	"pomelodoor.example/pomelodoor/follow"
	"pomelodoor.example/pomelodoor/ingress"
	"pomelodoor.example/pomelodoor/node"
)

const (
	// To find out whether the upstream is down, up to crashDials connections are
	// opened, each within crashDialTimeout and followed by crashDialPause.
	crashDialTimeout = 200 * time.Millisecond
	crashDials       = 3
	crashDialPause   = 10 * time.Millisecond
)

// servePeer handles a request that another daemon has forwarded, or its query
// for a copy of the store.
func (d *Daemon) servePeer(ctx *fasthttp.RequestCtx) {
	if revision := ctx.Request.Header.Peek(call.HeaderCopy); revision != nil {
		d.serveCopy(ctx, revision)
		return
	}
	now := time.Now()
	f, err := ingress.ParseForwarded(ctx, d.dialect, now)
	if err != nil {
		d.refuseRequest(ctx, err)
		return
	}
	d.observeVersion(follow.Version{Era: f.Era, Revision: f.Revision}, f.From)
	d.limitBodyTime(ctx, f.Request, now)
	body, err := ingress.ReadBody(ctx, maxForwardedBodyBytes)
	if err != nil {
		d.refusePeerBody(ctx, err)
		return
	}
	senderCtx, stopWatch := d.watch.Context(ctx.Conn(), f.Request.Deadline, time.Now())
	senderCtx = ingress.WithTransfer(senderCtx, ctx)
	reserved := d.reserved.claim(f.Request.ID)
	if reserved == nil && !f.Request.Keyed() && errors.Is(senderCtx.Err(), context.Canceled) {
		stopWatch()
		d.refuseGone(ctx, f.Request)
		return
	}
	req := fasthttp.AcquireRequest()
	ingress.CopyHeaders(&ctx.Request.Header, req, d.dialect)
	body.SetOn(req)
	var a *answer
	if reserved != nil {
		a = d.withLoad(reserved.proceed(senderCtx, req))
	} else {
		a = d.serve(senderCtx, f, req)
	}
	fasthttp.ReleaseRequest(req)
	if a.response == nil {
		stopWatch()
		ingress.Refuse(ctx, a.result.Outcome, a.result.Reason, describeReason(a.result.Reason))
	} else {
		ingress.RelayResponse(ctx, a.response, d.dialect, func() {
			a.finish()
			stopWatch()
		})
		ingress.SetOutcome(ctx, a.result.Outcome, a.result.Reason)
	}
	d.writeReport(ctx, a, now)
	d.closeConnIfLeaving(ctx)
}

// writeReport adds the report that only daemons send to each other.
func (d *Daemon) writeReport(ctx *fasthttp.RequestCtx, a *answer, since time.Time) {
	held := d.storeCopy.version()
	ingress.WriteReport(&ctx.Response.Header, ingress.Report{
		From: d.self.ID, Load: a.result.Load, HasLoad: a.result.HasLoad,
		Elapsed: time.Since(since), Work: a.result.Work, Era: held.Era, Revision: held.Revision,
	})
}

// serve asks the node for admission and applies its decision: to run the request
// at the local upstream, forward it to a sibling, or refuse it.
func (d *Daemon) serve(ctx context.Context, f ingress.Forwarded, req *fasthttp.Request) *answer {
	if f.Request.KeyRequest {
		return d.issueKey(f)
	}
	ctx = runContext(ctx, f.Request)
	id := f.Request.ID
	mailbox, added := d.runs.add(id)
	if !added {
		return &answer{result: node.Attempt{Outcome: call.Unknown, Reason: call.InProgress}}
	}
	d.update(node.PeerRequest{
		Request: f.Request, From: f.From, Target: f.Target, Incarnation: f.Incarnation,
	})
	return d.withLoad(d.decideAndServe(ctx, mailbox, f.Request, req))
}

// runContext returns the context of a request's run. A request with a key
// continues when its caller disconnects, so that a resend can get its result; its
// deadline is set where it runs.
func runContext(ctx context.Context, request call.Request) context.Context {
	if !request.Keyed() {
		return ctx
	}
	return ingress.WithoutCaller(ctx)
}

// load returns the current load of the local upstream.
func (d *Daemon) load() balance.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Load(time.Now())
}

// shedding returns what the gate of the local upstream has refused.
func (d *Daemon) shedding() node.Shedding {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Shedding(time.Now())
}

// withLoad adds the load of the local upstream to an answer.
func (d *Daemon) withLoad(a *answer) *answer {
	a.result.Load, a.result.HasLoad = d.load(), true
	a.result.Answered = true
	return a
}

// issueKey answers with a new key. Only this daemon, the home of the key, may allow
// the request with that key to run.
func (d *Daemon) issueKey(f ingress.Forwarded) *answer {
	d.mu.Lock()
	key, ok := d.node.IssueKey(time.Now())
	d.mu.Unlock()
	if !ok || f.Target != d.self.ID {
		return &answer{result: node.Attempt{Outcome: call.NotRun, Reason: call.Leaving}}
	}
	a := &answer{response: fasthttp.AcquireResponse()}
	a.result = node.Attempt{Outcome: call.Run, Reason: call.Answered, Status: fasthttp.StatusOK}
	a.response.SetBodyString(key)
	return a
}

// decideAndServe waits for the node's decision and applies it.
func (d *Daemon) decideAndServe(ctx context.Context, mailbox chan node.Command, request call.Request, req *fasthttp.Request) *answer {
	return d.applyDecision(ctx, d.awaitDecision(ctx, mailbox, request.ID), request, req)
}

// awaitDecision waits for the node's decision on a request: run it, forward it to a
// sibling, or refuse it.
func (d *Daemon) awaitDecision(ctx context.Context, mailbox chan node.Command, id string) node.Command {
	waitDone := ctx.Done()
	for {
		select {
		case command := <-mailbox:
			if _, cancel := command.(node.CancelRun); !cancel {
				return command
			}
		case <-waitDone:
			waitDone = nil
			d.update(node.PeerLeft{ID: id})
		}
	}
}

// applyDecision executes the node's decision.
func (d *Daemon) applyDecision(ctx context.Context, decision node.Command, request call.Request, req *fasthttp.Request) *answer {
	switch c := decision.(type) {
	case node.Run:
		return d.run(ctx, c, request, req)
	case node.HandOn:
		return d.handOn(ctx, c, req)
	case node.Refuse:
		d.runs.remove(request.ID)
		d.logRejected(request, c)
		return refusal(c)
	}
	return &answer{result: node.Attempt{Outcome: call.Unknown, Reason: call.InProgress}}
}

// handOn forwards the request to a sibling and returns its answer.
func (d *Daemon) handOn(ctx context.Context, h node.HandOn, req *fasthttp.Request) *answer {
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, h.Request.Deadline)
	a := d.sendPeer(ctx, h.To.Peer, ingress.Forwarded{
		Request: h.Request, From: d.self.ID, Target: h.To.ID, Incarnation: h.Incarnation,
	}, req)
	a.result.Latency = time.Since(start)
	end := node.HandOnEnded{ID: h.ID, Result: a.result}
	if a.response != nil && !a.response.IsBodyStream() {
		end.Body = a.response.Body()
	}
	d.metrics.handedOn.Add(1)
	d.runs.remove(h.ID)
	a.result.Outcome = resolvedOutcome(d.update(end), h.ID, a.result.Outcome)
	if a.response == nil {
		cancel()
	}
	a.done = cancel
	return a
}

// refusal returns the answer to a request that ends without a run. If the request
// repeats one that has run, it is the stored answer of that run.
func refusal(r node.Refuse) *answer {
	a := &answer{result: node.Attempt{Outcome: r.Outcome, Reason: r.Reason, Status: r.Status}}
	if r.Outcome == call.Run {
		a.response = fasthttp.AcquireResponse()
		a.response.SetStatusCode(r.Status)
		a.response.SetBody(r.Body)
		if !r.BodyComplete {
			a.response.Header.Set(call.HeaderBodyKept, "false")
		}
	}
	return a
}

// run sends the request to the local upstream. The slot is held until the response
// has been read; a streamed body is read while it is forwarded.
func (d *Daemon) run(ctx context.Context, r node.Run, request call.Request, req *fasthttp.Request) *answer {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	start := time.Now()
	if reason, refused := d.refusedBeforeSend(ctx, r, start); refused {
		cancel()
		outcome := d.endRun(request, node.RunEnded{ID: request.ID, Outcome: call.NotRun, Reason: reason})
		return &answer{result: node.Attempt{Outcome: outcome, Reason: reason}}
	}
	request.UpstreamIncarnation = r.UpstreamIncarnation
	d.dialect.WriteUpstreamHeaders(&req.Header, request, start)
	resp := fasthttp.AcquireResponse()
	err := d.upstream.Do(ctx, req, resp)
	if errors.Is(err, exchange.ErrInvalidHead) {
		d.metrics.invalidResponses.Add(1)
	}
	report := d.parseResponse(resp, err)
	if report.NotRun {
		cancel()
		return d.shed(request, resp, report, time.Since(start))
	}
	if err != nil {
		defer cancel()
		fasthttp.ReleaseResponse(resp)
		return d.runFailed(ctx, request, err, time.Since(start))
	}
	end := node.RunEnded{
		ID: request.ID, Outcome: call.Run, Reason: call.Answered, Status: resp.StatusCode(),
		Reading: report.Reading, HasReading: report.HasReading,
	}
	a := &answer{response: resp, result: node.Attempt{
		Outcome: call.Run, Reason: call.Answered, Status: resp.StatusCode(),
	}}
	if resp.IsBodyStream() {
		a.done = func() {
			end.Latency = time.Since(start)
			cancel()
			d.endRun(request, end)
		}
		return a
	}
	cancel()
	end.Latency = time.Since(start)
	if r.Pace > 0 && end.Status < fasthttp.StatusInternalServerError {
		a.result.Work = end.Latency * 100 / time.Duration(r.Pace)
	}
	end.Body = resp.Body()
	d.endRun(request, end)
	return a
}

// refusedBeforeSend reports whether, and why, a request that may run is not sent to the
// local upstream after all.
func (d *Daemon) refusedBeforeSend(ctx context.Context, r node.Run, now time.Time) (call.Reason, bool) {
	switch {
	case !r.SendBefore.IsZero() && !now.Before(r.SendBefore):
		return call.Stale, true
	case ingress.CallerLeft(ctx, now):
		return call.Cancelled, true
	case d.evacuated():
		d.metrics.evacuated.Add(1)
		return call.Evacuated, true
	}
	return "", false
}

// parseResponse reads the headers of a response to a request that ended with err. A response
// with an invalid status is none, but may prove that nothing has run.
func (d *Daemon) parseResponse(resp *fasthttp.Response, err error) ingress.UpstreamReport {
	if err != nil && !errors.Is(err, exchange.ErrInvalidStatus) {
		return ingress.UpstreamReport{}
	}
	return d.dialect.ParseResponse(resp)
}

// runFailed ends a run that has brought no response.
func (d *Daemon) runFailed(ctx context.Context, request call.Request, err error, took time.Duration) *answer {
	outcome, reason := classifyFailure(ctx, err)
	mayHaveCrashed := errors.Is(err, exchange.ErrResponseLost) && ctx.Err() == nil &&
		!errors.Is(err, exchange.ErrBodySource) && !errors.Is(err, exchange.ErrInvalidHead)
	crashed := mayHaveCrashed && d.upstreamDown()
	if crashed {
		reason = call.UpstreamCrashed
	}
	outcome = d.endRun(request, node.RunEnded{ID: request.ID, Outcome: outcome, Reason: reason, Latency: took, Crashed: crashed})
	return &answer{result: node.Attempt{Outcome: outcome, Reason: reason}}
}

// shed ends a request that the upstream reports as not run.
func (d *Daemon) shed(request call.Request, resp *fasthttp.Response, report ingress.UpstreamReport, took time.Duration) *answer {
	reason := call.UpstreamShed
	if report.Replaced {
		reason = call.UpstreamReplaced
	}
	_ = resp.CloseBodyStream()
	fasthttp.ReleaseResponse(resp)
	outcome := d.endRun(request, node.RunEnded{
		ID: request.ID, Outcome: call.NotRun, Reason: reason, Latency: took,
		Reading: report.Reading, HasReading: report.HasReading,
	})
	return &answer{result: node.Attempt{Outcome: outcome, Reason: reason}}
}

// upstreamDown reports whether the upstream refuses connections, which
// distinguishes a crash from a single broken connection. A dying process may lose
// its connections shortly before its listener, so one successful dial is not
// enough.
func (d *Daemon) upstreamDown() bool {
	for range crashDials {
		c, err := net.DialTimeout("tcp", d.settings.Upstream, crashDialTimeout)
		if err != nil {
			return true
		}
		_ = c.Close()
		time.Sleep(crashDialPause)
	}
	return false
}

// endRun reports the end of a run to the node and returns the outcome to answer with.
// The mailbox is removed first: no further command can follow for this request.
func (d *Daemon) endRun(request call.Request, m node.RunEnded) call.Outcome {
	d.runs.remove(m.ID)
	d.logRun(request, m)
	return resolvedOutcome(d.update(m), m.ID, m.Outcome)
}

// resolvedOutcome returns the node's corrected outcome, or the given one if the
// node does not correct it.
func resolvedOutcome(commands []node.Command, id string, outcome call.Outcome) call.Outcome {
	for _, c := range commands {
		if correction, ok := c.(node.CorrectOutcome); ok && correction.ID == id {
			return correction.Outcome
		}
	}
	return outcome
}
