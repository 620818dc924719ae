package admit

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
)

const (
	// worstUsual is the slowest pace that counts as usual, however long it lasts:
	// an upstream that is slower than one that has just started is ill, and others
	// of its service are likely well. It is what is expected of one that has just
	// started until its pace was read.
	worstUsual = 250
	// bestSpan is how long the best pace is remembered, once or twice over. It
	// outlasts a usual slow spell, so that one is told from an upstream that is
	// slower for longer, as after its start.
	bestSpan = 400 * time.Millisecond
)

// keepBest counts the present reading towards the best of its span.
func (p *pace) keepBest(now time.Time) {
	switch age := now.Sub(p.spanFrom); {
	case p.spanFrom.IsZero():
		p.best, p.bestBefore, p.spanFrom = p.percent, p.first(), now
	case age >= 2*bestSpan:
		p.best, p.bestBefore, p.spanFrom = p.percent, 0, now
	case age >= bestSpan:
		p.best, p.bestBefore, p.spanFrom = p.percent, p.best, now
	}
	p.best = min(p.best, p.percent)
}

// usual is the pace that the upstream has when nothing slows it down for a
// moment: the best of late.
func (p *pace) usual() int {
	switch {
	case p.best == 0:
		return UsualPace
	case p.bestBefore == 0:
		return inUsual(p.best)
	}
	return inUsual(min(p.best, p.bestBefore))
}

// inUsual brings a pace into the bounds of what is usual.
func inUsual(percent int) int { return min(max(percent, UsualPace), worstUsual) }

// work is what a request takes when nothing slows the upstream down for a moment.
func (p *pace) work(req call.Request) time.Duration {
	return req.Work * time.Duration(p.usual()) / UsualPace
}

// first is the best pace to expect before any was read.
func (p *pace) first() int {
	if p.cold {
		return worstUsual
	}
	return UsualPace
}
