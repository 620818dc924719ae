package daemon

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pomelodoor.example/pomelodoor/call"
)

const (
	// maxLatency is the highest value that a histogram records, with
	// latencySignificantDigits: two digits keep a histogram at about 10 KB.
	maxLatency               = 2 * time.Minute
	latencySignificantDigits = 2
	// maxHistograms limits the histograms by route and outcome; requests beyond
	// that are counted under otherRoute.
	maxHistograms = 64
	otherRoute    = "other"
)

// latencyKey identifies a histogram. route is "" for a request that was not sent
// to any upstream.
type latencyKey struct {
	route   string
	outcome call.Outcome
}

// latencies holds the times until callers were answered, by route and outcome.
type latencies struct {
	mu         sync.Mutex
	histograms map[latencyKey]*hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histograms: map[latencyKey]*hdrhistogram.Histogram{}}
}

// add records one request.
func (l *latencies) add(route string, outcome call.Outcome, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := latencyKey{route, outcome}
	if l.histograms[key] == nil && len(l.histograms) >= maxHistograms {
		key.route = otherRoute
	}
	h := l.histograms[key]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantDigits)
		l.histograms[key] = h
	}
	// Times outside the range of the histogram count as its nearest limit.
	_ = h.RecordValue(min(max(took, time.Microsecond), maxLatency).Microseconds())
}

// LatencyReport is the summary of one histogram in /debug/vars.
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
	out := make([]LatencyReport, 0, len(l.histograms))
	for key, h := range l.histograms {
		at := func(percent float64) float64 { return float64(h.ValueAtQuantile(percent)) / 1000 }
		out = append(out, LatencyReport{
			Route: key.route, Outcome: key.outcome, Count: h.TotalCount(),
			P50Ms: at(50), P90Ms: at(90), P99Ms: at(99), P999Ms: at(99.9), MaxMs: float64(h.Max()) / 1000,
		})
	}
	return out
}
