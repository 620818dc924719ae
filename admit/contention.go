package admit

import "time"

const (
	// contentionSamples is the number of calls of each kind that are needed to find
	// that the upstream is slower when nearly full.
	contentionSamples = 16
	// contentionDivisor is the inverse of the weight of one call in its average.
	contentionDivisor = 64
	// contentionFactor is how much longer calls must take on a nearly full upstream
	// for slots to be left free. That costs a fifth of the slots, and in busy
	// periods calls also take longer because the calls that they make do.
	// contentionMargin, divided by the number of calls compared, is added to the
	// factor, so that a small sample needs a clearer difference.
	contentionFactor = 1.3
	contentionMargin = 6.0
	// contentionTTL is how long slots are left free until all are tried again.
	contentionTTL = 20 * time.Second
)

// contention detects whether the upstream slows down when it is nearly full. It
// compares the durations, relative to the expected work, of calls that started
// while few others were running and of those that started while many were.
type contention struct {
	uncontended, contended slowdown
	// until is when all slots are tried again, or zero. factor is how much longer
	// contended calls took when a slowdown was last detected.
	until  time.Time
	factor float64
}

// slowdown is an average of call durations, as factors of the expected work.
type slowdown struct {
	mean  float64
	calls int
}

func (s *slowdown) add(sample float64) {
	s.calls++
	s.mean += (sample - s.mean) / float64(min(s.calls, contentionDivisor))
}

// add counts a call that took the given time.
func (c *contention) add(r *runningCall, took time.Duration, now time.Time) {
	if r.work <= 0 || took <= 0 {
		return
	}
	sample := float64(took) / float64(r.work)
	if !r.contended {
		c.uncontended.add(sample)
		return
	}
	c.contended.add(sample)
	samples := min(c.uncontended.calls, c.contended.calls)
	if samples >= contentionSamples && c.contended.mean > (contentionFactor+contentionMargin/float64(samples))*c.uncontended.mean {
		c.until, c.factor = now.Add(contentionTTL), c.contended.mean/c.uncontended.mean
		c.contended = slowdown{}
	}
}

// capacity returns how many calls may run at once.
func (g *Gate) capacity(now time.Time) int {
	if g.reservingCapacity(now) {
		return min(g.limits.UncontendedSlots, g.limits.Slots)
	}
	return g.limits.Slots
}

// reservingCapacity reports whether slots are left free because of contention.
func (g *Gate) reservingCapacity(now time.Time) bool {
	return g.limits.UncontendedSlots > 0 && now.Before(g.contention.until)
}

// Contention returns how much longer calls take on the nearly full upstream, as a
// factor, while slots are left free for that reason, and otherwise 0.
func (g *Gate) Contention(now time.Time) float64 {
	if g.reservingCapacity(now) {
		return g.contention.factor
	}
	return 0
}
