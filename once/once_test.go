package once

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

var (
	schedules = flag.Int("schedules", 1000, "number of fault schedules")
	firstSeed = flag.Int("first-seed", 0, "seed of the first fault schedule")
)

// runSchedule runs one random schedule of faults and requests.
func runSchedule(seed uint64, injected faults) *simulation {
	s := newSimulation(seed, 2+int(seed%5))
	s.faults = injected
	s.runFor(time.Duration(13+s.rng.IntN(20)+int(seed%3)*35) * time.Second)
	for range 20 + seed%100 {
		s.applyRandomEvent()
		for range 1 + s.rng.IntN(12) {
			s.step()
		}
		if s.rng.IntN(25) == 0 { // a long time without events
			for range s.rng.IntN(700) {
				s.step()
			}
		}
	}
	return s
}

// applyRandomEvent sends a request, in most cases, or changes the faults.
func (s *simulation) applyRandomEvent() {
	n := s.randomNode()
	op := s.rng.IntN(40)
	switch {
	case op < 12 || n == nil:
		key := s.newKey([]KeyKind{Issued, Timed, Opaque}[s.rng.IntN(3)])
		s.keys = append(s.keys, key)
		s.sendKey(key)
	case op < 27 && len(s.keys) > 0:
		s.sendKey(s.keys[len(s.keys)-1-s.rng.IntN(min(len(s.keys), 5))])
	case op < 29:
		n.paused = !n.paused
		n.unlisted = n.paused && s.rng.IntN(2) == 0
		s.updateList()
	case op == 29:
		n.partition = 1 - n.partition
	case op < 36: // end the faults of all nodes
		for _, id := range s.nodeIDs {
			if m, ok := s.nodes[id]; ok {
				m.paused, m.unlisted, m.partition = false, false, 0
			}
		}
		s.updateList()
	case op == 36: // crash and restart of an instance
		s.stop(n.self.ID)
		s.start(n.self.ID)
	case op == 37: // crash of an instance and start of a new one
		s.stop(n.self.ID)
		s.start(fmt.Sprintf("orders-%d", len(s.nodeIDs)))
	case op == 38:
		s.retire(n)
		s.start(fmt.Sprintf("orders-%d", len(s.nodeIDs)))
	case s.rng.IntN(2) == 0:
		s.listOutage = !s.listOutage
	case s.rng.IntN(4) == 0: // crash of all instances and start of new ones
		size := len(s.nodes)
		clear(s.nodes)
		s.addNodes(size)
	}
}

func (s *simulation) retire(n *node) {
	if n.paused {
		return
	}
	for _, a := range n.pendingRuns {
		outcome := n.coordinator.Finish(a.Key, call.NotRun, StoredAnswer{}, n.clock(s.now))
		s.history.recordAnswer(a.CallID, a.Key, outcome, call.Leaving, 0, s.now)
	}
	s.sendHeartbeat(n, n.coordinator.FinalHeartbeat(n.clock(s.now)))
	s.stop(n.self.ID)
}

func TestSchedules(t *testing.T) {
	began := time.Now()
	sent, executed := 0, 0
	answerCounts := map[string]int{}
	if testing.Short() {
		*schedules = min(*schedules, 100)
	}
	for seed := *firstSeed; seed < *firstSeed+*schedules; seed++ {
		s := runSchedule(uint64(seed), faults{})
		if err := s.history.check(testWindow); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		sent += len(s.history.keyByCall)
		executed += len(s.history.ranCalls)
		for _, a := range s.history.answers {
			answerCounts[fmt.Sprintf("%s/%s", a.outcome, a.reason)]++
		}
	}
	t.Logf("%d schedules in %v: %d sends, %d runs, answers %v", *schedules, time.Since(began).Round(time.Millisecond), sent, executed, answerCounts)
}

// injectedFaults break the protocol in one way each.
var injectedFaults = map[string]faults{
	"grants are not recorded": {message: func(s *simulation, n *node, m message) bool {
		if claim, ok := m.body.(Claim); ok {
			s.send(n.self.ID, claim.From.ID, n.coordinator.HandleClaim(claim, n.clock(s.now)))
			if r := n.coordinator.records.byKey[claim.Key]; r != nil && r.state == idle {
				delete(n.coordinator.records.byKey, claim.Key)
			}
			return true
		}
		return false
	}},
	"every claim is granted": {message: func(s *simulation, n *node, m message) bool {
		claim, ok := m.body.(Claim)
		if ok {
			s.send(n.self.ID, claim.From.ID, Reply{From: n.self, To: claim.From, Key: claim.Key, Attempt: claim.Attempt, Verdict: Granted})
		}
		return ok
	}},
	"lease is always held": {tamper: func(c *Coordinator, now time.Time) {
		c.peers.leaseEnd = now.Add(time.Hour)
	}},
	"horizon is set without evidence": {fromSeed: 175, tamper: func(c *Coordinator, now time.Time) {
		c.peers.hasHorizon, c.peers.horizon = true, now.Add(-time.Hour)
	}},
	"lower-ranked homes are not queried": {tamper: func(c *Coordinator, now time.Time) {
		for _, p := range c.peers.byIncarnation {
			p.echoSentAt, p.ignoredSelfAt = now, time.Time{}
		}
	}},
	"stopped homes are removed": {fromSeed: 40, tamper: func(c *Coordinator, now time.Time) {
		for inc, p := range c.peers.byIncarnation {
			if p.retired && !p.handedOver {
				delete(c.peers.byIncarnation, inc)
			}
		}
	}},
	"every peer is attested": {fromSeed: 270, message: func(s *simulation, n *node, m message) bool {
		claim, ok := m.body.(Claim)
		if ok {
			reply := n.coordinator.HandleClaim(claim, n.clock(s.now))
			for inc := range n.coordinator.peers.byIncarnation {
				reply.Attested = append(reply.Attested, inc)
			}
			s.send(n.self.ID, claim.From.ID, reply)
		}
		return ok
	}},
	"records are not handed over": {fromSeed: 140, message: func(s *simulation, n *node, m message) bool {
		if heartbeat, ok := m.body.(Heartbeat); ok && heartbeat.Retired {
			heartbeat.Records = nil
			n.coordinator.HandleHeartbeat(heartbeat, n.clock(s.now))
			return true
		}
		return false
	}},
	"notRun is reported for unknown": {action: func(a *Action) {
		if a.Kind == Refuse && a.Reason == call.KeyHomeGone {
			a.Outcome = call.NotRun
		}
	}},
}

// TestInjectedFaults proves that the checker detects each injected fault.
func TestInjectedFaults(t *testing.T) {
	for name, injected := range injectedFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := injected.fromSeed; seed < injected.fromSeed+3000; seed++ {
				if err := runSchedule(uint64(seed), injected).history.check(testWindow); err != nil {
					t.Logf("detected with seed %d: %v", seed, err)
					return
				}
			}
			t.Error("injected fault not detected")
		})
	}
}

// TestPausedRun guards against a second run of a key whose home is paused between
// its decision and the upstream until the other homes treat it as stopped.
func TestPausedRun(t *testing.T) {
	tests := map[string]struct {
		injected faults
		detected bool
	}{
		"Until respected": {faults{}, false},
		"Until ignored":   {faults{action: func(a *Action) { a.Until = a.Until.Add(time.Hour) }}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1, 5)
			s.faults, s.loss, s.randomFaults = tt.injected, 0, false
			s.runFor(90 * time.Second)
			n := s.nodes[s.homeID("order-1")]
			s.history.recordSend("first", "order-1")
			s.perform(n, n.coordinator.Begin(call.Request{ID: "first", Key: "order-1", Fingerprint: 7}, n.clock(s.now)))
			if len(n.pendingRuns) != 1 {
				t.Fatal("the home queried other homes first, want an immediate run")
			}
			n.paused = true
			s.runFor(100 * time.Second)
			for _, other := range s.nodeIDs {
				s.sendRequest(other, "order-1")
			}
			s.runFor(2 * time.Second)
			if len(s.history.ranCalls) != 1 {
				t.Fatalf("got %d runs while the first home is paused, want 1", len(s.history.ranCalls))
			}
			n.paused = false
			s.runFor(2 * time.Second)
			if err := s.history.check(testWindow); (err != nil) != tt.detected {
				t.Errorf("unexpected result of the check: %v", err)
			}
		})
	}
}

func (s *simulation) runFor(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// homeID returns the home of a key by the instances that are running.
func (s *simulation) homeID(key string) string {
	var members []Member
	for id := range s.nodes {
		members = append(members, Member{Incarnation: Incarnation{ID: id}, Live: true})
	}
	home, _, _ := Route(key, members)
	return home.ID
}
