package balance

import "time"

const (
	// coldPaceFactor is the pace factor of a cold upstream that has reported none.
	coldPaceFactor = 2.0
	// defaultColdTime is how long a cold upstream is assumed to be cold without another
	// report.
	defaultColdTime = 3 * time.Second
	// warmRamp is how long the share of an upstream that was cold grows, from
	// minWarmShare. It has been used at its rate before, so it need not start from nothing.
	warmRamp     = time.Second
	minWarmShare = 0.3
)

// ColdLimit describes the cold upstreams of a service. With the zero value a cold
// upstream is considered for a tenth of the calls, however many it accepts.
type ColdLimit struct {
	// PerSecond is the number of calls per second that a cold upstream accepts; 0 means
	// that there is no limit.
	PerSecond float64
	// Duration is how long an upstream is cold after its start; 0 means 3 s.
	Duration time.Duration
}

// SetColdLimit sets the limit of cold upstreams.
func (p *Picker) SetColdLimit(limit ColdLimit) { p.cold = limit }

func (p *Picker) coldTime() time.Duration {
	if p.cold.Duration > 0 {
		return p.cold.Duration
	}
	return defaultColdTime
}

// limited reports whether u is cold, and takes calls at the rate of the limit. A new
// upstream that has not reported yet counts as cold. A cold one that reports no slots
// takes no calls yet.
func (p *Picker) limited(u *upstream, now time.Time) bool {
	switch {
	case p.cold.PerSecond <= 0:
		return false
	case u.measuredAt.IsZero():
		return !u.rampStart.IsZero() && now.Sub(u.rampStart) < p.coldTime()
	}
	return u.load.State == Cold && u.load.Slots > 0 && now.Sub(u.measuredAt) < p.coldTime()
}

// limitedCost returns the predicted time of a call of the given work to a limited
// upstream with calls there already, while nothing else slows it down. Warm upstreams
// cost less until they are full; what is above the rate waits its turn.
func (p *Picker) limitedCost(u *upstream, work, calls float64) float64 {
	if work == 0 {
		work = p.typicalServiceTime
	}
	pace := coldPaceFactor
	if u.load.Pace > 0 {
		pace = float64(u.load.Pace) / nominalPace
	}
	gap := float64(time.Second) / p.cold.PerSecond
	busy := float64(u.load.Slots)
	if busy == 0 {
		busy = max(work*pace/gap, 1)
	}
	return work*pace + max(0, calls+1-busy)*gap
}

// noteWarmed begins the ramp of an upstream whose report says that it is no longer cold.
func (p *Picker) noteWarmed(u *upstream, load Load, now time.Time) {
	if p.cold.PerSecond <= 0 || load.State != Serving {
		return
	}
	if u.load.State == Cold || u.measuredAt.IsZero() && !u.rampStart.IsZero() {
		u.warmSince, u.rampStart = now, time.Time{}
	}
}

// warmShare returns the share of calls for which an upstream that was cold is
// considered.
func (u *upstream) warmShare(now time.Time) float64 {
	if u.warmSince.IsZero() {
		return 1
	}
	return max(minWarmShare, float64(now.Sub(u.warmSince))/float64(warmRamp))
}
