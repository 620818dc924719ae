package balance

import (
	"testing"
	"time"
)

// TestReturn guards against upstreams that are avoided for 10 s after an evacuation, or get
// their whole share at once.
func TestReturn(t *testing.T) {
	draining := Load{State: Draining, Slots: 10}
	candidates := newCandidates("a", "a")
	tests := map[string]struct {
		// lateReport is when after the return the last report of a draining upstream comes;
		// -1 for none.
		lateReport time.Duration
		at         time.Duration
		min, max   int
	}{
		"at once":                {-1, 0, 20, 150},
		"in the middle":          {-1, 5 * time.Second, 200, 350},
		"after the ramp":         {-1, 11 * time.Second, 400, 600},
		"just after late report": {2 * time.Second, 2100 * time.Millisecond, 0, 0},
		"soon after late report": {2 * time.Second, 2400 * time.Millisecond, 50, 250},
		"a drain later on":       {11 * time.Second, 13 * time.Second, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPicker()
			countPicks(p, candidates, allOptions, epoch)
			p.ObserveLoad("u1", draining, epoch.Add(time.Minute))
			end := epoch.Add(time.Minute + time.Second)
			if n := countPicks(p, candidates, allOptions, end)[1]; n > 0 {
				t.Fatalf("%d of 1000 picks of a draining upstream", n)
			}
			p.Return("u1", end)
			if test.lateReport >= 0 {
				p.ObserveLoad("u1", draining, end.Add(test.lateReport))
			}
			if n := countPicks(p, candidates, allOptions, end.Add(test.at))[1]; n < test.min || n > test.max {
				t.Errorf("%d of 1000 picks, want %d to %d", n, test.min, test.max)
			}
		})
	}
}
