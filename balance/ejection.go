package balance

import "time"

const (
	// ejectFails is the number of failures in a row that ejects.
	ejectFails = 3
	// firstBackoff is how long the first ejection lasts; each failed trial
	// doubles it, up to lastBackoff.
	firstBackoff = time.Second
	lastBackoff  = 30 * time.Second
)

// ejection keeps an upstream that fails away from calls. When its time is over
// one trial call at a time decides whether it comes back.
type ejection struct {
	active  bool
	until   time.Time
	backoff time.Duration
	inARow  int
}

// result counts one finished call, and says whether the upstream came back.
func (e *ejection) result(failed bool, now time.Time) (back bool) {
	if !failed {
		e.inARow = 0
		back = e.active && !now.Before(e.until)
		if back {
			*e = ejection{}
		}
		return back
	}
	e.inARow++
	if e.inARow >= ejectFails || e.active {
		e.eject(now)
	}
	return false
}

// eject starts an ejection, or a longer one after a failed trial.
func (e *ejection) eject(now time.Time) {
	if e.active && now.Before(e.until) {
		return
	}
	e.backoff = min(max(firstBackoff, 2*e.backoff), lastBackoff)
	e.active, e.until = true, now.Add(e.backoff)
}
