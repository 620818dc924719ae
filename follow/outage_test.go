package follow_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Times of an upstream that leaves after an outage of the store.
const (
	// leaveApplyWithin is the time within which the fleet applies changes.
	leaveApplyWithin = 2 * time.Second
	// leaveAfter is how long the store has been well when the upstream leaves.
	leaveAfter = 3050 * time.Millisecond
	// leaveDrain is how long the upstream serves after that.
	leaveDrain = 2 * time.Second
	// returnInterval is the interval at which others write their keys again.
	returnInterval = 300 * time.Millisecond
)

// TestRemovalAfterOutageIsApplied guards against a key that is retained, because of an
// outage of the store that is long over, for longer than a leaving upstream serves.
func TestRemovalAfterOutageIsApplied(t *testing.T) {
	tests := map[string]struct {
		members, zone int
		// lost is how many readers of each zone stop during the outage.
		lost int
	}{
		"each reads the store":    {members: 12},
		"a few poll readers":      {members: 24, zone: 12},
		"the first reader is off": {members: 24, zone: 12, lost: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimFleetWithin(leaveApplyWithin, test.members, test.zone, rapid.Uint64().Draw(t, "seed"))
				down := time.Duration(rapid.IntRange(2000, 5000).Draw(t, "downAtMs")) * time.Millisecond
				up := down + time.Duration(rapid.IntRange(3000, 12000).Draw(t, "outageMs"))*time.Millisecond
				s.after(time.Second, func() { s.change("leaving", false) })
				s.after(down, func() { s.storeDownUntil = start.Add(up) })
				s.after(down+time.Second, func() { s.stopReaders(test.zone, test.lost) })
				for i := range rapid.IntRange(0, 6).Draw(t, "returns") {
					s.after(up+time.Duration(i)*returnInterval, func() { s.change(fmt.Sprintf("returned%d", i), false) })
				}
				s.leave("leaving", up+leaveAfter)
				s.play(up + 10*time.Second)
				if len(s.violations) > 0 {
					t.Fatalf("%d violations, the first: %s", len(s.violations), s.violations[0])
				}
			})
		})
	}
}

// stopReaders stops the first readers of each zone for good.
func (s *simFleet) stopReaders(zone, lost int) {
	for _, m := range s.members {
		if lost > 0 && m.id%zone < lost {
			m.disturb(frozen, time.Hour)
		}
	}
}

// leave removes a key at a time after start, and checks that no member has it once the
// upstream that wrote it may have stopped.
func (s *simFleet) leave(key string, at time.Duration) {
	s.after(at, func() { s.change(key, true) })
	s.after(at+leaveDrain, func() {
		for _, m := range s.members {
			if _, held := m.f.Items()[key]; held && m.fault == "" {
				s.violations = append(s.violations, fmt.Sprintf("member %d holds a key %s after its removal", m.id, leaveDrain))
			}
		}
	})
}
