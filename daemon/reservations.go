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

// claimTimeout limits the time from the decision on a request until its body
// begins to arrive.
const claimTimeout = 5 * time.Second

// reservations holds the requests that have been decided on and whose bodies have
// not arrived yet.
type reservations struct {
	mu   sync.Mutex
	byID map[string]*reservation
}

// reservation is a decision on a request whose body has not arrived yet.
type reservation struct {
	d        *Daemon
	request  call.Request
	decision node.Command
	expiry   *time.Timer
}

func newReservations() *reservations {
	return &reservations{byID: map[string]*reservation{}}
}

// claim removes and returns a reservation, or returns nil if there is none.
func (r *reservations) claim(id string) *reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	claimed := r.byID[id]
	if claimed == nil {
		return nil
	}
	claimed.expiry.Stop()
	delete(r.byID, id)
	return claimed
}

// expectPeer decides on a forwarded request before its long body is sent. It
// returns status 100 if the body should be sent, else 503.
func (d *Daemon) expectPeer(ctx *fasthttp.RequestCtx) int {
	f, err := ingress.ParseForwarded(ctx, d.dialect, time.Now())
	if err != nil || f.Request.KeyRequest {
		// The handler handles these.
		return fasthttp.StatusContinue
	}
	mailbox, added := d.runs.add(f.Request.ID)
	if !added {
		return fasthttp.StatusContinue
	}
	senderCtx, stopWatch := d.watch.Context(ctx.Conn(), f.Request.Deadline, time.Now())
	defer stopWatch()
	d.update(node.PeerRequest{
		Request: f.Request, From: f.From, Target: f.Target, Incarnation: f.Incarnation,
	})
	decision := d.awaitDecision(senderCtx, mailbox, f.Request.ID)
	if refuse, ok := decision.(node.Refuse); ok && refuse.Outcome == call.NotRun {
		d.runs.remove(f.Request.ID)
		return fasthttp.StatusServiceUnavailable
	}
	d.reserve(f.Request, decision)
	return fasthttp.StatusContinue
}

// reserve keeps a decision until the body arrives. If it does not arrive within
// claimTimeout, the slot is released.
func (d *Daemon) reserve(request call.Request, decision node.Command) {
	res := &reservation{d: d, request: request, decision: decision}
	d.reserved.mu.Lock()
	defer d.reserved.mu.Unlock()
	res.expiry = time.AfterFunc(claimTimeout, func() {
		if r := d.reserved.claim(request.ID); r != nil {
			r.release()
		}
	})
	d.reserved.byID[request.ID] = res
}

// proceed applies the decision once the body arrives.
func (r *reservation) proceed(ctx context.Context, req *fasthttp.Request) *answer {
	return r.d.applyDecision(runContext(ctx, r.request), r.decision, r.request, req)
}

// release ends a request whose body never arrived.
func (r *reservation) release() {
	switch r.decision.(type) {
	case node.Run:
		r.d.endRun(r.request, node.RunEnded{ID: r.request.ID, Outcome: call.NotRun, Reason: call.ShortBody})
	case node.HandOn:
		r.d.runs.remove(r.request.ID)
		r.d.update(node.HandOnEnded{ID: r.request.ID, Result: node.Attempt{Outcome: call.NotRun, Reason: call.ShortBody}})
	default:
		r.d.runs.remove(r.request.ID)
	}
}
