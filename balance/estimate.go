package balance

import (
	"math"
	"time"
)

const (
	// latencyWeight is the share of one new latency in the estimate.
	latencyWeight = 0.05
	// failWeight is the share of one new result in the failed share.
	failWeight = 0.2
	// failLife is the time in which an old failed share loses 63 %.
	failLife = 5 * time.Second
)

// Estimate follows the latency and the failed share of one upstream's calls.
// The zero value knows nothing.
//
// A daemon keeps one for its own upstream to fill in its Load, and a Picker
// keeps one for each upstream that it sends calls to.
type Estimate struct {
	latency  float64 // nanoseconds
	fails    float64
	observed time.Time
}

// Observe counts one finished call. A failed call never lowers the latency:
// an upstream that fails at once is not a fast one.
func (e *Estimate) Observe(latency time.Duration, failed bool, now time.Time) {
	e.fails = e.FailShare(now)
	if failed {
		e.fails += failWeight * (1 - e.fails)
	} else {
		e.fails -= failWeight * e.fails
	}
	if !failed || float64(latency) > e.latency {
		e.follow(float64(latency))
	}
	e.observed = now
}

func (e *Estimate) follow(latency float64) {
	if e.latency == 0 {
		e.latency = latency
		return
	}
	e.latency += latencyWeight * (latency - e.latency)
}

// Latency returns the estimate, or 0 when no call has succeeded. A call that
// has been outstanding since oldest counts before it ends: the estimate is no
// less than the time it has taken. A zero oldest means that none is.
func (e *Estimate) Latency(oldest, now time.Time) time.Duration {
	latency := time.Duration(e.latency)
	if oldest.IsZero() {
		return latency
	}
	return max(latency, now.Sub(oldest))
}

// FailShare returns the share of failed calls, 0 to 1. It fades with time, so
// that an upstream that gets no calls is tried again.
func (e *Estimate) FailShare(now time.Time) float64 {
	if e.fails == 0 {
		return 0
	}
	return e.fails * fade(now.Sub(e.observed), failLife)
}

// fade returns what is left of 1 after age: exp(-age/life).
func fade(age, life time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(life))
}
