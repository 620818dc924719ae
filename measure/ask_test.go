package measure_test

import (
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/measure"
)

// TestAskKeepsTheBudget asks far more often than the budget allows.
func TestAskKeepsTheBudget(t *testing.T) {
	const perSecond, seconds, burst = 40, 10, 20
	now := time.Unix(1_800_000_000, 0)
	m := measure.New(measure.Config{Rand: func() uint64 { return 0 }})
	m.SetBudget(perSecond, true, now)
	asked := 0
	for range seconds * 1000 {
		now = now.Add(time.Millisecond)
		if m.Ask(now) {
			asked++
			if m.Ask(now) {
				t.Fatal("two probes are under way")
			}
			m.Done(measure.Reading{PacePercent: 100}, nil, now)
		}
	}
	if asked > perSecond*seconds+burst || asked < perSecond*seconds*9/10 {
		t.Fatalf("%d probes in %d s at %d a second", asked, seconds, perSecond)
	}
	m.SetBudget(perSecond, false, now)
	now = now.Add(time.Second)
	if m.Ask(now) {
		t.Fatal("a probe is made while probes are switched off")
	}
}

// TestAskSavesUpAFew: requests come in bunches.
func TestAskSavesUpAFew(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	m := measure.New(measure.Config{Rand: func() uint64 { return 0 }})
	m.SetBudget(40, true, now)
	m.Ask(now)
	now = now.Add(10 * time.Second)
	asked := 0
	for m.Ask(now) {
		m.Done(measure.Reading{PacePercent: 100}, nil, now)
		asked++
	}
	if asked != 20 {
		t.Fatalf("%d probes at once", asked)
	}
}
