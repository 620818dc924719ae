package balance

import "time"

const (
	// ejectAfterFailures is the number of consecutive failures that ejects.
	ejectAfterFailures = 3
	// firstBackoff is the duration of the first ejection. Each failed trial
	// doubles it, up to maxBackoff.
	firstBackoff = time.Second
	maxBackoff   = 30 * time.Second
)

// ejection withholds calls from an upstream that fails. After its backoff one
// trial call at a time decides whether the upstream is restored.
type ejection struct {
	active              bool
	until               time.Time
	backoff             time.Duration
	consecutiveFailures int
}

// record counts one finished call and reports whether it restored the upstream.
func (e *ejection) record(failed bool, now time.Time) (restored bool) {
	if !failed {
		e.consecutiveFailures = 0
		restored = e.active && !now.Before(e.until)
		if restored {
			*e = ejection{}
		}
		return restored
	}
	e.consecutiveFailures++
	if e.consecutiveFailures >= ejectAfterFailures || e.active {
		e.eject(now)
	}
	return false
}

// eject starts an ejection, or a longer one after a failed trial.
func (e *ejection) eject(now time.Time) {
	if e.active && now.Before(e.until) {
		return
	}
	e.backoff = min(max(firstBackoff, 2*e.backoff), maxBackoff)
	e.active, e.until = true, now.Add(e.backoff)
}
