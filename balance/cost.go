package balance

import (
	"math"
	"time"
)

const (
	// ownWeight is the number of calls that one own call above the usual
	// number stands for.
	ownWeight = 8
	// latencyLife is the time in which a latency loses 63 % of its weight
	// against what is typical of the service.
	latencyLife = 10 * time.Second
	// deadZone is the factor up to which a service time counts as the typical
	// one, because less is hard to tell from chance. A shorter one counts as
	// typical too: all daemons would choose the one that had luck.
	deadZone = 2
	// failureCost is the time that a failed call is taken to cost.
	failureCost = time.Second
	// refusalCost is the time that a fresh refusal is taken to cost.
	refusalCost = 50 * time.Millisecond
	// overdueFactor is how many times its usual latency a call may take
	// before it counts as a sign of a slow upstream.
	overdueFactor = 3
	// doubt is the standard deviation of the number of calls there, as a
	// multiple of its square root.
	doubt = 2
)

// freshReport is the age up to which a report is believed as it is, where the
// daemons of a zone tell each other.
const freshReport = 300 * time.Millisecond

// cost returns the time in nanoseconds that a call to u is expected to take,
// without the link. work is what it takes at the usual pace; 0 when not known.
func (p *Picker) cost(u *upstream, work float64, now time.Time) (drawn, mean float64) {
	return p.costOf(u, work, p.guess(u.calls()), now), p.costOf(u, work, u.expected(now), now)
}

// expected is the last report as far as it is fresh, and the usual number.
func (u *upstream) expected(now time.Time) float64 {
	if u.measured.IsZero() {
		return float64(len(u.started))
	}
	trust := fade(now.Sub(u.measured), 100*time.Millisecond)
	reported := float64(u.load.InFlight+u.load.Queued) + float64(u.startedSince(u.measured))
	return max(float64(len(u.started)), trust*reported+(1-trust)*u.usual)
}

func (p *Picker) costOf(u *upstream, work, calls float64, now time.Time) float64 {
	service := p.service(u, now)
	cost := service * u.pace(now)
	if work > 0 {
		service = p.typical
		cost = work * u.slowness(now) * u.pace(now)
	}
	cost += wait(calls, u.load.Slots, service)
	if oldest := u.oldest(); !oldest.IsZero() {
		cost = max(cost, float64(now.Sub(oldest))/overdueFactor)
	}
	if fails := u.failShare(now); fails > 0 {
		cost += fails * float64(failureCost)
	}
	if u.refused > 0 {
		cost += u.refused * fade(now.Sub(u.refusedAt), refusedLife) * float64(refusalCost)
	}
	return cost
}

const (
	// paceLife is the time in which a reading of the pace loses 63 %.
	paceLife = 300 * time.Millisecond
	// usualPace is the pace, in percent, of an upstream that nothing slows down.
	usualPace = 100
	// slowPace is the factor from which an upstream counts as slow.
	slowPace = 1.5
)

// pace returns how much longer than usual work is expected to take there, as a
// factor. What was read fades to what is usual.
func (u *upstream) pace(now time.Time) float64 {
	if u.load.Pace == 0 {
		return 1
	}
	read := float64(u.load.Pace) / usualPace
	return 1 + (read-1)*fade(now.Sub(u.measured), paceLife)
}

const (
	// maxFactor bounds how much longer than others one call is counted to take.
	maxFactor = 20
	// factorWeight is the share of one call in an upstream's factor.
	factorWeight = 0.1
)

// worked follows how much longer than elsewhere calls take there.
func (u *upstream) worked(factor float64, now time.Time) {
	u.slower.follow(factor-1, factorWeight, latencyLife, now)
}

// slowness is the factor where it is too large for chance.
func (u *upstream) slowness(now time.Time) float64 {
	if f := 1 + u.slower.now(latencyLife, now); f >= deadZone {
		return f
	}
	return 1
}

// service returns the expected time in a slot, in nanoseconds.
func (p *Picker) service(u *upstream, now time.Time) float64 {
	known, at := float64(u.load.ServiceTime), u.measured
	if known == 0 {
		known, at = u.own.latency, u.own.observed
	}
	if known == 0 {
		return p.typical
	}
	if known < deadZone*p.typical {
		return p.typical
	}
	return p.typical + (known-p.typical)*fade(now.Sub(at), latencyLife)
}

// calls returns the expected number of calls in flight and queued. Own calls
// above their usual number stand for those of the other daemons too, which know
// much the same and choose much the same.
func (u *upstream) calls() float64 {
	own := float64(len(u.started))
	if u.measured.IsZero() {
		return own
	}
	return max(own, u.usual+ownWeight*(own-u.ownUsual))
}

// guess draws a number of calls from what is believed about it. Daemons that
// believe the same then do not all choose the same (Thompson sampling).
func (p *Picker) guess(calls float64) float64 {
	return calls + doubt*p.normal()*math.Sqrt(max(calls, 1))
}

// normal draws from about a normal distribution, as a sum of four uniform
// numbers.
func (p *Picker) normal() float64 {
	const part, parts, deviation = 1 << 16, 4, 0.5774 // of the sum
	r := p.config.Rand()
	sum := r%part + r>>16%part + r>>32%part + r>>48
	return (float64(sum)/part - parts/2) / deviation
}

// failShare returns the larger of the own and the reported failed share.
func (u *upstream) failShare(now time.Time) float64 {
	share := u.own.FailShare(now)
	if u.load.FailPercent > 0 {
		reported := float64(u.load.FailPercent) / 100
		share = max(share, reported*fade(now.Sub(u.measured), failLife))
	}
	return share
}

// wait returns the time for a slot to come free when calls are there already.
func wait(calls float64, slots int, service float64) float64 {
	if slots <= 0 {
		slots = defaultSlots
	}
	return max(0, calls+1-float64(slots)) * service / float64(slots)
}
