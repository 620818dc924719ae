package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/ingress"
	"pomelodoor.example/pomelodoor/logline"
	"pomelodoor.example/pomelodoor/node"
)

// maxForwardedBodyBytes bounds the body of a request that another daemon
// forwards. That daemon has already applied the limit of the service.
const maxForwardedBodyBytes = 1 << 30

// callerCall is a caller's request while its handler runs.
type callerCall struct {
	d       *Daemon
	ctx     *fasthttp.RequestCtx
	request call.Request
	body    *ingress.Body
	mailbox chan node.Command
	// callerCtx ends when the caller disconnects or the deadline passes.
	callerCtx context.Context

	attempts sync.WaitGroup
	mu       sync.Mutex
	byNumber map[int]*outgoing
	// route is the route of the last attempt; "" before the first one.
	route string
}

// outgoing is one attempt. answer is nil until the attempt has ended.
type outgoing struct {
	cancel context.CancelFunc
	answer *answer
}

// serveCaller handles a caller's request.
func (d *Daemon) serveCaller(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	request, body, err := d.readCaller(ctx, now)
	if err != nil {
		d.refuseRequest(ctx, err)
		return
	}
	mailbox, _ := d.calls.add(request.ID)
	defer d.calls.remove(request.ID)
	deadline := request.Deadline
	if deadline.IsZero() {
		deadline = now.Add(d.maxTimeout(request.Service))
	}
	callerCtx, stopWatch := d.watch.Context(ctx.Conn(), deadline, time.Now())
	callerCtx = ingress.WithTransfer(callerCtx, ctx)
	if errors.Is(callerCtx.Err(), context.Canceled) {
		stopWatch()
		d.refuseGone(ctx, request)
		return
	}
	c := &callerCall{
		d: d, ctx: ctx, request: request, body: body, mailbox: mailbox,
		callerCtx: callerCtx, byNumber: map[int]*outgoing{},
	}
	d.update(node.CallerRequest{Request: request})
	outcome, reason := c.serve(stopWatch)
	d.closeConnIfLeaving(ctx)
	took := time.Since(now)
	d.recordCall(request.Service, outcome, reason, ctx.Response.StatusCode(), took)
	d.metrics.latencies.add(c.route, outcome, took)
	d.logAnswered(request, outcome, reason, ctx.Response.StatusCode(), took)
}

// closeConnIfLeaving closes the connection after this response if the daemon is
// shutting down.
func (d *Daemon) closeConnIfLeaving(ctx *fasthttp.RequestCtx) {
	if d.leaving.Load() {
		ctx.SetConnectionClose()
	}
}

// readCaller parses a request and buffers its body if it is short.
func (d *Daemon) readCaller(ctx *fasthttp.RequestCtx, now time.Time) (call.Request, *ingress.Body, error) {
	request, err := ingress.ParseCaller(ctx, d.dialect, now)
	if err != nil {
		return request, nil, fmt.Errorf("read the request: %w", err)
	}
	d.limitBodyTime(ctx, request, now)
	body, err := ingress.ReadBody(ctx, d.maxBodyBytes(request.Service))
	if err != nil {
		return request, nil, fmt.Errorf("read the request: %w", err)
	}
	request.ID = fmt.Sprintf("%016x", rand.Uint64())
	request.Replayable = body.Replayable()
	request.BodyBytes = body.Len()
	caller := request.Caller
	if d.dialect.Anonymous {
		caller = ""
	}
	request.Fingerprint = ingress.Fingerprint(&ctx.Request.Header, caller, body)
	return request, body, nil
}

// refuseRequest answers a request that cannot be parsed or read. Nothing has
// run.
func (d *Daemon) refuseRequest(ctx *fasthttp.RequestCtx, err error) {
	if ingress.Reason(err) == call.Overloaded {
		d.refuseOverloaded(ctx)
		return
	}
	ingress.Refuse(ctx, call.NotRun, ingress.Reason(err), err.Error())
	ctx.SetConnectionClose()
	if d.allowLine(logline.Fault, time.Now()) {
		d.logFor("ingress").Warn("A request cannot be accepted.", "id", d.dialect.Token(&ctx.Request.Header), "error", err)
	}
}

// refuseGone ends a request whose sender had left before it was read.
func (d *Daemon) refuseGone(ctx *fasthttp.RequestCtx, request call.Request) {
	ingress.Refuse(ctx, call.NotRun, call.Cancelled, describeReason(call.Cancelled))
	ctx.SetConnectionClose()
	d.metrics.countAnswer(call.NotRun, call.Cancelled)
	d.logAnswered(request, call.NotRun, call.Cancelled, ctx.Response.StatusCode(), 0)
}

// serve executes the node's commands until one ends the call. stopWatch stops
// the watch on the caller's connection.
func (c *callerCall) serve(stopWatch func()) (call.Outcome, call.Reason) {
	waitDone := c.callerCtx.Done()
	for {
		select {
		case command := <-c.mailbox:
			if outcome, reason, ended := c.handleCommand(command, stopWatch); ended {
				return outcome, reason
			}
		case <-waitDone:
			// The attempts share the context; when the deadline passes, their
			// results determine the outcome.
			waitDone = nil
			if errors.Is(c.callerCtx.Err(), context.Canceled) {
				c.d.update(node.CallerLeft{ID: c.request.ID})
				c.attempts.Wait()
				c.discardExcept(0)
				stopWatch()
				reason := call.Cancelled
				if c.d.watch.Stopped() {
					reason = call.Leaving
				}
				ingress.Refuse(c.ctx, call.Unknown, reason, describeReason(reason))
				return call.Unknown, reason
			}
		}
	}
}

// handleCommand executes one command and reports whether it ended the call.
func (c *callerCall) handleCommand(command node.Command, stopWatch func()) (call.Outcome, call.Reason, bool) {
	switch command := command.(type) {
	case node.Forward:
		c.forward(command)
	case node.CancelForward:
		c.cancel(command.Number)
	case node.Answer:
		c.attempts.Wait()
		c.discardExcept(0)
		stopWatch()
		ingress.Refuse(c.ctx, command.Outcome, command.Reason, describeReason(command.Reason))
		if command.RetryAfter > 0 && c.d.dialect.SetRetryAfter != nil {
			c.d.dialect.SetRetryAfter(&c.ctx.Response, command.RetryAfter)
		}
		c.ctx.Response.Header.Set(call.HeaderCall, c.request.ID)
		return command.Outcome, command.Reason, true
	case node.Deliver:
		outcome, reason := c.deliver(command.Number, stopWatch)
		return outcome, reason, true
	}
	return "", "", false
}

// forward starts one attempt. It copies the request, because only the handler's
// goroutine may use the original.
func (c *callerCall) forward(f node.Forward) {
	if ingress.CallerLeft(c.callerCtx, time.Now()) {
		// The context has ended, and serve ends the call.
		return
	}
	c.route = f.Request.Route
	c.d.logForwarded(f)
	ctx, cancel := context.WithDeadline(c.callerCtx, f.Request.Deadline)
	out := &outgoing{cancel: cancel}
	c.mu.Lock()
	c.byNumber[f.Number] = out
	c.mu.Unlock()
	req := fasthttp.AcquireRequest()
	ingress.CopyHeaders(&c.ctx.Request.Header, req, c.d.dialect)
	c.body.SetOn(req)
	if f.To.ID != c.d.self.ID {
		c.body.ExpectContinue(req)
	}
	c.attempts.Add(1)
	go func() {
		defer c.attempts.Done()
		a := c.d.send(ctx, f, req)
		fasthttp.ReleaseRequest(req)
		a.result.BodyConsumed = c.body.Consumed()
		c.d.logFailedAttempt(f, a.result)
		c.mu.Lock()
		out.answer = a
		c.mu.Unlock()
		c.d.update(node.AttemptEnded{ID: f.ID, Number: f.Number, Result: a.result})
	}()
}

func (c *callerCall) cancel(number int) {
	c.mu.Lock()
	out := c.byNumber[number]
	c.mu.Unlock()
	if out != nil {
		out.cancel()
	}
}

// deliver forwards the answer of one attempt to the caller and discards the
// others. The caller's connection is watched until the body has been forwarded.
func (c *callerCall) deliver(number int, stopWatch func()) (call.Outcome, call.Reason) {
	c.mu.Lock()
	chosen := c.byNumber[number]
	for n, other := range c.byNumber {
		if n != number {
			other.cancel()
		}
	}
	c.mu.Unlock()
	c.attempts.Wait()
	c.discardExcept(number)
	a := chosen.answer
	ingress.RelayResponse(c.ctx, a.response, c.d.dialect, func() {
		a.finish()
		chosen.cancel()
		stopWatch()
	})
	ingress.SetOutcome(c.ctx, a.result.Outcome, a.result.Reason)
	c.ctx.Response.Header.Set(call.HeaderCall, c.request.ID)
	return a.result.Outcome, a.result.Reason
}

// discardExcept discards all answers except that of one attempt. All attempts
// must have ended.
func (c *callerCall) discardExcept(kept int) {
	for number, out := range c.byNumber {
		if number != kept {
			out.answer.discard()
			out.cancel()
		}
	}
}

// describeReason returns a text for a reason.
func describeReason(reason call.Reason) string {
	if text := reasonTexts[reason]; text != "" {
		return text
	}
	return "see the documentation of outcomes"
}

var reasonTexts = map[call.Reason]string{
	call.Cancelled:        "the call was cancelled",
	call.ConnectFailed:    "no connection to the upstream could be opened",
	call.ConnectionLost:   "the connection broke before the answer",
	call.DeadlineExceeded: "the deadline passed",
	call.Evacuated:        "the availability zone is evacuated",
	call.InProgress:       "a request with this key is running",
	call.InvalidResponse:  "the upstream sent no valid response",
	call.KeyExpired:       "the key has expired",
	call.KeyHomeGone:      "the daemon that knows this key cannot be asked",
	call.KeyReused:        "the key belongs to another request",
	call.Leaving:          "the upstream is leaving",
	call.NoConfiguration:  "no configuration has been read yet",
	call.NoSelector:       "no selector matches this caller",
	call.NoUpstream:       "no upstream may serve this caller now",
	call.Overloaded:       "the upstreams are full",
	call.Quarantined:      "requests like this one have crashed upstreams",
	call.RouteClosed:      "the route of this request is closed",
	call.ShortBody:        "the request body was cut short",
	call.Slow:             "the upstream is slow at this moment",
	call.Stale:            "the daemon has old knowledge",
	call.UnknownService:   "no service has the name in the Host header",
	call.UpstreamCrashed:  "the upstream crashed while it ran the request",
	call.WrongIncarnation: "the instance has been replaced",
	call.WrongRegion:      "no region that the route allows can serve the request",
}
