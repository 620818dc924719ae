// Package heartbeat tells when the process did not run: it was stopped, or had more to do
// than its processor allows.
package heartbeat

import (
	"sync"
	"time"
)

const (
	// maxInterval is the time between two beats above which the process did not run in
	// between.
	maxInterval = 200 * time.Millisecond
	// maxReadDelay is how long after a gap an answer that is read may have arrived in the
	// gap.
	maxReadDelay = 200 * time.Millisecond
	// lateTime is how long after a gap the process counts as late: until it has dealt with
	// the requests that came in the gap.
	lateTime = time.Second
)

// Monitor records the beats of the process, and the last gap between them. The zero value
// has no beat yet. It is safe for concurrent use.
type Monitor struct {
	mu   sync.Mutex
	last time.Time
	// gapFrom and gapTo are the bounds of the last gap.
	gapFrom, gapTo time.Time
}

// Beat records that the process runs. It must be called several times a second.
func (m *Monitor) Beat(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inGap(now) {
		m.gapFrom, m.gapTo = m.last, now
	}
	m.last = now
}

// ReceivedBy returns the time by which an answer that has been read now had arrived. An
// answer that arrives while a process is stopped waits in its socket, and says nothing
// about the time at which the process resumes.
func (m *Monitor) ReceivedBy(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.inGap(now):
		return m.last
	case m.endedWithin(maxReadDelay, now):
		return m.gapFrom
	}
	return now
}

// Late reports whether the process is in a gap, or was a moment ago.
func (m *Monitor) Late(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inGap(now) || m.endedWithin(lateTime, now)
}

// inGap reports whether the last beat is too long ago. m.mu must be held.
func (m *Monitor) inGap(now time.Time) bool {
	return !m.last.IsZero() && now.Sub(m.last) > maxInterval
}

// endedWithin reports whether the last gap ended less than d ago. m.mu must be held.
func (m *Monitor) endedWithin(d time.Duration, now time.Time) bool {
	return !m.gapTo.IsZero() && now.Sub(m.gapTo) < d
}
