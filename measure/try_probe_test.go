package measure_test

import (
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/measure"
)

// TestTryProbeStaysWithinBudget calls TryProbe far more often than the budget allows.
func TestTryProbeStaysWithinBudget(t *testing.T) {
	const perSecond, seconds, burst = 40, 10, 20
	now := time.Unix(1_800_000_000, 0)
	m := measure.New(measure.Config{Rand: func() uint64 { return 0 }})
	m.SetBudget(perSecond, true, now)
	probes := 0
	for range seconds * 1000 {
		now = now.Add(time.Millisecond)
		if m.TryProbe(now) {
			probes++
			if m.TryProbe(now) {
				t.Fatal("TryProbe started a second probe while one was running")
			}
			m.Done(measure.Reading{PacePercent: 100}, nil, now)
		}
	}
	if probes > perSecond*seconds+burst || probes < perSecond*seconds*9/10 {
		t.Fatalf("got %d probes in %d s, budget is %d per second", probes, seconds, perSecond)
	}
	m.SetBudget(perSecond, false, now)
	now = now.Add(time.Second)
	if m.TryProbe(now) {
		t.Fatal("TryProbe started a probe while probing is disabled")
	}
}

// TestTryProbeAllowsBurst checks that tokens accumulate up to the burst size, because
// requests arrive in bursts.
func TestTryProbeAllowsBurst(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	m := measure.New(measure.Config{Rand: func() uint64 { return 0 }})
	m.SetBudget(40, true, now)
	m.TryProbe(now)
	now = now.Add(10 * time.Second)
	probes := 0
	for m.TryProbe(now) {
		m.Done(measure.Reading{PacePercent: 100}, nil, now)
		probes++
	}
	if probes != 20 {
		t.Fatalf("got a burst of %d probes, want 20", probes)
	}
}
