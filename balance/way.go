package balance

import "time"

const (
	// wayLife is the time in which a long way loses 63 % of what it is expected
	// to take: a link that is full empties in about that.
	wayLife = 1500 * time.Millisecond
	// wayWeight is the share of one call in what the way is expected to take. It
	// is large, since in a large fleet two daemons seldom meet.
	wayWeight = 0.5
	// wayNoise is what the way may take beyond the usual by chance.
	wayNoise = 20 * time.Millisecond
)

// onWay follows how much longer than usual the way takes, in nanoseconds.
func (u *upstream) onWay(excess float64, now time.Time) {
	u.way.follow(excess, wayWeight, wayLife, now)
}

// wayCost is what the way costs beyond the usual, where that is too much for
// chance.
func (u *upstream) wayCost(now time.Time) float64 {
	if w := u.way.now(wayLife, now); w >= float64(wayNoise) {
		return w
	}
	return 0
}
