package daemon

import (
	"sync"
	"time"
)

const (
	// maxBeatGap is the time between two beats above which the process did not run in
	// between: it was stopped, or has more to do than its processor allows.
	maxBeatGap = 200 * time.Millisecond
	// wakeTime is how long after a gap an answer that is read may have arrived in the gap.
	wakeTime = 200 * time.Millisecond
)

// heartbeat knows when the process did not run. The zero value has seen no beat. It is
// safe for concurrent use.
type heartbeat struct {
	mu   sync.Mutex
	last time.Time
	// gapFrom and gapTo are the bounds of the last gap.
	gapFrom, gapTo time.Time
}

// beat records that the process runs. It must be called several times a second.
func (h *heartbeat) beat(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.last.IsZero() && now.Sub(h.last) > maxBeatGap {
		h.gapFrom, h.gapTo = h.last, now
	}
	h.last = now
}

// receivedBy returns the time by which an answer that has been read now had arrived. An
// answer that arrives while a process is stopped waits in its socket, and says nothing
// about the time at which the process resumes.
func (h *heartbeat) receivedBy(now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !h.last.IsZero() && now.Sub(h.last) > maxBeatGap:
		return h.last
	case !h.gapTo.IsZero() && now.Sub(h.gapTo) < wakeTime:
		return h.gapFrom
	}
	return now
}
