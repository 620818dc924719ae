package daemon

import (
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
)

// maxTimeout returns the longest deadline of a service's calls.
func (d *Daemon) maxTimeout(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Timeout(service)
}

// limitBodyTime sets when the body of a request must be complete: at its deadline, or after the
// timeout of its route or service if that is earlier. Before this call the time limit of the
// header applies. A body that is already complete needs no limit.
func (d *Daemon) limitBodyTime(ctx *fasthttp.RequestCtx, request call.Request, now time.Time) {
	if ctx.RequestBodyStream() == nil {
		return
	}
	d.mu.Lock()
	latest := now.Add(d.node.BodyTimeout(request))
	d.mu.Unlock()
	if request.Deadline.IsZero() || request.Deadline.After(latest) {
		request.Deadline = latest
	}
	_ = ctx.Conn().SetReadDeadline(request.Deadline)
}

// maxBodyBytes returns the size limit of a service's request bodies.
func (d *Daemon) maxBodyBytes(service string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.MaxBodyBytes(service)
}

// serviceLevel returns the service level of a service for the burn report, or
// false if no document states one.
func (d *Daemon) serviceLevel(service string) (config.ServiceLevel, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.ServiceLevel(service)
}

// recordCall counts a call that has been answered. Calls that the caller cancelled
// and invalid calls do not count against the service.
func (d *Daemon) recordCall(service string, outcome call.Outcome, reason call.Reason, status int, latency time.Duration) {
	d.metrics.countAnswer(outcome, reason)
	switch reason {
	case call.BadRequest, call.BodyTooLarge, call.Cancelled, call.KeyExpired, call.KeyReused,
		call.NoSelector, call.ShortBody, call.UnknownService:
		return
	}
	ok := outcome == call.Run && status < 500
	d.burnMu.Lock()
	defer d.burnMu.Unlock()
	d.burn.Record(service, ok, latency, time.Now())
}
