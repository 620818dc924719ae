package follow_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelodoor.example/pomelodoor/follow"
)

// worstSecond returns the most calls to the store within a second after from.
func (s *simFleet) worstSecond(from int) int {
	worst := 0
	for second, calls := range s.callsBy {
		if second >= from {
			worst = max(worst, calls)
		}
	}
	return worst
}

// changeOften changes the store at random moments up to a time.
func (s *simFleet) changeOften(until, interval time.Duration) {
	for at := 2 * time.Second; at < until; at += interval/2 + time.Duration(s.random.Int64N(int64(interval))) {
		s.after(at, func() { s.change(fmt.Sprintf("k%d", s.random.IntN(20)), s.random.IntN(3) == 0) })
	}
}

// TestFleetKeepsBounds disturbs readers, others and the store at random. No copy goes
// back, and each member that is in touch has each change in time.
func TestFleetKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimFleet(36, 12, rapid.Uint64().Draw(t, "seed"))
		s.changeOften(30*time.Second, rapid.SampledFrom([]time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second}).Draw(t, "interval"))
		for range rapid.IntRange(0, 8).Draw(t, "faults") {
			// Every second fault or so disturbs one of the readers of the first zone.
			m := s.members[rapid.IntRange(0, len(s.members)-1).Draw(t, "member")]
			if rapid.Bool().Draw(t, "reader") {
				m = s.members[m.id%3]
			}
			fault := rapid.SampledFrom([]simFault{frozen, storeCut, cutOff}).Draw(t, "fault")
			d := time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms")) * time.Millisecond
			s.after(time.Duration(rapid.IntRange(1000, 25000).Draw(t, "atMs"))*time.Millisecond, func() { m.disturb(fault, d) })
		}
		if rapid.Bool().Draw(t, "outage") {
			d := time.Duration(rapid.IntRange(100, 5000).Draw(t, "outageMs")) * time.Millisecond
			s.after(time.Duration(rapid.IntRange(1000, 20000).Draw(t, "outageAtMs"))*time.Millisecond, func() { s.storeDownUntil = s.now.Add(d) })
		}
		s.play(35 * time.Second)
		if len(s.violations) > 0 {
			t.Fatalf("%d violations, the first: %s", len(s.violations), s.violations[0])
		}
	})
}

// TestFleetChecksCatch plants a fault for each property of the fleet.
func TestFleetChecksCatch(t *testing.T) {
	t.Run("a reader that hides its age", func(t *testing.T) {
		s := newSimFleet(36, 12, 7)
		s.lie = true
		s.after(4500*time.Millisecond, func() {
			s.members[0].disturb(storeCut, 20*time.Second)
			s.members[1].disturb(storeCut, 20*time.Second)
			s.members[2].disturb(storeCut, 20*time.Second)
		})
		s.changeOften(20*time.Second, time.Second)
		s.play(25 * time.Second)
		if len(s.violations) == 0 {
			t.Fatal("got no violation, want a change that is overdue")
		}
	})
	t.Run("a copy that is lost", func(t *testing.T) {
		s := newSimFleet(36, 12, 7)
		s.changeOften(20*time.Second, time.Second)
		s.after(10*time.Second, func() { s.members[5].f = follow.New(follow.Config{}) })
		s.after(10*time.Second, func() { s.members[5].end(func() {}) })
		s.play(12 * time.Second)
		if len(s.violations) == 0 {
			t.Fatal("got no violation, want a copy that went back")
		}
	})
	t.Run("a fleet in which all read", func(t *testing.T) {
		s := newSimFleet(300, 60, 7)
		for _, m := range s.members {
			m.f.SetReaders(nil, true)
		}
		s.play(40 * time.Second)
		if s.calls <= 300+maxCalls(5, 40) {
			t.Fatalf("got %d calls, want more than the limit", s.calls)
		}
	})
}

// maxCalls is the limit on the calls of the readers of some zones within some seconds:
// each reads about once per second of changes, at 35 % of simApplyWithin.
func maxCalls(zones, seconds int) int { return zones * (seconds + 1) }

// TestFleetCalls measures the calls to the store, which grow with the zones and not with
// the members but for one list at the start of each.
func TestFleetCalls(t *testing.T) {
	tests := map[string]struct {
		members, zone int
		interval      time.Duration
		// loseReaders freezes the first readers of each zone for good.
		loseReaders int
	}{
		"300 members, few changes":         {300, 60, 10 * time.Second, 0},
		"300 members, many changes":        {300, 60, 300 * time.Millisecond, 0},
		"2,800 members, few changes":       {2800, 560, 10 * time.Second, 0},
		"2,800 members, many changes":      {2800, 560, time.Second, 0},
		"300 members, two readers lost":    {300, 60, time.Second, 2},
		"300 members, all readers lost":    {300, 60, time.Second, 3},
		"2,800 members, two readers lost":  {2800, 560, time.Second, 2},
		"one zone of 59, each second one ": {59, 59, 2 * time.Second, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if testing.Short() && test.members > 300 {
				t.Skip("large fleet")
			}
			zones := (test.members + test.zone - 1) / test.zone
			s := newSimFleet(test.members, test.zone, 11)
			s.changeOften(30*time.Second, test.interval)
			if test.loseReaders > 0 {
				s.after(5*time.Second, func() {
					for _, m := range s.members {
						if m.id%test.zone < test.loseReaders {
							m.disturb(frozen, time.Hour)
						}
					}
				})
			}
			s.play(40 * time.Second)
			if len(s.violations) > 0 {
				t.Fatalf("%d violations, the first: %s", len(s.violations), s.violations[0])
			}
			var worst, sum time.Duration
			for _, d := range s.delays {
				worst, sum = max(worst, d), sum+d
			}
			t.Logf("%d calls, worst second %d, %d B of polls per member and second, delay mean %s, worst %s",
				s.calls, s.worstSecond(2), s.bytes/test.members/40, (sum / time.Duration(max(len(s.delays), 1))).Round(time.Millisecond), worst)
			if limit := test.members + maxCalls(zones, 40); test.loseReaders == 0 && s.calls > limit {
				t.Errorf("got %d calls, want at most %d", s.calls, limit)
			}
		})
	}
}
