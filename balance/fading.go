package balance

import "time"

// fading follows a figure that is expected to return to nothing once it is no
// longer seen.
type fading struct {
	value float64
	// at is when value was true.
	at time.Time
}

// now returns the figure after it has faded, with a life in which it loses 63 %.
func (f *fading) now(life time.Duration, now time.Time) float64 {
	if f.value == 0 {
		return 0
	}
	return f.value * fade(now.Sub(f.at), life)
}

// follow brings the figure nearer to a sample by a share of the way.
func (f *fading) follow(sample, weight float64, life time.Duration, now time.Time) {
	value := f.now(life, now)
	f.value, f.at = value+weight*(sample-value), now
}
