package follow_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelodoor.example/pomelodoor/follow"
)

func (s *simFleet) version() follow.Version { return follow.Version{Era: s.era, Revision: s.revision} }

// returnFromCopy makes the store unavailable for a while and return from a copy of some time
// ago. Its pending calls are lost. What has been written since the copy is written again
// within rewriteWithin.
func (s *simFleet) returnFromCopy(ago, outage time.Duration) {
	copied := s.now.Add(-ago)
	s.storeDownUntil = s.now.Add(outage)
	waiting := s.watchers
	s.watchers = nil
	for _, w := range waiting {
		s.after(storeDelay, w.lose)
	}
	s.after(outage, func() {
		kept := slices.IndexFunc(s.log, func(item follow.Item) bool {
			return s.changedAt[follow.Version{Era: s.era, Revision: item.Revision}].After(copied)
		})
		if kept < 0 {
			kept = len(s.log)
		}
		lost := s.log[kept:]
		s.restore(s.log[:kept])
		for _, item := range lost {
			s.after(time.Duration(s.random.Int64N(int64(rewriteWithin))), func() { s.change(item.Key, item.Deleted) })
		}
		era, begun := s.era, s.now
		s.after(simContact, func() {
			for _, m := range s.members {
				if m.inTouch(begun.Add(-outage)) && m.held.Era < era {
					s.violations = append(s.violations, fmt.Sprintf("member %d holds %+v %s after era %d began", m.id, m.held, simContact, era))
				}
			}
		})
	})
}

// rewriteWithin is the time within which what was lost is written again.
const rewriteWithin = time.Second

// restore begins a new era with the changes of a copy.
func (s *simFleet) restore(log []follow.Item) {
	times := map[uint64]time.Time{}
	for _, item := range log {
		times[item.Revision] = s.changedAt[follow.Version{Era: s.era, Revision: item.Revision}]
	}
	s.era++
	s.log, s.items, s.revision = slices.Clone(log), map[string]follow.Item{}, 1
	for _, item := range log {
		s.revision = item.Revision
		s.changedAt[s.version()] = times[item.Revision]
		s.items[item.Key] = item
		if item.Deleted {
			delete(s.items, item.Key)
		}
	}
}

// checkCopies checks that the members that are in touch hold what the store holds.
func (s *simFleet) checkCopies() {
	for _, m := range s.members {
		if !m.inTouch(s.now) {
			continue
		}
		m.f.Expire(s.now)
		if held := m.f.Version(); held != s.version() {
			s.violations = append(s.violations, fmt.Sprintf("member %d holds %+v at the end, not %+v", m.id, held, s.version()))
		}
		for key, item := range s.items {
			if held := m.f.Items()[key]; held.Revision != item.Revision {
				s.violations = append(s.violations, fmt.Sprintf("member %d holds %s of revision %d at the end, not %d", m.id, key, held.Revision, item.Revision))
			}
		}
		if len(m.f.Items()) != len(s.items) {
			s.violations = append(s.violations, fmt.Sprintf("member %d holds %d keys at the end, not %d", m.id, len(m.f.Items()), len(s.items)))
		}
	}
}

// TestFleetFollowsEras lets the store return from an older copy, up to three times, while
// members are disturbed. No copy goes back, each member that is in touch learns of the new
// era and then of each change in time, and holds in the end what the store holds.
func TestFleetFollowsEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimFleet(24, 12, rapid.Uint64().Draw(t, "seed"))
		s.changeOften(26*time.Second, rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second}).Draw(t, "interval"))
		for range rapid.IntRange(0, 5).Draw(t, "faults") {
			m := s.members[rapid.IntRange(0, len(s.members)-1).Draw(t, "member")]
			if rapid.Bool().Draw(t, "reader") {
				m = s.members[m.id%3]
			}
			fault := rapid.SampledFrom([]simFault{frozen, storeCut, cutOff}).Draw(t, "fault")
			d := time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms")) * time.Millisecond
			s.after(time.Duration(rapid.IntRange(1000, 20000).Draw(t, "atMs"))*time.Millisecond, func() { m.disturb(fault, d) })
		}
		for i := range rapid.IntRange(1, 3).Draw(t, "returns") {
			ago := time.Duration(rapid.IntRange(0, 5000).Draw(t, "agoMs")) * time.Millisecond
			outage := time.Duration(rapid.IntRange(0, 2500).Draw(t, "outageMs")) * time.Millisecond
			at := time.Duration(7*i+rapid.IntRange(3, 6).Draw(t, "atSeconds")) * time.Second
			s.after(at, func() { s.returnFromCopy(ago, outage) })
		}
		s.play(40 * time.Second)
		s.checkCopies()
		if len(s.violations) > 0 {
			t.Fatalf("%d violations, the first: %s", len(s.violations), s.violations[0])
		}
	})
}
