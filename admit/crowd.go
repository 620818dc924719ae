package admit

import "time"

const (
	// crowdSamples is the number of calls of either kind that are compared before
	// the upstream counts as slower when nearly full.
	crowdSamples = 16
	// crowdWeight is the inverse of the share of one call in its average.
	crowdWeight = 16
	// crowdFactor is how much longer calls must take on a nearly full upstream
	// for it to be worth more to leave slots free: a fifth of the slots is, and
	// one call is hard to tell from another.
	crowdFactor = 1.3
	// crowdLife is how long that is believed before it is tried again.
	crowdLife = 20 * time.Second
)

// crowd learns whether the upstream slows down when it is nearly full: how long
// calls took, as a factor of their expected work, that started beside few others
// and beside many.
type crowd struct {
	easy, crowded factor
	// until is when nearly full is tried again, or zero.
	until time.Time
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
	enough := c.easy.calls >= crowdSamples && c.crowded.calls >= crowdSamples
	if enough && c.crowded.mean > crowdFactor*c.easy.mean {
		c.until = now.Add(crowdLife)
		c.crowded = factor{}
	}
}

// room returns how many calls the upstream is given at once.
func (g *Gate) room(now time.Time) int {
	if g.limits.Easy > 0 && now.Before(g.crowd.until) {
		return min(g.limits.Easy, g.limits.Slots)
	}
	return g.limits.Slots
}
