package follow

import (
	"time"

	"pomelodoor.example/pomelodoor/times"
)

const (
	// minBackoff is the wait after the first failure; it doubles with each
	// further failure, up to maxBackoff.
	minBackoff = 50 * time.Millisecond
	// maxBackoff keeps the time between two calls short enough for the first response after
	// an outage to come while the removals of leaving upstreams can still be applied in time.
	maxBackoff = 1200 * time.Millisecond
	// pollerBackoffFactor lengthens the backoff of daemons that poll readers:
	// those tell them when the store responds again.
	pollerBackoffFactor = 4
)

// Failed records that a List or a Watch failed. A daemon that reads for itself lists the
// whole store again: an interrupted watch may have missed the last changes, and a list
// returns at once when the store has recovered.
func (f *Follower) Failed(now time.Time) {
	f.inFault = true
	f.behindSince, f.watchAbandoned = time.Time{}, false
	f.failures++
	if f.calledAt.After(f.readerGraceUntil.Add(-f.cfg.Retention)) {
		// The store has failed again since it responded to the reader.
		f.readerGraceUntil = time.Time{}
	}
	f.failedAt, f.requestedReadAt = now, time.Time{}
	f.notBefore = f.retryAt(f.backoff(), now)
	f.pollerReadAt = f.notBefore
	if !f.shared {
		f.pollerReadAt = f.retryAt(f.backoff()*pollerBackoffFactor, now)
	}
	if !f.Polls() {
		f.listed, f.pendingItems, f.lastKey = false, nil, ""
	}
	f.awaitAnswer(now)
}

// retryAt returns when the next call is made after one that has failed. The backoff counts
// from the start of the failed call: one that had no response for long is repeated at once,
// since the store may have returned just after it was sent.
func (f *Follower) retryAt(backoff time.Duration, now time.Time) time.Time {
	calledAt := f.calledAt
	if calledAt.IsZero() {
		calledAt = now
	}
	return times.Later(now.Add(f.jittered(minBackoff)), calledAt.Add(f.jittered(backoff)))
}

// backoff returns the average time between two calls after the failures so far.
func (f *Follower) backoff() time.Duration {
	return min(minBackoff<<min(f.failures-1, 8), maxBackoff)
}

// InFault reports whether the last call to the store failed.
func (f *Follower) InFault() bool { return f.inFault }

// answered records a response of the store.
func (f *Follower) answered(now time.Time) {
	if f.inFault {
		f.graceUntil = now.Add(f.cfg.Retention)
		if !f.readerGraceUntil.IsZero() {
			f.graceUntil = times.Earlier(f.graceUntil, f.readerGraceUntil)
		}
	}
	f.recovered()
}

// recovered ends the fault, if there is one.
func (f *Follower) recovered() {
	f.inFault, f.failures = false, 0
	f.readerGraceUntil = time.Time{}
	f.unansweredSince = time.Time{}
	f.behindSince, f.watchAbandoned = time.Time{}, false
}
