package balance

import "time"

const (
	// linkDelayTimeConstant is the time after which an excess link delay has
	// decayed by 63 %. A saturated link drains in about that time.
	linkDelayTimeConstant = 1500 * time.Millisecond
	// linkDelayWeight is the weight of one call in the excess link delay. It is
	// large because in a large fleet two daemons seldom exchange calls.
	linkDelayWeight = 0.5
	// linkDelayNoise is the excess link delay that may be due to chance.
	linkDelayNoise = 20 * time.Millisecond
)

// observeLinkDelay adds one excess link delay, in nanoseconds.
func (u *upstream) observeLinkDelay(excess float64, now time.Time) {
	u.linkDelay.add(excess, linkDelayWeight, linkDelayTimeConstant, now)
}

// linkDelayCost returns the expected excess link delay in nanoseconds, or 0 if
// it may be due to chance.
func (u *upstream) linkDelayCost(now time.Time) float64 {
	if delay := u.linkDelay.decayed(linkDelayTimeConstant, now); delay >= float64(linkDelayNoise) {
		return delay
	}
	return 0
}
