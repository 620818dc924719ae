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
	"pomelodoor.example/pomelodoor/node"
)

// maxCallerBody bounds a body where no document states the bound of its
// service yet.
const maxCallerBody = 1 << 30

// callerCall is one caller's request while its handler runs.
type callerCall struct {
	d       *Daemon
	ctx     *fasthttp.RequestCtx
	request call.Request
	body    *ingress.Body
	box     chan node.Command
	// waiting ends when the caller goes or the deadline passes.
	waiting context.Context

	attempts sync.WaitGroup
	mu       sync.Mutex
	open     map[int]*outgoing
	// route is the one that the request was found to take, once it is known.
	route string
}

// outgoing is one attempt: how to cancel it, and its answer once it has one.
type outgoing struct {
	cancel context.CancelFunc
	answer *answer
}

// serveCaller takes a caller's request from its arrival to its answer.
func (d *Daemon) serveCaller(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	request, body, err := d.readCaller(ctx, now)
	if err != nil {
		d.refuseRequest(ctx, err)
		return
	}
	box, _ := d.calls.add(request.ID)
	defer d.calls.remove(request.ID)
	deadline := request.Deadline
	if deadline.IsZero() {
		deadline = now.Add(d.longestWait(request.Service))
	}
	waiting, done := d.watch.Context(ctx.Conn(), deadline)
	c := &callerCall{
		d: d, ctx: ctx, request: request, body: body, box: box,
		waiting: waiting, open: map[int]*outgoing{},
	}
	d.update(node.CallerRequest{Request: request})
	outcome, reason := c.serve(done)
	d.endIfLeaving(ctx)
	took := time.Since(now)
	d.record(request.Service, outcome, reason, ctx.Response.StatusCode(), took)
	d.metrics.latencies.add(c.route, outcome, took)
	d.lineAnswered(request, outcome, reason, ctx.Response.StatusCode(), took)
}

// endIfLeaving lets the connection end with this answer if the daemon is
// shutting down.
func (d *Daemon) endIfLeaving(ctx *fasthttp.RequestCtx) {
	if d.leaving.Load() {
		ctx.SetConnectionClose()
	}
}

// readCaller parses a request and holds its body if that is short.
func (d *Daemon) readCaller(ctx *fasthttp.RequestCtx, now time.Time) (call.Request, *ingress.Body, error) {
	request, err := ingress.ParseCaller(ctx, d.dialect, now)
	if err != nil {
		return request, nil, fmt.Errorf("read the request: %w", err)
	}
	body, err := ingress.ReadBody(ctx, d.maxBody(request.Service))
	if err != nil {
		return request, nil, fmt.Errorf("read the request: %w", err)
	}
	if !body.Replayable() {
		// The read timeout covers the headers; a long body has the deadline.
		_ = ctx.Conn().SetReadDeadline(now.Add(d.longestWait(request.Service)))
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

// refuseRequest answers a request that cannot be accepted; nothing has run.
func (d *Daemon) refuseRequest(ctx *fasthttp.RequestCtx, err error) {
	ingress.Refuse(ctx, call.NotRun, ingress.Reason(err), err.Error())
	ctx.SetConnectionClose()
	d.part("ingress").Warn("A request cannot be accepted.", "id", d.dialect.Token(&ctx.Request.Header), "error", err)
}

// serve carries out the node's commands until one ends the call. The function
// done stops the watch on the caller's connection.
func (c *callerCall) serve(done func()) (call.Outcome, call.Reason) {
	left := c.waiting.Done()
	for {
		select {
		case command := <-c.box:
			if outcome, reason, ended := c.carryOut(command, done); ended {
				return outcome, reason
			}
		case <-left:
			// The attempts end by the same context, and their ends decide.
			left = nil
			if errors.Is(c.waiting.Err(), context.Canceled) {
				c.d.update(node.CallerLeft{ID: c.request.ID})
				c.attempts.Wait()
				c.drop(0)
				done()
				ingress.Refuse(c.ctx, call.Unknown, call.Cancelled, "the caller has gone")
				return call.Unknown, call.Cancelled
			}
		}
	}
}

// carryOut does one command, and reports whether it ended the call.
func (c *callerCall) carryOut(command node.Command, done func()) (call.Outcome, call.Reason, bool) {
	switch command := command.(type) {
	case node.Forward:
		c.forward(command)
	case node.CancelForward:
		c.cancel(command.Number)
	case node.Answer:
		c.attempts.Wait()
		c.drop(0)
		done()
		ingress.Refuse(c.ctx, command.Outcome, command.Reason, explain(command.Reason))
		if command.ComeBack > 0 && c.d.dialect.Refuse != nil {
			c.d.dialect.Refuse(&c.ctx.Response, command.ComeBack)
		}
		c.ctx.Response.Header.Set(call.HeaderCall, c.request.ID)
		return command.Outcome, command.Reason, true
	case node.Deliver:
		outcome, reason := c.deliver(command.Number, done)
		return outcome, reason, true
	}
	return "", "", false
}

// forward starts one attempt. The request is copied here, because the handler's
// own may only be touched by this goroutine.
func (c *callerCall) forward(f node.Forward) {
	c.route = f.Request.Route
	c.d.lineForwarded(f)
	ctx, cancel := context.WithDeadline(c.waiting, f.Request.Deadline)
	out := &outgoing{cancel: cancel}
	c.mu.Lock()
	c.open[f.Number] = out
	c.mu.Unlock()
	req := fasthttp.AcquireRequest()
	ingress.CopyHead(&c.ctx.Request.Header, req)
	c.body.Put(req)
	if f.To.ID != c.d.self.ID {
		c.body.Reserve(req)
	}
	c.attempts.Add(1)
	go func() {
		defer c.attempts.Done()
		a := c.d.send(ctx, f, req)
		fasthttp.ReleaseRequest(req)
		a.result.BodyTaken = c.body.Taken()
		c.d.lineAttempt(f, a.result)
		c.mu.Lock()
		out.answer = a
		c.mu.Unlock()
		c.d.update(node.AttemptEnded{ID: f.ID, Number: f.Number, Result: a.result})
	}()
}

func (c *callerCall) cancel(number int) {
	c.mu.Lock()
	out := c.open[number]
	c.mu.Unlock()
	if out != nil {
		out.cancel()
	}
}

// deliver passes one attempt's answer on, and drops those of the others. The
// watch on the caller goes on until the body has been passed on.
func (c *callerCall) deliver(number int, done func()) (call.Outcome, call.Reason) {
	c.mu.Lock()
	chosen := c.open[number]
	for n, other := range c.open {
		if n != number {
			other.cancel()
		}
	}
	c.mu.Unlock()
	c.attempts.Wait()
	c.drop(number)
	a := chosen.answer
	ingress.Pass(c.ctx, a.response, func() {
		a.finish()
		chosen.cancel()
		done()
	})
	ingress.SetOutcome(c.ctx, a.result.Outcome, a.result.Reason)
	c.ctx.Response.Header.Set(call.HeaderCall, c.request.ID)
	return a.result.Outcome, a.result.Reason
}

// drop lets go of every answer but that of one attempt. All attempts have ended.
func (c *callerCall) drop(but int) {
	for number, out := range c.open {
		if number != but {
			out.answer.drop()
			out.cancel()
		}
	}
}

// explain puts a reason into a sentence.
func explain(reason call.Reason) string {
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
	call.InProgress:       "a request with this key is running",
	call.KeyExpired:       "the key has expired",
	call.KeyHomeGone:      "the daemon that knows this key cannot be asked",
	call.KeyReused:        "the key belongs to another request",
	call.Leaving:          "the upstream is leaving",
	call.NoConfiguration:  "no configuration has been read yet",
	call.NoSelector:       "no selector matches this caller",
	call.NoUpstream:       "no upstream may serve this caller now",
	call.Overloaded:       "the upstreams are full",
	call.Quarantined:      "requests like this one have crashed upstreams",
	call.ShortBody:        "the request body was cut short",
	call.Slow:             "the upstream is slow at this moment",
	call.Stale:            "the daemon has old knowledge",
	call.UnknownService:   "no service has the name in the Host header",
	call.UpstreamCrashed:  "the upstream crashed while it ran the request",
	call.WrongIncarnation: "the instance has been replaced",
}
