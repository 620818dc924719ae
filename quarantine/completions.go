package quarantine

import "time"

const (
	// rotationInterval is the age at which the current set of completed requests
	// is rotated. A request is remembered for at least this long unless more than
	// maxCompleted others complete in that time.
	rotationInterval = 30 * time.Second
	// maxCompleted is the maximum number of requests in each of the two sets.
	maxCompleted = 2048
)

// recentCompletions records the requests that completed recently, in two sets. On
// rotation the previous set is dropped as a whole.
type recentCompletions struct {
	current, previous map[uint64]bool
	rotatedAt         time.Time
}

func (c *recentCompletions) add(fingerprint uint64, now time.Time) {
	if c.current == nil || len(c.current) >= maxCompleted || now.Sub(c.rotatedAt) >= rotationInterval {
		c.current, c.previous, c.rotatedAt = make(map[uint64]bool), c.current, now
	}
	c.current[fingerprint] = true
}

func (c *recentCompletions) has(fingerprint uint64) bool {
	return c.current[fingerprint] || c.previous[fingerprint]
}
