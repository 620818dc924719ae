package daemon

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
)

// longestWait is the longest deadline of a service's calls.
func (d *Daemon) longestWait(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Timeout(service)
}

// maxBody is the longest request body of a service.
func (d *Daemon) maxBody(service string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.MaxBodyBytes(service)
}

// level is the promised level of a service, for the burn report.
func (d *Daemon) level(service string) (config.Level, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Level(service)
}

// record counts a call that has been answered. What the caller cancelled or
// got wrong does not count against the service.
func (d *Daemon) record(service string, outcome call.Outcome, reason call.Reason, status int, latency time.Duration) {
	d.metrics.answered(outcome, reason)
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
