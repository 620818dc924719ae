package once

import (
	"fmt"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// stats counts orders and refusals by kind of key.
type stats struct {
	sent, refused, queried map[KeyKind]int
	lastRefusal            map[KeyKind]time.Duration
	kindByCall             map[string]KeyKind
}

// runLoad sends ten new orders per second of each kind for a duration. The
// daemon that routes them removes an instance from its view five seconds after a
// crash.
func (s *simulation) runLoad(st *stats, d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.step() {
		for _, kind := range []KeyKind{Issued, Timed, Opaque} {
			s.sendOrder(st, kind)
		}
	}
}

func (s *simulation) sendOrder(st *stats, kind KeyKind) {
	router := s.randomNode()
	for kind == Issued && router.paused {
		router = s.randomNode() // gives no answer; the caller asks another daemon for a key
	}
	key := fmt.Sprint("order-", s.rng.Uint64())
	switch kind {
	case Issued:
		issued, ok := router.coordinator.IssueKey(router.clock(s.now))
		if !ok {
			return
		}
		key = issued
	case Timed:
		key = timedKey(s.now.Add(500*time.Millisecond), s.rng.Uint64())
	}
	home, ok, _ := Route(key, s.routableMembers())
	if kind != Issued && s.leavingIDs[router.self.ID] {
		return
	}
	s.lastID++
	id := fmt.Sprint("call-", s.lastID)
	st.kindByCall[id] = kind
	st.sent[kind]++
	n := s.nodes[home.ID]
	s.history.recordSend(id, key)
	if !ok || n == nil || n.paused || n.partition != router.partition {
		s.history.recordAnswer(id, key, call.Unknown, call.ConnectFailed, 0, s.now)
		return
	}
	s.messages = append(s.messages, message{s.now, "caller", home.ID, call.Request{ID: id, Key: key, Method: "POST", Fingerprint: 7}})
}

// routableMembers returns the instances that the routing daemons consider live.
func (s *simulation) routableMembers() []Member {
	var members []Member
	for _, id := range s.nodeIDs {
		_, runs := s.nodes[id]
		if runs && !s.leavingIDs[id] || s.crashedAt[id].Add(5*time.Second).After(s.now) {
			members = append(members, Member{Incarnation: Incarnation{ID: id}, Live: true})
		}
	}
	return members
}

func (s *simulation) crash(id string) {
	s.crashedAt[id] = s.now
	s.stop(id)
}

// replaceNode starts a new instance and lets an old one leave.
func (s *simulation) replaceNode(st *stats, id string) {
	s.addNodes(1)
	s.runLoad(st, 10*time.Second)
	s.leavingIDs[id] = true
	s.nodes[id].coordinator.Leave()
	s.runLoad(st, 3*time.Second)
	s.retire(s.nodes[id])
}

func TestRefusalRates(t *testing.T) {
	if testing.Short() {
		t.Skip("reports refusal rates; skipped in short mode")
	}
	tests := map[string]struct {
		size   int
		warmUp time.Duration
		event  func(s *simulation, st *stats)
	}{
		"steady":                                {5, 15 * time.Minute, func(*simulation, *stats) {}},
		"crash of 1 of 5, a new one after 30 s": {5, 15 * time.Minute, func(s *simulation, st *stats) { s.crash("orders-0"); s.runLoad(st, 30*time.Second); s.addNodes(1) }},
		"crash of 1 of 5, restart after 5 s":    {5, 15 * time.Minute, func(s *simulation, st *stats) { s.crash("orders-0"); s.runLoad(st, 5*time.Second); s.start("orders-0") }},
		"crash of 1 of 2, a new one after 30 s": {2, 15 * time.Minute, func(s *simulation, st *stats) { s.crash("orders-0"); s.runLoad(st, 30*time.Second); s.addNodes(1) }},
		"rolling replacement of 5, graceful, one a minute": {5, 15 * time.Minute, func(s *simulation, st *stats) {
			for i := range 5 {
				s.replaceNode(st, fmt.Sprint("orders-", i))
				s.runLoad(st, 47*time.Second)
			}
		}},
		"rolling replacement of 5, killed, one a minute": {5, 15 * time.Minute, func(s *simulation, st *stats) {
			for i := range 5 {
				s.addNodes(1)
				s.runLoad(st, 10*time.Second)
				s.crash(fmt.Sprint("orders-", i))
				s.runLoad(st, 50*time.Second)
			}
		}},
		"partition 2 of 5 for 30 s": {5, 15 * time.Minute, func(s *simulation, st *stats) {
			s.nodes["orders-0"].partition, s.nodes["orders-1"].partition = 1, 1
			s.runLoad(st, 30*time.Second)
			s.nodes["orders-0"].partition, s.nodes["orders-1"].partition = 0, 0
		}},
		"1 of 5 paused for 30 s": {5, 15 * time.Minute, func(s *simulation, st *stats) {
			s.nodes["orders-0"].paused = true
			s.runLoad(st, 30*time.Second)
			s.nodes["orders-0"].paused = false
		}},
		"fresh fleet of 5": {5, 0, func(*simulation, *stats) {}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1, 0)
			s.loss, s.randomFaults = 0, false
			s.crashedAt, s.leavingIDs = map[string]time.Time{}, map[string]bool{}
			s.config = Config{MaxRecords: 1 << 20, Rand: s.rng.Uint64}
			s.addNodes(tt.size)
			s.runFor(tt.warmUp)
			st := &stats{map[KeyKind]int{}, map[KeyKind]int{}, map[KeyKind]int{}, map[KeyKind]time.Duration{}, map[string]KeyKind{}}
			began := s.now
			tt.event(s, st)
			s.runLoad(st, began.Add(12*time.Minute).Sub(s.now))
			s.runFor(3 * time.Second)
			reasons := map[string]int{}
			for _, a := range s.history.answers {
				kind := st.kindByCall[a.callID]
				st.refused[kind]++
				if kind == Opaque {
					reasons[fmt.Sprint(a.reason)]++
				}
				st.lastRefusal[kind] = a.at.Sub(began)
			}
			for id := range s.queriedCalls {
				st.queried[st.kindByCall[id]]++
			}
			for _, kind := range []KeyKind{Issued, Timed, Opaque} {
				t.Logf("%-7s refused %5.2f %%, last refusal after %v; queried other homes %5.2f %%", kind,
					100*float64(st.refused[kind])/float64(st.sent[kind]), st.lastRefusal[kind].Round(time.Second), 100*float64(st.queried[kind])/float64(st.sent[kind]))
			}
			t.Log(reasons)
			if err := s.history.check(DefaultWindow); err != nil {
				t.Error(err)
			}
		})
	}
}

func BenchmarkBegin(b *testing.B) {
	s := newSimulation(1, 0)
	s.loss, s.randomFaults = 0, false
	s.config = Config{MaxRecords: 1 << 20, Rand: s.rng.Uint64}
	s.addNodes(6)
	s.runFor(15 * time.Minute)
	n := s.randomNode()
	now := n.clock(s.now)
	runs, sends := 0, 0
	for b.Loop() {
		sends++
		key := timedKey(now, uint64(sends))
		if n.coordinator.Begin(call.Request{ID: "c", Key: key}, now)[0].Kind == Run {
			runs++
			n.coordinator.Finish(key, call.NotRun, StoredAnswer{}, now)
		}
		if n.coordinator.Len() > 10000 {
			clear(n.coordinator.records.byKey)
		}
	}
	b.ReportMetric(float64(runs)/float64(sends), "runs/op")
}
