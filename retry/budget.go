package retry

import "time"

const (
	// bucketSize is the most attempts that can be saved up.
	bucketSize = 10.0
	// floorPerSecond is given whatever the number of calls, so that a service
	// that is rarely called is retried too.
	floorPerSecond = 0.2
	// firstTokens is what a new bucket holds.
	firstTokens = 1.0
)

// bucket holds the attempts that may be made beyond the first ones.
type bucket struct {
	tokens  float64
	counted time.Time
	// size is the most tokens held; bucketSize when zero.
	size float64
}

func (b *bucket) most() float64 {
	if b.size == 0 {
		return bucketSize
	}
	return b.size
}

// deposit adds the share that one first attempt gives.
func (b *bucket) deposit(percent float64) {
	b.tokens = min(b.most(), b.tokens+percent/100)
}

// withdraw takes one attempt out, if there is one. floor is what is given in
// a second.
func (b *bucket) withdraw(floor float64, now time.Time) bool {
	b.count(floor, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// count adds the floor of the time since the last count.
func (b *bucket) count(floor float64, now time.Time) {
	if !now.After(b.counted) {
		return
	}
	if !b.counted.IsZero() {
		b.tokens = min(b.most(), b.tokens+floor*now.Sub(b.counted).Seconds())
	}
	b.counted = now
}
