package quarantine

import "time"

const (
	// completedFor is how long a completed request is remembered at least.
	completedFor = 30 * time.Second
	// maxCompleted bounds the requests remembered in each half.
	maxCompleted = 2048
)

// lately remembers the requests that completed lately, in two halves of
// which the older is dropped as a whole.
type lately struct {
	recent, older map[uint64]bool
	turned        time.Time
}

func (c *lately) add(fingerprint uint64, now time.Time) {
	if c.recent == nil || len(c.recent) >= maxCompleted || now.Sub(c.turned) >= completedFor {
		c.recent, c.older, c.turned = make(map[uint64]bool), c.recent, now
	}
	c.recent[fingerprint] = true
}

func (c *lately) has(fingerprint uint64) bool {
	return c.recent[fingerprint] || c.older[fingerprint]
}
