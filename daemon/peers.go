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
	"pomelodoor.example/pomelodoor/ingress"
	"pomelodoor.example/pomelodoor/node"
)

const (
	// crashCheck bounds a connection that tells whether the upstream is up, of
	// which there are crashChecks with crashPause after each.
	crashCheck  = 200 * time.Millisecond
	crashChecks = 3
	crashPause  = 10 * time.Millisecond
)

// servePeer takes a request that another daemon has forwarded.
func (d *Daemon) servePeer(ctx *fasthttp.RequestCtx) {
	if known := ctx.Request.Header.Peek(call.HeaderCopy); known != nil {
		d.serveCopy(ctx, known)
		return
	}
	now := time.Now()
	f, err := ingress.ParseForwarded(ctx, d.dialect, now)
	if err != nil {
		d.refuseRequest(ctx, err)
		return
	}
	d.hear(f.Revision, f.From)
	body, err := ingress.ReadBody(ctx, maxCallerBody)
	if err != nil {
		d.refuseRequest(ctx, err)
		return
	}
	if !body.Replayable() {
		_ = ctx.Conn().SetReadDeadline(f.Request.Deadline)
	}
	waiting, done := d.watch.Context(ctx.Conn(), f.Request.Deadline)
	req := fasthttp.AcquireRequest()
	ingress.CopyHead(&ctx.Request.Header, req)
	body.Put(req)
	var a *answer
	if r := d.reserved.claim(f.Request.ID); r != nil {
		a = d.withLoad(r.proceed(waiting, req))
	} else {
		a = d.serve(waiting, f, req)
	}
	fasthttp.ReleaseRequest(req)
	if a.response == nil {
		done()
		ingress.Refuse(ctx, a.result.Outcome, a.result.Reason, explain(a.result.Reason))
	} else {
		ingress.Pass(ctx, a.response, func() {
			a.finish()
			done()
		})
		ingress.SetOutcome(ctx, a.result.Outcome, a.result.Reason)
	}
	d.writeOwn(ctx, a, now)
	d.endIfLeaving(ctx)
}

// writeOwn adds what only daemons tell each other.
func (d *Daemon) writeOwn(ctx *fasthttp.RequestCtx, a *answer, since time.Time) {
	ingress.WriteReport(&ctx.Response.Header, ingress.Report{
		From: d.self.ID, Load: a.result.Load, HasLoad: a.result.HasLoad,
		Spent: time.Since(since), Work: a.result.Work, Revision: d.held.known.Load(),
	})
}

// serve asks the node for admission, and runs the request on the own upstream
// if that is granted.
func (d *Daemon) serve(ctx context.Context, f ingress.Forwarded, req *fasthttp.Request) *answer {
	if f.Request.Issue {
		return d.issueKey(f)
	}
	ctx = lasting(ctx, f.Request)
	id := f.Request.ID
	box, fresh := d.runs.add(id)
	if !fresh {
		return &answer{result: node.Attempt{Outcome: call.Unknown, Reason: call.InProgress}}
	}
	d.update(node.PeerRequest{
		Request: f.Request, From: f.From, Target: f.Target, Incarnation: f.Incarnation,
	})
	return d.withLoad(d.await(ctx, box, f.Request, req))
}

// lasting returns the context of a request's run. The run of a key goes on when
// the caller leaves, so that a resend can be told how it ended; its deadline is
// set where it runs.
func lasting(ctx context.Context, request call.Request) context.Context {
	if !request.Keyed() {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

// load returns the load of the own upstream now.
func (d *Daemon) load() balance.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Load(time.Now())
}

// withLoad adds the load of the own upstream to an answer.
func (d *Daemon) withLoad(a *answer) *answer {
	a.result.Load, a.result.HasLoad = d.load(), true
	a.result.Answered = true
	return a
}

// issueKey answers with a key that only this daemon lets run.
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

// await waits for the node's decision and carries it out.
func (d *Daemon) await(ctx context.Context, box chan node.Command, request call.Request, req *fasthttp.Request) *answer {
	return d.carryOut(ctx, d.decision(ctx, box, request.ID), request, req)
}

// decision waits for the node's decision on a request: to run it, to hand it on
// or to refuse it.
func (d *Daemon) decision(ctx context.Context, box chan node.Command, id string) node.Command {
	left := ctx.Done()
	for {
		select {
		case command := <-box:
			if _, cancel := command.(node.CancelRun); !cancel {
				return command
			}
		case <-left:
			left = nil
			d.update(node.PeerLeft{ID: id})
		}
	}
}

// carryOut does what the node has decided.
func (d *Daemon) carryOut(ctx context.Context, decision node.Command, request call.Request, req *fasthttp.Request) *answer {
	switch c := decision.(type) {
	case node.Run:
		return d.run(ctx, c, request, req)
	case node.HandOn:
		return d.handOn(ctx, c, req)
	case node.Refuse:
		d.runs.remove(request.ID)
		d.lineTurnedAway(request, c)
		return refused(c)
	}
	return &answer{result: node.Attempt{Outcome: call.Unknown, Reason: call.InProgress}}
}

// handOn lets a sibling serve the request, and passes its answer back.
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
	a.result.Outcome = settled(d.update(end), h.ID, a.result.Outcome)
	if a.response == nil {
		cancel()
	}
	a.done = cancel
	return a
}

// refused is the answer to a request that ends without a run of its own.
func refused(r node.Refuse) *answer {
	a := &answer{result: node.Attempt{Outcome: r.Outcome, Reason: r.Reason, Status: r.Status}}
	if r.Outcome == call.Run {
		a.response = fasthttp.AcquireResponse()
		a.response.SetStatusCode(r.Status)
		a.response.SetBody(r.Body)
		if !r.Whole {
			a.response.Header.Set(call.HeaderBodyKept, "false")
		}
	}
	return a
}

// run sends the request to the own upstream. The slot is held until the answer
// has been passed on.
func (d *Daemon) run(ctx context.Context, r node.Run, request call.Request, req *fasthttp.Request) *answer {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	start := time.Now()
	if !r.Before.IsZero() && !start.Before(r.Before) {
		cancel()
		outcome := d.ended(request, node.RunEnded{ID: request.ID, Outcome: call.NotRun, Reason: call.Stale})
		return &answer{result: node.Attempt{Outcome: outcome, Reason: call.Stale}}
	}
	request.Upstream = r.Upstream
	d.dialect.Onward(&req.Header, request, start)
	resp := fasthttp.AcquireResponse()
	err := d.upstream.Do(ctx, req, resp)
	if err != nil {
		outcome, reason := failure(ctx, err)
		crashed := errors.Is(err, exchange.ErrLost) && ctx.Err() == nil && !errors.Is(err, exchange.ErrBodySource) &&
			d.upstreamGone()
		if crashed {
			reason = call.UpstreamCrashed
		}
		cancel()
		fasthttp.ReleaseResponse(resp)
		outcome = d.ended(request, node.RunEnded{ID: request.ID, Outcome: outcome, Reason: reason, Latency: time.Since(start), Crashed: crashed})
		return &answer{result: node.Attempt{Outcome: outcome, Reason: reason}}
	}
	told := d.dialect.Answer(resp)
	if told.NotRun {
		cancel()
		return d.shed(request, resp, told, time.Since(start))
	}
	end := node.RunEnded{
		ID: request.ID, Outcome: call.Run, Reason: call.Answered, Status: resp.StatusCode(),
		Reading: told.Reading, HasReading: told.HasReading,
	}
	a := &answer{response: resp, result: node.Attempt{
		Outcome: call.Run, Reason: call.Answered, Status: resp.StatusCode(),
	}}
	if resp.IsBodyStream() {
		a.done = func() {
			end.Latency = time.Since(start)
			cancel()
			d.ended(request, end)
		}
		return a
	}
	cancel()
	end.Latency = time.Since(start)
	if r.Pace > 0 && end.Status < fasthttp.StatusInternalServerError {
		a.result.Work = end.Latency * 100 / time.Duration(r.Pace)
	}
	end.Body = resp.Body()
	d.ended(request, end)
	return a
}

// shed ends a request that the upstream says it did not run.
func (d *Daemon) shed(request call.Request, resp *fasthttp.Response, told ingress.Answer, took time.Duration) *answer {
	reason := call.UpstreamShed
	if told.Replaced {
		reason = call.UpstreamReplaced
	}
	_ = resp.CloseBodyStream()
	fasthttp.ReleaseResponse(resp)
	outcome := d.ended(request, node.RunEnded{
		ID: request.ID, Outcome: call.NotRun, Reason: reason, Latency: took,
		Reading: told.Reading, HasReading: told.HasReading,
	})
	return &answer{result: node.Attempt{Outcome: outcome, Reason: reason}}
}

// upstreamGone reports whether the upstream no longer takes connections, which
// tells a crash from one connection that broke. A process that dies may lose its
// connections a little before its listener, so one success is not believed.
func (d *Daemon) upstreamGone() bool {
	for range crashChecks {
		c, err := net.DialTimeout("tcp", d.settings.Upstream, crashCheck)
		if err != nil {
			return true
		}
		_ = c.Close()
		time.Sleep(crashPause)
	}
	return false
}

// ended tells the node of a run's end, and returns what may be told of it. The
// mailbox closes first: nothing more can come for this request.
func (d *Daemon) ended(request call.Request, m node.RunEnded) call.Outcome {
	d.runs.remove(m.ID)
	d.lineRun(request, m)
	return settled(d.update(m), m.ID, m.Outcome)
}

// settled returns the outcome that the node puts in place of another, or that.
func settled(commands []node.Command, id string, outcome call.Outcome) call.Outcome {
	for _, c := range commands {
		if s, ok := c.(node.Settled); ok && s.ID == id {
			return s.Outcome
		}
	}
	return outcome
}
