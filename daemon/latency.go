package daemon

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pomelodoor.example/pomelodoor/call"
)

const (
	// longestLatency is the longest time that is told apart, and latencyDigits
	// how exactly: two digits keep a histogram at some 10 KB.
	longestLatency = 2 * time.Minute
	latencyDigits  = 2
	// maxLatencies bounds the histograms; requests beyond that are counted under
	// otherRoute.
	maxLatencies = 64
	otherRoute   = "other"
)

// latencyKey tells apart what is counted together. The route is "" for a request
// that was sent to nobody.
type latencyKey struct {
	route   string
	outcome call.Outcome
}

// latencies are the times that callers waited, by route and outcome.
type latencies struct {
	mu   sync.Mutex
	held map[latencyKey]*hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{held: map[latencyKey]*hdrhistogram.Histogram{}}
}

// add counts one request.
func (l *latencies) add(route string, outcome call.Outcome, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := latencyKey{route, outcome}
	if l.held[key] == nil && len(l.held) >= maxLatencies {
		key.route = otherRoute
	}
	h := l.held[key]
	if h == nil {
		h = hdrhistogram.New(1, longestLatency.Microseconds(), latencyDigits)
		l.held[key] = h
	}
	// A longer time counts as the longest.
	_ = h.RecordValue(min(max(took, time.Microsecond), longestLatency).Microseconds())
}

// LatencyReport is one histogram as operators read it.
type LatencyReport struct {
	Route   string       `json:"route"`
	Outcome call.Outcome `json:"outcome"`
	Count   int64        `json:"count"`
	P50Ms   float64      `json:"p50Ms"`
	P90Ms   float64      `json:"p90Ms"`
	P99Ms   float64      `json:"p99Ms"`
	P999Ms  float64      `json:"p999Ms"`
	MaxMs   float64      `json:"maxMs"`
}

// report returns all histograms.
func (l *latencies) report() []LatencyReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]LatencyReport, 0, len(l.held))
	for key, h := range l.held {
		at := func(percent float64) float64 { return float64(h.ValueAtQuantile(percent)) / 1000 }
		out = append(out, LatencyReport{
			Route: key.route, Outcome: key.outcome, Count: h.TotalCount(),
			P50Ms: at(50), P90Ms: at(90), P99Ms: at(99), P999Ms: at(99.9), MaxMs: float64(h.Max()) / 1000,
		})
	}
	return out
}
