package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/ingress"
	"pomelodoor.example/pomelodoor/node"
)

// claimWithin is how long a granted request may take to begin sending its body.
const claimWithin = 5 * time.Second

// reservations holds the requests that have been decided on and whose bodies
// are on their way.
type reservations struct {
	mu   sync.Mutex
	open map[string]*reservation
}

// reservation is one decision that waits for its body.
type reservation struct {
	d        *Daemon
	request  call.Request
	decision node.Command
	expiry   *time.Timer
}

func newReservations() *reservations {
	return &reservations{open: map[string]*reservation{}}
}

// claim takes a reservation out, or returns nil.
func (r *reservations) claim(id string) *reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.open[id]
	if held == nil {
		return nil
	}
	held.expiry.Stop()
	delete(r.open, id)
	return held
}

// expectPeer decides on a forwarded request before its long body is sent. It
// answers 100 when the body is wanted.
func (d *Daemon) expectPeer(ctx *fasthttp.RequestCtx) int {
	f, err := ingress.ParseForwarded(ctx, d.dialect, time.Now())
	if err != nil || f.Request.Issue {
		// The handler says what is wrong.
		return fasthttp.StatusContinue
	}
	box, fresh := d.runs.add(f.Request.ID)
	if !fresh {
		return fasthttp.StatusContinue
	}
	waiting, done := d.watch.Context(ctx.Conn(), f.Request.Deadline)
	defer done()
	d.update(node.PeerRequest{
		Request: f.Request, From: f.From, Target: f.Target, Incarnation: f.Incarnation,
	})
	decision := d.decision(waiting, box, f.Request.ID)
	if refuse, ok := decision.(node.Refuse); ok && refuse.Outcome == call.NotRun {
		d.runs.remove(f.Request.ID)
		return fasthttp.StatusServiceUnavailable
	}
	d.reserve(f.Request, decision)
	return fasthttp.StatusContinue
}

// reserve keeps a decision until the body comes. A slot is given back when it
// does not.
func (d *Daemon) reserve(request call.Request, decision node.Command) {
	held := &reservation{d: d, request: request, decision: decision}
	d.reserved.mu.Lock()
	defer d.reserved.mu.Unlock()
	held.expiry = time.AfterFunc(claimWithin, func() {
		if r := d.reserved.claim(request.ID); r != nil {
			r.release()
		}
	})
	d.reserved.open[request.ID] = held
}

// proceed carries the decision out, now that the body is coming.
func (r *reservation) proceed(ctx context.Context, req *fasthttp.Request) *answer {
	return r.d.carryOut(lasting(ctx, r.request), r.decision, r.request, req)
}

// release ends a request whose body never came.
func (r *reservation) release() {
	switch r.decision.(type) {
	case node.Run:
		r.d.ended(r.request, node.RunEnded{ID: r.request.ID, Outcome: call.NotRun, Reason: call.ShortBody})
	case node.HandOn:
		r.d.runs.remove(r.request.ID)
		r.d.update(node.HandOnEnded{ID: r.request.ID, Result: node.Attempt{Outcome: call.NotRun, Reason: call.ShortBody}})
	default:
		r.d.runs.remove(r.request.ID)
	}
}
