package admit

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
)

const (
	// UsualPace is the pace of an upstream that nothing slows down, in percent.
	UsualPace = 100
	// slowPercent is the pace, in percent of the best of late, from which an
	// upstream counts as slow.
	slowPercent = 150
	// freshFor is how long a reading of the pace is acted on without another.
	// The pace changes several times a second.
	freshFor = 5 * time.Millisecond
	// measureLimit is how long a measurement is waited for.
	measureLimit = 40 * time.Millisecond
	// staleAfter is the age from which an old reading says nothing.
	staleAfter = 100 * time.Millisecond
	// moveCost is the least gain for which a request is sent elsewhere.
	moveCost = 15 * time.Millisecond
	// firstSpell is how long a slow spell is taken to last before one was seen.
	firstSpell = 200 * time.Millisecond
	// spellWeight is the inverse of the share that a new spell has in the
	// average, and spellLimit how many averages one may last before it counts
	// as lasting.
	spellWeight = 8
	spellLimit  = 3
	// remeasureSlow is how often a slow upstream is looked at again.
	remeasureSlow = 20 * time.Millisecond
)

// pace follows how long work takes at the upstream at this moment. What a
// request costs is settled when it starts, so it is worth knowing just then.
type pace struct {
	percent int
	at      time.Time
	// asked is when the measurement under way was asked for, or zero.
	asked time.Time
	// slowSince is when the present slow spell was first seen, or zero.
	slowSince time.Time
	spell     time.Duration
	// best and bestBefore are the lowest percent of the present span and of the
	// one before, which ended when the present one began; 0 is none.
	best, bestBefore int
	spanFrom         time.Time
	// cold is true while the upstream is known to have just started.
	cold bool
}

// read takes in a reading.
func (p *pace) read(percent int, now time.Time) {
	if percent <= 0 || now.Before(p.at) {
		return
	}
	p.percent, p.at, p.asked = percent, now, time.Time{}
	p.keepBest(now)
	switch slow := p.isSlow(); {
	case slow && p.slowSince.IsZero():
		p.slowSince = now
	case !slow && !p.slowSince.IsZero():
		p.learn(now.Sub(p.slowSince))
		p.slowSince = time.Time{}
	}
}

func (p *pace) isSlow() bool { return p.percent*UsualPace >= slowPercent*p.usual() }

func (p *pace) learn(spell time.Duration) {
	if p.spell == 0 {
		p.spell = firstSpell
	}
	p.spell += (min(spell, spellLimit*p.spell) - p.spell) / spellWeight
}

// extra is how much longer than usual a request takes that starts now.
func (p *pace) extra(req call.Request) time.Duration {
	return req.Work * time.Duration(p.percent-p.usual()) / UsualPace
}

// slow reports whether the last reading, if it is not stale, was slow.
func (p *pace) slow(now time.Time) bool {
	return p.isSlow() && now.Sub(p.at) <= staleAfter
}

// lasting reports whether the slow spell has outlived what is usual.
func (p *pace) lasting(now time.Time) bool {
	return !p.slowSince.IsZero() && now.Sub(p.slowSince) > spellLimit*p.usualSpell()
}

// left is how much longer the slow spell is expected to last; none for one that
// is not waited out.
func (p *pace) left(now time.Time) time.Duration {
	if !p.slow(now) || p.lasting(now) {
		return 0
	}
	return max(p.usualSpell()-now.Sub(p.slowSince), remeasureSlow)
}

func (p *pace) usualSpell() time.Duration {
	if p.spell == 0 {
		return firstSpell
	}
	return p.spell
}

// Pace returns the pace in percent as last read, and when; 0 is never.
func (g *Gate) Pace() (percent int, at time.Time) { return g.pace.percent, g.pace.at }

// Measured takes in a reading of the upstream's pace, in percent of the usual.
func (g *Gate) Measured(percent int, now time.Time) []Action {
	actions := g.advance(now)
	g.pace.read(percent, now)
	return append(actions, g.fill(now)...)
}

// Unmeasured says that a measurement that was asked for brought nothing, or may
// not be made. What is known has to do.
func (g *Gate) Unmeasured(now time.Time) []Action {
	actions := g.advance(now)
	g.pace.asked = time.Time{}
	g.pace.at = now
	if g.pace.percent == 0 {
		g.pace.percent = UsualPace
	}
	return append(actions, g.fill(now)...)
}

// RemeasureAt returns when to look at a slow upstream again, or false while it
// is not slow.
func (g *Gate) RemeasureAt(now time.Time) (time.Time, bool) {
	if !g.limits.Paced || g.pace.slowSince.IsZero() {
		return time.Time{}, false
	}
	return now.Add(remeasureSlow), true
}

// Remeasure asks for a reading if the last one is no longer fresh.
func (g *Gate) Remeasure(now time.Time) []Action {
	actions := g.advance(now)
	if g.pace.slowSince.IsZero() || now.Sub(g.pace.at) < freshFor || g.asking(now) {
		return append(actions, g.fill(now)...)
	}
	return append(actions, g.ask(now))
}

func (g *Gate) asking(now time.Time) bool {
	return !g.pace.asked.IsZero() && now.Sub(g.pace.asked) < measureLimit
}

func (g *Gate) ask(now time.Time) Action {
	g.pace.asked = now
	return Action{Kind: Measure}
}

// fillPaced starts queued calls while slots are free and the pace allows it.
func (g *Gate) fillPaced(now time.Time) []Action {
	if g.draining || g.queue.len() == 0 || len(g.running) >= g.room(now) {
		return nil
	}
	switch {
	case now.Sub(g.pace.at) < freshFor:
	case g.asking(now):
		return nil
	case g.pace.asked.IsZero():
		return []Action{g.ask(now)}
	}
	var actions []Action
	for i := 0; i < g.queue.len() && len(g.running) < g.room(now); {
		w := g.queue.calls[i]
		switch g.turn(w, now) {
		case stay:
			i++
			continue
		case leave:
			actions = append(actions, refuse(w.req.ID, g.leaveReason(w, now)))
		case begin:
			actions = append(actions, g.start(w.req, now))
		}
		g.queue.remove(w.req.ID)
	}
	return actions
}

// turn is what becomes of a queued call whose slot is free.
type turn string

const (
	begin turn = "begin"
	stay  turn = "stay"
	leave turn = "leave"
)

// turn weighs starting a call at the present pace against sending it elsewhere
// or waiting for the spell to end.
func (g *Gate) turn(w waiting, now time.Time) turn {
	if g.limits.Shed && g.passedOver(w, now) {
		return leave
	}
	if !g.pace.slow(now) {
		return begin
	}
	extra := g.pace.extra(w.req)
	if !w.req.Patient && extra > moveCost {
		return leave
	}
	spell := g.pace.usualSpell()
	if g.pace.lasting(now) || extra < spell || now.Add(spell+g.pace.work(w.req)).After(w.req.Deadline) {
		return begin
	}
	return stay
}

// passedOver reports whether a call has waited too long to meet its target while
// others behind it still can.
func (g *Gate) passedOver(w waiting, now time.Time) bool {
	if w.req.Target.IsZero() || !now.Add(g.pace.work(w.req)).After(w.req.Target) {
		return false
	}
	for _, other := range g.queue.calls {
		if other.req.Target.After(now.Add(g.pace.work(other.req))) {
			return true
		}
	}
	return false
}

func (g *Gate) leaveReason(w waiting, now time.Time) call.Reason {
	if g.limits.Shed && g.passedOver(w, now) {
		return call.Overloaded
	}
	return call.Slow
}
