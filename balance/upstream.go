package balance

import (
	"slices"
	"time"
)

const (
	// usualLife is the time over which the usual number of calls is averaged,
	// and ageFactor the multiple of a report's age by which it is longer. All
	// daemons act on the same reports, and their answer to a report shows only
	// when the next one is as old. An average over much more than that time
	// keeps them from swinging.
	usualLife = 2 * time.Second
	ageFactor = 10
	// refusedLife is the time in which the memory of a refusal loses 63 %.
	refusedLife = 100 * time.Millisecond
	// drainLife is how long a report of draining is believed without another.
	drainLife = 10 * time.Second
)

// Result is what became of one call that was sent to an upstream.
type Result struct {
	// Latency is the time from Started to the end of the answer.
	Latency time.Duration
	// Failed is true for an answer that shows a fault, and for none at all.
	Failed bool
	// NotRun is true when the upstream's daemon refused the call unrun.
	NotRun bool
	// Cancelled is true when this side ended the call. Its latency is then
	// only a lower bound.
	Cancelled bool
}

// upstream is what a Picker knows about one upstream.
type upstream struct {
	incarnation uint64
	seen        bool      // as a candidate
	rampFrom    time.Time // when its share began to grow; zero when it does not
	own         Estimate  // of the calls sent from here
	// slower is how much longer than elsewhere calls take, as a factor less 1,
	// and way how much longer than usual the way takes, in nanoseconds.
	slower    fading
	way       fading
	started   []time.Time
	load      Load
	measured  time.Time // when load was true; zero when nothing was heard
	usual     float64   // usual number of calls in flight and queued
	ownUsual  float64   // usual number of calls from here
	ownAt     time.Time // up to when ownUsual holds them
	refused   float64
	refusedAt time.Time
	ejection  ejection
}

// start counts a call that leaves now.
func (u *upstream) start(now time.Time) {
	u.average(now)
	u.started = append(u.started, now)
}

// finish counts the end of a call.
func (u *upstream) finish(r Result, now time.Time) {
	u.average(now)
	u.end(now.Add(-r.Latency))
	switch {
	case r.NotRun && !r.Failed:
		u.refused = 1 + u.refused*fade(now.Sub(u.refusedAt), refusedLife)
		u.refusedAt = now
	case r.Cancelled:
		if u.own.Latency(time.Time{}, now) < r.Latency {
			u.own.follow(float64(r.Latency))
		}
	default:
		u.own.Observe(r.Latency, r.Failed, now)
	}
}

// average brings the usual number of own calls up to now.
func (u *upstream) average(now time.Time) {
	if !u.ownAt.IsZero() {
		calls := float64(len(u.started))
		u.ownUsual = calls + (u.ownUsual-calls)*fade(now.Sub(u.ownAt), usualLife)
	}
	u.ownAt = now
}

// end removes the outstanding call that was started nearest to at.
func (u *upstream) end(at time.Time) {
	best, distance := -1, time.Duration(0)
	for i, started := range u.started {
		d := started.Sub(at).Abs()
		if best < 0 || d < distance {
			best, distance = i, d
		}
		if d == 0 {
			break
		}
	}
	if best >= 0 {
		u.started = slices.Delete(u.started, best, best+1)
	}
}

// hear takes a report that was true at measured, unless a newer one is known.
func (u *upstream) hear(load Load, measured time.Time) {
	if measured.Before(u.measured) {
		return
	}
	calls := float64(load.InFlight + load.Queued)
	if u.measured.IsZero() {
		u.usual = calls
	} else {
		u.usual = calls + (u.usual-calls)*fade(measured.Sub(u.measured), usualLife+ageFactor*load.Age)
	}
	u.load, u.measured = load, measured
}

// oldest returns when the oldest outstanding call was started, or zero.
func (u *upstream) oldest() time.Time {
	if len(u.started) == 0 {
		return time.Time{}
	}
	return u.started[0]
}

// closed reports whether the upstream takes no new calls.
func (u *upstream) closed(now time.Time) bool {
	return (u.load.State == Draining || u.load.State == Down) &&
		now.Sub(u.measured) < drainLife
}

// startedSince counts the outstanding calls that a report of time at does not
// hold.
func (u *upstream) startedSince(at time.Time) int {
	n := 0
	for i := len(u.started) - 1; i >= 0 && u.started[i].After(at); i-- {
		n++
	}
	return n
}
