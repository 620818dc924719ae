package node

import (
	"time"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
)

const (
	// defaultRetryAfter is the delay after which a caller may try again where no
	// shortage is known: longer than a momentary load peak, and short enough to be
	// served in time.
	defaultRetryAfter = 100 * time.Millisecond
	// retryAfterPart is the part of the time left to a caller, as a divisor, that it
	// waits at most.
	retryAfterPart = 3
	// retryAfterRanks is the number of ranks that return at different times. Further
	// ranks return with the last.
	retryAfterRanks = 3
	// retryAfterSteps divides the time until capacity is expected into steps. The callers
	// of one rank return within one step, those of the next rank within the step after it.
	retryAfterSteps = 2
)

// noteShortage records when the daemon that refused an attempt for lack of capacity
// expects to have some.
func (c *callState) noteShortage(r Attempt, now time.Time) {
	if r.Outcome != call.NotRun || r.Reason != call.Overloaded || !r.HasLoad {
		return
	}
	wait, known := queueTime(r.Load)
	if !known {
		return
	}
	if at := now.Add(wait); c.capacityAt.IsZero() || at.Before(c.capacityAt) {
		c.capacityAt = at
	}
	c.refusedAt = now
}

// queueTime returns how long an upstream takes for the requests that wait for it.
func queueTime(l balance.Load) (time.Duration, bool) {
	if l.Slots == 0 || l.ServiceTime == 0 {
		return 0, false
	}
	wait := l.ServiceTime * time.Duration(l.Queued+1) / time.Duration(l.Slots)
	return wait * time.Duration(max(l.Pace, admit.NominalPace)) / admit.NominalPace, true
}

// retryAfter returns when the caller of a request that did not run may try again. In a
// shortage that is when capacity is expected, within a part of the time that the caller
// has left. The callers of each rank return at random times within a step of their own, so
// that those of a higher rank return first and few return together.
func (n *Node) retryAfter(c *callState) time.Duration {
	if c.capacityAt.IsZero() || !n.config.Allowed(config.LeastCost) {
		return defaultRetryAfter
	}
	const latestSteps = retryAfterSteps + retryAfterRanks // the latest return, in steps
	limit := c.request.Deadline.Sub(c.refusedAt) / retryAfterPart
	base := max(c.capacityAt.Sub(c.refusedAt), defaultRetryAfter)
	step := min(base/retryAfterSteps, limit/latestSteps)
	if step <= 0 {
		return defaultRetryAfter
	}
	rank := min(max(c.request.Priority.Rank(), 0), retryAfterRanks-1)
	return time.Duration(retryAfterSteps+rank)*step + time.Duration(n.cfg.Rand()%uint64(step))
}
