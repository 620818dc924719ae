package standin

import (
	"sync"
	"time"
)

// rateWindowSeconds is the number of whole seconds over which a rate is averaged.
const rateWindowSeconds = 10

// ReadStats describes the read load on the platform. A waiting watch counts as
// one read.
type ReadStats struct {
	Total         uint64            `json:"reads"`
	ByKind        map[string]uint64 `json:"byKind"`
	Waiting       int               `json:"waiting"`
	PerSecond     float64           `json:"perSecond"`
	PeakPerSecond uint64            `json:"peakPerSecond"`
}

// readCounter counts reads in total, by kind and by second.
type readCounter struct {
	mu      sync.Mutex
	start   time.Time
	total   uint64
	byKind  map[string]uint64
	waiting int
	second  int64
	recent  [rateWindowSeconds]uint64
	peak    uint64
}

func newReadCounter(now time.Time) *readCounter {
	return &readCounter{start: now, byKind: map[string]uint64{}}
}

// add counts one read of a kind.
func (c *readCounter) add(kind string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	c.total++
	c.byKind[kind]++
	slot := &c.recent[c.second%rateWindowSeconds]
	*slot++
	c.peak = max(c.peak, *slot)
}

// addWaiting adds n to the number of waiting watches.
func (c *readCounter) addWaiting(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += n
}

// advance moves to the current second and clears the counts of the seconds that
// have left the window.
func (c *readCounter) advance(now time.Time) {
	second := int64(now.Sub(c.start) / time.Second)
	for s := max(c.second+1, second-rateWindowSeconds+1); s <= second; s++ {
		c.recent[s%rateWindowSeconds] = 0
	}
	c.second = max(c.second, second)
}

// report returns the statistics. The rate is the mean over the window, or over
// the time since the start if that is shorter.
func (c *readCounter) report(now time.Time) ReadStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	var sum uint64
	for _, n := range c.recent {
		sum += n
	}
	byKind := make(map[string]uint64, len(c.byKind))
	for k, n := range c.byKind {
		byKind[k] = n
	}
	seconds := min(max(now.Sub(c.start).Seconds(), 1), rateWindowSeconds)
	return ReadStats{Total: c.total, ByKind: byKind, Waiting: c.waiting, PerSecond: float64(sum) / seconds, PeakPerSecond: c.peak}
}
