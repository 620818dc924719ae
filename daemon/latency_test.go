package daemon

import (
	"fmt"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

func TestLatenciesByRouteAndOutcome(t *testing.T) {
	l := newLatencies()
	for i := range 100 {
		l.add("look", call.Run, time.Duration(i+1)*time.Millisecond)
	}
	l.add("look", call.NotRun, 0)
	l.add("look", call.Unknown, time.Hour)
	want := map[call.Outcome]struct {
		count         int64
		p50, p99, max float64
	}{
		call.Run: {100, 50, 99, 100}, call.NotRun: {1, 0, 0, 0}, call.Unknown: {1, 120_000, 120_000, 120_000},
	}
	got := l.report()
	if len(got) != len(want) {
		t.Fatalf("got %d histograms, want %d", len(got), len(want))
	}
	for _, r := range got {
		w := want[r.Outcome]
		if r.Route != "look" || r.Count != w.count || !near(r.P50Ms, w.p50) || !near(r.P99Ms, w.p99) || !near(r.MaxMs, w.max) {
			t.Errorf("got %+v, want %+v", r, w)
		}
	}
}

// near reports whether got equals want within the precision of a histogram.
func near(got, want float64) bool {
	return got >= want*0.98-0.01 && got <= want*1.02+0.01
}

func TestHistogramCountIsBounded(t *testing.T) {
	l := newLatencies()
	for i := range 10 * maxHistograms {
		l.add(fmt.Sprint(i), call.Run, time.Millisecond)
	}
	others := int64(0)
	for _, r := range l.report() {
		if r.Route == otherRoute {
			others += r.Count
		}
	}
	if got := len(l.report()); got > maxHistograms+1 || others != 9*maxHistograms {
		t.Fatalf("got %d histograms and %d requests under otherRoute", got, others)
	}
}
