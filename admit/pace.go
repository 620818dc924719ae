package admit

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
)

const (
	// NominalPace is the nominal pace, in percent: that of an upstream that nothing
	// slows down.
	NominalPace = 100
	// slowPercent is the pace, in percent of the baseline, from which an upstream
	// counts as slow.
	slowPercent = 150
	// readingFreshFor is how long a reading is used without taking another. The
	// pace changes several times a second.
	readingFreshFor = 5 * time.Millisecond
	// measureTimeout is how long the result of a measurement is awaited.
	measureTimeout = 40 * time.Millisecond
	// readingStaleAfter is the age beyond which a reading is ignored.
	readingStaleAfter = 100 * time.Millisecond
	// minForwardGain is the least gain that justifies running a request elsewhere.
	minForwardGain = 15 * time.Millisecond
	// defaultSlowPeriod is the assumed length of a slow period before one was seen.
	defaultSlowPeriod = 200 * time.Millisecond
	// slowPeriodDivisor is the inverse of the weight of a new slow period in the
	// average length. slowPeriodLimit is the multiple of the average length after
	// which a slow period counts as prolonged.
	slowPeriodDivisor = 8
	slowPeriodLimit   = 3
	// remeasureInterval is how often a slow upstream is measured again.
	remeasureInterval = 20 * time.Millisecond
)

// pace tracks the current processing time at the upstream. Readings are taken just
// before a request starts, because its cost is determined then.
type pace struct {
	percent int
	readAt  time.Time
	// requestedAt is when the measurement in progress was requested, or zero.
	requestedAt time.Time
	// slowSince is when the present slow period was first seen, or zero.
	slowSince  time.Time
	slowPeriod time.Duration
	// windowBest and previousBest are the lowest percent in the present window and
	// in the one that ended when it started; 0 if there was none.
	windowBest, previousBest int
	windowStart              time.Time
	// cold is true while the upstream has just started.
	cold bool
}

// update applies a reading.
func (p *pace) update(percent int, now time.Time) {
	if percent <= 0 || now.Before(p.readAt) {
		return
	}
	p.percent, p.readAt, p.requestedAt = percent, now, time.Time{}
	p.updateBaseline(now)
	switch slow := p.lastReadingSlow(); {
	case slow && p.slowSince.IsZero():
		p.slowSince = now
	case !slow && !p.slowSince.IsZero():
		p.learnSlowPeriod(now.Sub(p.slowSince))
		p.slowSince = time.Time{}
	}
}

func (p *pace) lastReadingSlow() bool { return p.percent*NominalPace >= slowPercent*p.baseline() }

func (p *pace) learnSlowPeriod(period time.Duration) {
	if p.slowPeriod == 0 {
		p.slowPeriod = defaultSlowPeriod
	}
	p.slowPeriod += (min(period, slowPeriodLimit*p.slowPeriod) - p.slowPeriod) / slowPeriodDivisor
}

// extraTime returns how much longer a request that starts now takes than at the
// baseline pace.
func (p *pace) extraTime(req call.Request) time.Duration {
	return req.ExpectedWork * time.Duration(p.percent-p.baseline()) / NominalPace
}

// currentlySlow reports whether the last reading was slow and is not stale.
func (p *pace) currentlySlow(now time.Time) bool {
	return p.lastReadingSlow() && now.Sub(p.readAt) <= readingStaleAfter
}

// prolonged reports whether the slow period exceeds the typical length by far.
func (p *pace) prolonged(now time.Time) bool {
	return !p.slowSince.IsZero() && now.Sub(p.slowSince) > slowPeriodLimit*p.typicalSlowPeriod()
}

// slowTimeLeft returns how much longer the slow period is expected to last, or 0 if
// the upstream is not slow or the slow period is prolonged and thus not waited out.
func (p *pace) slowTimeLeft(now time.Time) time.Duration {
	if !p.currentlySlow(now) || p.prolonged(now) {
		return 0
	}
	return max(p.typicalSlowPeriod()-now.Sub(p.slowSince), remeasureInterval)
}

func (p *pace) typicalSlowPeriod() time.Duration {
	if p.slowPeriod == 0 {
		return defaultSlowPeriod
	}
	return p.slowPeriod
}

// Pace returns the last pace read, in percent, and when; 0 if none was read.
func (g *Gate) Pace() (percent int, at time.Time) { return g.pace.percent, g.pace.readAt }

// Measured applies a reading of the upstream's pace, in percent of nominal.
func (g *Gate) Measured(percent int, now time.Time) []Action {
	actions := g.advance(now)
	g.pace.update(percent, now)
	return append(actions, g.fill(now)...)
}

// Unmeasured reports that a requested measurement gave no result or is not allowed.
// The last reading is used instead, or the nominal pace.
func (g *Gate) Unmeasured(now time.Time) []Action {
	actions := g.advance(now)
	g.pace.requestedAt = time.Time{}
	g.pace.readAt = now
	if g.pace.percent == 0 {
		g.pace.percent = NominalPace
	}
	return append(actions, g.fill(now)...)
}

// RemeasureAt returns when to measure a slow upstream again, or false if it is not
// slow.
func (g *Gate) RemeasureAt(now time.Time) (time.Time, bool) {
	if !g.limits.Paced || g.pace.slowSince.IsZero() {
		return time.Time{}, false
	}
	return now.Add(remeasureInterval), true
}

// Remeasure requests a reading if the upstream is slow and the last reading is no
// longer fresh. An upstream in an evacuated zone is sent nothing.
func (g *Gate) Remeasure(now time.Time) []Action {
	actions := g.advance(now)
	if g.pace.slowSince.IsZero() || g.evacuated || now.Sub(g.pace.readAt) < readingFreshFor || g.measuring(now) {
		return append(actions, g.fill(now)...)
	}
	return append(actions, g.requestReading(now))
}

func (g *Gate) measuring(now time.Time) bool {
	return !g.pace.requestedAt.IsZero() && now.Sub(g.pace.requestedAt) < measureTimeout
}

func (g *Gate) requestReading(now time.Time) Action {
	g.pace.requestedAt = now
	return Action{Kind: Measure}
}

// fillPaced refuses queued calls that cannot be in time, and starts others while slots are
// free and the pace permits.
func (g *Gate) fillPaced(now time.Time) []Action {
	return append(g.shedLate(now), g.startPaced(now)...)
}

func (g *Gate) startPaced(now time.Time) []Action {
	if g.draining || g.queue.len() == 0 || !g.mayStart(now) {
		return nil
	}
	switch {
	case now.Sub(g.pace.readAt) < readingFreshFor:
	case g.measuring(now):
		return nil
	case g.pace.requestedAt.IsZero():
		return []Action{g.requestReading(now)}
	}
	var actions []Action
	for i := 0; i < g.queue.len() && g.mayStart(now); {
		w := g.queue.calls[i]
		switch g.decide(w, now) {
		case keepWaiting:
			i++
			continue
		case turnAway:
			actions = append(actions, refuse(w.req.ID, g.turnAwayReason(w, now)))
		case startNow:
			actions = append(actions, g.start(w.req, now))
		}
		g.queue.remove(w.req.ID)
	}
	return actions
}

// decision is what to do with a queued call while a slot is free.
type decision string

const (
	startNow    decision = "begin"
	keepWaiting decision = "stay"
	turnAway    decision = "leave"
)

// decide compares starting a call at the present pace with turning it away, to be
// run elsewhere, and with waiting until the slow period ends.
func (g *Gate) decide(w queuedCall, now time.Time) decision {
	if g.passedOver(w, now) {
		return turnAway
	}
	if !g.pace.currentlySlow(now) {
		return startNow
	}
	extra := g.pace.extraTime(w.req)
	if !w.req.WaitWhenSlow && extra > minForwardGain {
		return turnAway
	}
	period := g.pace.typicalSlowPeriod()
	if g.pace.prolonged(now) || extra < period || now.Add(period+g.pace.expectedWork(w.req)).After(w.req.Deadline) {
		return startNow
	}
	return keepWaiting
}

// passedOver reports whether a call has waited too long to meet its target while
// another queued call can still meet its own. A planned queue holds no such call.
func (g *Gate) passedOver(w queuedCall, now time.Time) bool {
	if !g.limits.Shed || g.sheds() || w.req.Target.IsZero() || !now.Add(g.pace.expectedWork(w.req)).After(w.req.Target) {
		return false
	}
	for _, other := range g.queue.calls {
		if other.req.Target.After(now.Add(g.pace.expectedWork(other.req))) {
			return true
		}
	}
	return false
}

func (g *Gate) turnAwayReason(w queuedCall, now time.Time) call.Reason {
	if g.passedOver(w, now) {
		return call.Overloaded
	}
	return call.Slow
}
