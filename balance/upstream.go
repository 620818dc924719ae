package balance

import (
	"slices"
	"time"
)

const (
	// typicalTimeConstant is the time over which the typical number of calls is
	// averaged. It is extended by reportAgeFactor times the age of the report:
	// all daemons act on the same reports, and a report shows the effect only
	// after that age. Averaging over much longer than that prevents oscillation.
	typicalTimeConstant = 2 * time.Second
	reportAgeFactor     = 10
	// refusalTimeConstant is the time after which the weight of a refusal has
	// decayed by 63 %.
	refusalTimeConstant = 100 * time.Millisecond
	// closedReportTTL is how long a report of a draining or down upstream holds
	// without another.
	closedReportTTL = 10 * time.Second
)

// Result describes how one call to an upstream ended.
type Result struct {
	// Latency is the time from Started to the end of the response.
	Latency time.Duration
	// Failed is true if the response indicates a fault, or if there is no response.
	Failed bool
	// NotRun is true if the upstream's daemon refused the call without running it.
	NotRun bool
	// Cancelled is true if this daemon ended the call. Its latency is then only a
	// lower bound.
	Cancelled bool
}

// upstream is the state that a Picker keeps for one upstream.
type upstream struct {
	incarnation uint64
	seen        bool      // as a candidate
	rampStart   time.Time // start of its growing share; zero if it does not grow
	returnedAt  time.Time // last call of Return
	warmSince   time.Time // when it ceased to be cold; zero if it was not
	observed    Estimate  // of the calls sent by this daemon
	// excessSlowdown is the average slowdown of calls compared with other
	// upstreams, as a factor less 1, and linkDelay the excess link delay in
	// nanoseconds.
	excessSlowdown       decayingAverage
	linkDelay            decayingAverage
	outstanding          []time.Time // start times of this daemon's outstanding calls
	load                 Load
	measuredAt           time.Time // when load was measured; zero if none was received
	typicalCalls         float64   // typical number of calls in flight and queued
	typicalOutstanding   float64   // typical number of outstanding calls of this daemon
	typicalOutstandingAt time.Time // time up to which typicalOutstanding is averaged
	refusals             float64   // decaying count of refusals
	refusedAt            time.Time
	ejection             ejection
}

// start counts a call that is sent now.
func (u *upstream) start(now time.Time) {
	u.updateTypicalOutstanding(now)
	u.outstanding = append(u.outstanding, now)
}

// finish counts the end of a call.
func (u *upstream) finish(r Result, now time.Time) {
	u.updateTypicalOutstanding(now)
	u.removeOutstanding(now.Add(-r.Latency))
	switch {
	case r.NotRun && !r.Failed:
		u.refusals = 1 + u.refusals*decay(now.Sub(u.refusedAt), refusalTimeConstant)
		u.refusedAt = now
	case r.Cancelled:
		if u.observed.Latency(time.Time{}, now) < r.Latency {
			u.observed.addLatency(float64(r.Latency))
		}
	default:
		u.observed.Observe(r.Latency, r.Failed, now)
	}
}

// updateTypicalOutstanding advances the average of outstanding calls to now.
func (u *upstream) updateTypicalOutstanding(now time.Time) {
	if !u.typicalOutstandingAt.IsZero() {
		calls := float64(len(u.outstanding))
		u.typicalOutstanding = calls + (u.typicalOutstanding-calls)*decay(now.Sub(u.typicalOutstandingAt), typicalTimeConstant)
	}
	u.typicalOutstandingAt = now
}

// removeOutstanding removes the outstanding call that started nearest to at.
func (u *upstream) removeOutstanding(at time.Time) {
	best, distance := -1, time.Duration(0)
	for i, started := range u.outstanding {
		d := started.Sub(at).Abs()
		if best < 0 || d < distance {
			best, distance = i, d
		}
		if d == 0 {
			break
		}
	}
	if best >= 0 {
		u.outstanding = slices.Delete(u.outstanding, best, best+1)
	}
}

// applyReport stores a report measured at measuredAt, unless a newer one is known.
func (u *upstream) applyReport(load Load, measuredAt time.Time) {
	if measuredAt.Before(u.measuredAt) {
		return
	}
	calls := float64(load.InFlight + load.Queued)
	if u.measuredAt.IsZero() {
		u.typicalCalls = calls
	} else {
		u.typicalCalls = calls + (u.typicalCalls-calls)*decay(measuredAt.Sub(u.measuredAt), typicalTimeConstant+reportAgeFactor*load.Age)
	}
	u.load, u.measuredAt = load, measuredAt
}

// oldest returns the start time of the oldest outstanding call, or zero.
func (u *upstream) oldest() time.Time {
	if len(u.outstanding) == 0 {
		return time.Time{}
	}
	return u.outstanding[0]
}

// closed reports whether the upstream accepts no new calls.
func (u *upstream) closed(now time.Time) bool {
	return (u.load.State == Draining || u.load.State == Down) &&
		now.Sub(u.measuredAt) < u.closedFor()
}

// startedSince counts the outstanding calls that started after at, which a report
// measured at that time does not include.
func (u *upstream) startedSince(at time.Time) int {
	n := 0
	for i := len(u.outstanding) - 1; i >= 0 && u.outstanding[i].After(at); i-- {
		n++
	}
	return n
}
