package admit

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
)

const (
	// maxBaselinePercent is the slowest baseline pace, in percent, however long a
	// slower pace lasts: an upstream that is slower than one that has just started
	// is unhealthy, and others of its service are probably healthy. For an upstream
	// that has just started it also stands for the best pace before the first
	// reading.
	maxBaselinePercent = 250
	// baselineWindow is the length of the windows whose best pace is kept: the
	// present one and the one before. It is longer than a typical slow period, to
	// distinguish that from an upstream that is slower for longer, such as one that
	// has just started.
	baselineWindow = 400 * time.Millisecond
)

// updateBaseline counts the last reading in the best pace of the present window.
func (p *pace) updateBaseline(now time.Time) {
	switch age := now.Sub(p.windowStart); {
	case p.windowStart.IsZero():
		p.windowBest, p.previousBest, p.windowStart = p.percent, p.initialBaseline(), now
	case age >= 2*baselineWindow:
		p.windowBest, p.previousBest, p.windowStart = p.percent, 0, now
	case age >= baselineWindow:
		p.windowBest, p.previousBest, p.windowStart = p.percent, p.windowBest, now
	}
	p.windowBest = min(p.windowBest, p.percent)
}

// baseline returns the pace, in percent, at which the upstream runs without a
// temporary slowdown: the best recent one.
func (p *pace) baseline() int {
	switch {
	case p.windowBest == 0:
		return NominalPace
	case p.previousBest == 0:
		return clampBaseline(p.windowBest)
	}
	return clampBaseline(min(p.windowBest, p.previousBest))
}

// clampBaseline limits a pace to the range of the baseline.
func clampBaseline(percent int) int { return min(max(percent, NominalPace), maxBaselinePercent) }

// expectedWork returns the duration of a request at the baseline pace.
func (p *pace) expectedWork(req call.Request) time.Duration {
	return req.ExpectedWork * time.Duration(p.baseline()) / NominalPace
}

// initialBaseline returns the best pace assumed for the time before the first
// reading.
func (p *pace) initialBaseline() int {
	if p.cold {
		return maxBaselinePercent
	}
	return NominalPace
}
