package retry

import "time"

const (
	// bucketSize is the default maximum number of tokens. A token is one further
	// attempt.
	bucketSize = 10.0
	// minRetriesPerSecond is added regardless of the number of calls, so that
	// calls of a rarely used service can be retried too.
	minRetriesPerSecond = 0.2
	// initialTokens is the content of a new bucket for retries.
	initialTokens = 1.0
)

// bucket is a token bucket of attempts that may be made beyond the first ones.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	// size is the maximum number of tokens; 0 means bucketSize.
	size float64
}

func (b *bucket) maxTokens() float64 {
	if b.size == 0 {
		return bucketSize
	}
	return b.size
}

// deposit adds percent/100 tokens for one first attempt.
func (b *bucket) deposit(percent float64) {
	b.tokens = min(b.maxTokens(), b.tokens+percent/100)
}

// withdraw takes one token, if there is one, after a refill at ratePerSecond.
func (b *bucket) withdraw(ratePerSecond float64, now time.Time) bool {
	b.refill(ratePerSecond, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds ratePerSecond tokens for each second since the last refill.
func (b *bucket) refill(ratePerSecond float64, now time.Time) {
	if !now.After(b.refilledAt) {
		return
	}
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.maxTokens(), b.tokens+ratePerSecond*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}
