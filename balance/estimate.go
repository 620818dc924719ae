package balance

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of one new latency in the average.
	latencyWeight = 0.05
	// failWeight is the weight of one new result in the share of failed calls.
	failWeight = 0.2
	// failTimeConstant is the time after which the share of failed calls has
	// decayed by 63 %.
	failTimeConstant = 5 * time.Second
)

// Estimate tracks the latency and the share of failed calls of one upstream. The
// zero value is ready for use.
//
// A daemon keeps one for its local upstream to fill in its Load, and a Picker
// keeps one for each upstream that it sends calls to.
type Estimate struct {
	latency    float64 // nanoseconds
	failShare  float64
	observedAt time.Time
}

// Observe counts one finished call. A failed call never lowers the latency: an
// upstream that fails fast is not a fast one.
func (e *Estimate) Observe(latency time.Duration, failed bool, now time.Time) {
	e.failShare = e.FailShare(now)
	if failed {
		e.failShare += failWeight * (1 - e.failShare)
	} else {
		e.failShare -= failWeight * e.failShare
	}
	if !failed || float64(latency) > e.latency {
		e.addLatency(float64(latency))
	}
	e.observedAt = now
}

func (e *Estimate) addLatency(latency float64) {
	if e.latency == 0 {
		e.latency = latency
		return
	}
	e.latency += latencyWeight * (latency - e.latency)
}

// Latency returns the estimated latency, or 0 if no call has finished. oldest is
// the start of the oldest outstanding call, or zero: its time so far is a lower
// bound of the estimate.
func (e *Estimate) Latency(oldest, now time.Time) time.Duration {
	latency := time.Duration(e.latency)
	if oldest.IsZero() {
		return latency
	}
	return max(latency, now.Sub(oldest))
}

// FailShare returns the share of failed calls, from 0 to 1. It decays over time,
// so that an upstream without calls is tried again.
func (e *Estimate) FailShare(now time.Time) float64 {
	if e.failShare == 0 {
		return 0
	}
	return e.failShare * decay(now.Sub(e.observedAt), failTimeConstant)
}

// decay returns exp(-age/timeConstant), or 1 for an age that is not positive.
func decay(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}
