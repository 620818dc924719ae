package admit

import "time"

const (
	// crowdSamples is the number of calls of either kind that are compared before
	// the upstream counts as slower when nearly full.
	crowdSamples = 16
	// crowdWeight is the inverse of the share of one call in its average.
	crowdWeight = 64
	// crowdFactor is how much longer calls must take on a nearly full upstream
	// for slots to be left free. A fifth of the slots is lost by that, and at
	// busy times the calls that a run makes take longer too. crowdDoubt is what
	// few calls must show beyond it, for each of them.
	crowdFactor = 1.3
	crowdDoubt  = 6.0
	// crowdLife is how long that is believed before it is tried again.
	crowdLife = 20 * time.Second
)

// crowd learns whether the upstream slows down when it is nearly full: how long
// calls took, as a factor of their expected work, that started beside few others
// and beside many.
type crowd struct {
	easy, crowded factor
	// until is when nearly full is tried again, or zero; found is how much
	// longer calls took then.
	until time.Time
	found float64
}

// factor is an average over calls.
type factor struct {
	mean  float64
	calls int
}

func (f *factor) add(sample float64) {
	f.calls++
	f.mean += (sample - f.mean) / float64(min(f.calls, crowdWeight))
}

// add counts one call that took a time at the usual pace.
func (c *crowd) add(r *running, took time.Duration, now time.Time) {
	if r.work <= 0 || took <= 0 {
		return
	}
	sample := float64(took) / float64(r.work)
	if !r.crowded {
		c.easy.add(sample)
		return
	}
	c.crowded.add(sample)
	few := min(c.easy.calls, c.crowded.calls)
	if few >= crowdSamples && c.crowded.mean > (crowdFactor+crowdDoubt/float64(few))*c.easy.mean {
		c.until, c.found = now.Add(crowdLife), c.crowded.mean/c.easy.mean
		c.crowded = factor{}
	}
}

// room returns how many calls the upstream is given at once.
func (g *Gate) room(now time.Time) int {
	if g.sparing(now) {
		return min(g.limits.Easy, g.limits.Slots)
	}
	return g.limits.Slots
}

// sparing reports whether slots are left free because more calls take longer.
func (g *Gate) sparing(now time.Time) bool {
	return g.limits.Easy > 0 && now.Before(g.crowd.until)
}

// Crowding returns how much longer calls have turned out to take on the nearly
// full upstream, as a factor, while slots are left free for that; else 0.
func (g *Gate) Crowding(now time.Time) float64 {
	if g.sparing(now) {
		return g.crowd.found
	}
	return 0
}
