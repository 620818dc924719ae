package balance

import (
	"math"
	"time"
)

const (
	// excessCallWeight is the number of calls assumed at an upstream for each
	// outstanding call of this daemon beyond its typical number.
	excessCallWeight = 8
	// latencyTimeConstant is the time after which the difference of a latency
	// from the typical one of the service has decayed by 63 %.
	latencyTimeConstant = 10 * time.Second
	// deadBandFactor is the factor up to which a service time counts as typical,
	// since smaller differences are hard to tell from chance. A shorter one
	// counts as typical too; otherwise all daemons would choose the upstream
	// that was fast by chance.
	deadBandFactor = 2
	// failureCost is the predicted cost of a failed call.
	failureCost = time.Second
	// refusalCost is the predicted cost of a recent refusal.
	refusalCost = 50 * time.Millisecond
	// overdueFactor is the multiple of the predicted cost that an outstanding
	// call may take before it raises the prediction.
	overdueFactor = 3
	// callCountDeviation is the standard deviation of the number of calls at an
	// upstream, as a multiple of the square root of that number.
	callCountDeviation = 2
)

// freshReportAge is the age up to which a load report is taken as exact where the
// daemons of an availability zone report their load to each other, which
// Config.SameZoneChoices above Config.Choices indicates.
const freshReportAge = 300 * time.Millisecond

// cost returns the predicted time in nanoseconds of a call to u, without the
// link: drawn uses a random number of calls at u, mean the expected one. work is
// the duration of the call at nominal pace; 0 if unknown.
func (p *Picker) cost(u *upstream, work float64, now time.Time) (drawn, mean float64) {
	return p.costForCalls(u, work, p.drawCalls(u.extrapolatedCalls()), now), p.costForCalls(u, work, u.expectedCalls(now), now)
}

// expectedCalls returns the expected number of calls at u: a mean of the last
// report, weighted by its freshness, and the typical number, but no fewer than
// the outstanding calls of this daemon.
func (u *upstream) expectedCalls(now time.Time) float64 {
	if u.measuredAt.IsZero() {
		return float64(len(u.outstanding))
	}
	trust := decay(now.Sub(u.measuredAt), 100*time.Millisecond)
	reported := float64(u.load.InFlight+u.load.Queued) + float64(u.startedSince(u.measuredAt))
	return max(float64(len(u.outstanding)), trust*reported+(1-trust)*u.typicalCalls)
}

// costForCalls returns the predicted cost when calls are at u already.
func (p *Picker) costForCalls(u *upstream, work, calls float64, now time.Time) float64 {
	service := p.serviceTime(u, now)
	cost := service * u.paceFactor(now)
	if work > 0 {
		service = p.typicalServiceTime
		cost = work * u.slowdown(now) * u.paceFactor(now)
	}
	cost += slotWait(calls, u.load.Slots, service)
	if p.limited(u, now) {
		cost = p.limitedCost(u, work, calls)
	}
	if oldest := u.oldest(); !oldest.IsZero() {
		cost = max(cost, float64(now.Sub(oldest))/overdueFactor)
	}
	if share := u.failShare(now); share > 0 {
		cost += share * float64(failureCost)
	}
	if u.refusals > 0 {
		cost += u.refusals * decay(now.Sub(u.refusedAt), refusalTimeConstant) * float64(refusalCost)
	}
	return cost
}

const (
	// paceTimeConstant is the time after which the difference of a pace from
	// nominal has decayed by 63 %.
	paceTimeConstant = 300 * time.Millisecond
	// nominalPace is the pace, in percent, of an upstream that nothing slows down.
	nominalPace = 100
	// slowPaceFactor is the pace factor from which an upstream counts as slow.
	slowPaceFactor = 1.5
)

// paceFactor returns the expected processing time at u as a multiple of nominal.
// A reported pace decays to nominal with its age.
func (u *upstream) paceFactor(now time.Time) float64 {
	if u.load.Pace == 0 {
		return 1
	}
	reported := float64(u.load.Pace) / nominalPace
	return 1 + (reported-1)*decay(now.Sub(u.measuredAt), paceTimeConstant)
}

const (
	// maxSlowdown bounds the slowdown that is counted for one call, and its inverse
	// is the lower bound.
	maxSlowdown = 20
	// slowdownWeight is the weight of one call in the average slowdown.
	slowdownWeight = 0.1
)

// observeSlowdown adds the time that a call took at u, as a multiple of the time
// that it takes elsewhere.
func (u *upstream) observeSlowdown(factor float64, now time.Time) {
	u.excessSlowdown.add(factor-1, slowdownWeight, latencyTimeConstant, now)
}

// slowdown returns the average slowdown, or 1 if it may be due to chance.
func (u *upstream) slowdown(now time.Time) float64 {
	if f := 1 + u.excessSlowdown.decayed(latencyTimeConstant, now); f >= deadBandFactor {
		return f
	}
	return 1
}

// serviceTime returns the expected time in a slot, in nanoseconds.
func (p *Picker) serviceTime(u *upstream, now time.Time) float64 {
	estimate, at := float64(u.load.ServiceTime), u.measuredAt
	if estimate == 0 {
		estimate, at = u.observed.latency, u.observed.observedAt
	}
	if estimate == 0 {
		return p.typicalServiceTime
	}
	if estimate < deadBandFactor*p.typicalServiceTime {
		return p.typicalServiceTime
	}
	return p.typicalServiceTime + (estimate-p.typicalServiceTime)*decay(now.Sub(at), latencyTimeConstant)
}

// extrapolatedCalls estimates the number of calls in flight and queued at u. Each
// outstanding call of this daemon beyond its typical number stands for calls of
// other daemons too, which have similar data and make similar choices.
func (u *upstream) extrapolatedCalls() float64 {
	outstanding := float64(len(u.outstanding))
	if u.measuredAt.IsZero() {
		return outstanding
	}
	return max(outstanding, u.typicalCalls+excessCallWeight*(outstanding-u.typicalOutstanding))
}

// drawCalls draws a random number of calls around the estimate, so that daemons
// with equal estimates do not all choose the same upstream (Thompson sampling).
func (p *Picker) drawCalls(calls float64) float64 {
	return calls + callCountDeviation*p.drawNormal()*math.Sqrt(max(calls, 1))
}

// drawNormal draws from an approximately standard normal distribution, as the sum
// of four uniform numbers.
func (p *Picker) drawNormal() float64 {
	const part, parts, deviation = 1 << 16, 4, 0.5774 // standard deviation of the sum
	r := p.config.Rand()
	sum := r%part + r>>16%part + r>>32%part + r>>48
	return (float64(sum)/part - parts/2) / deviation
}

// failShare returns the larger of the observed and the reported share of failed
// calls.
func (u *upstream) failShare(now time.Time) float64 {
	share := u.observed.FailShare(now)
	if u.load.FailPercent > 0 {
		reported := float64(u.load.FailPercent) / 100
		share = max(share, reported*decay(now.Sub(u.measuredAt), failTimeConstant))
	}
	return share
}

// slotWait returns the expected time until a slot is free with calls at the
// upstream already.
func slotWait(calls float64, slots int, service float64) float64 {
	if slots <= 0 {
		slots = defaultSlots
	}
	return max(0, calls+1-float64(slots)) * service / float64(slots)
}
