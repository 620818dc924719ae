package standin

import (
	"sync"
	"time"
)

// rateWindow is the number of whole seconds that a rate is averaged over.
const rateWindow = 10

// Reads reports the load on the platform. A waiting watch is one read.
type Reads struct {
	Reads     uint64            `json:"reads"`
	ByKind    map[string]uint64 `json:"byKind"`
	Waiting   int               `json:"waiting"`
	PerSecond float64           `json:"perSecond"`
	Peak      uint64            `json:"peakPerSecond"`
}

// readCounter counts reads in all and by second.
type readCounter struct {
	mu      sync.Mutex
	start   time.Time
	total   uint64
	byKind  map[string]uint64
	waiting int
	second  int64
	recent  [rateWindow]uint64
	peak    uint64
}

func newReadCounter(now time.Time) *readCounter {
	return &readCounter{start: now, byKind: map[string]uint64{}}
}

// add counts one read of a kind.
func (c *readCounter) add(kind string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roll(now)
	c.total++
	c.byKind[kind]++
	slot := &c.recent[c.second%rateWindow]
	*slot++
	c.peak = max(c.peak, *slot)
}

// wait counts watches that begin (1) or end (-1) to wait.
func (c *readCounter) wait(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += n
}

// roll clears the seconds that have passed since the last read.
func (c *readCounter) roll(now time.Time) {
	second := int64(now.Sub(c.start) / time.Second)
	for s := max(c.second+1, second-rateWindow+1); s <= second; s++ {
		c.recent[s%rateWindow] = 0
	}
	c.second = max(c.second, second)
}

// report returns the counts. The rate is the mean over the window, or over the
// time since the start when that is shorter.
func (c *readCounter) report(now time.Time) Reads {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roll(now)
	var sum uint64
	for _, n := range c.recent {
		sum += n
	}
	byKind := make(map[string]uint64, len(c.byKind))
	for k, n := range c.byKind {
		byKind[k] = n
	}
	over := min(max(now.Sub(c.start).Seconds(), 1), rateWindow)
	return Reads{Reads: c.total, ByKind: byKind, Waiting: c.waiting, PerSecond: float64(sum) / over, Peak: c.peak}
}
