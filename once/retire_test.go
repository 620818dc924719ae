package once

import (
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// TestRetire checks that a retiring home hands its records over to the others: a
// resend gets the status of the one run, at earlier and at new homes.
func TestRetire(t *testing.T) {
	s := newSimulation(1, 4)
	s.loss, s.randomFaults = 0, false
	s.runFor(90 * time.Second)
	key := "order-1"
	first := s.nodes[s.homeID(key)]
	s.history.recordSend("first", key)
	s.perform(first, first.coordinator.Begin(call.Request{ID: "first", Key: key, Fingerprint: 7}, first.clock(s.now)))
	s.runFor(time.Second)
	first.coordinator.Leave()
	s.retire(first)
	s.runFor(time.Second)
	s.addNodes(2)
	s.runFor(25 * time.Second)
	for _, id := range s.nodeIDs {
		if s.nodes[id] != nil {
			s.sendRequest(id, key)
			s.runFor(2 * time.Second)
		}
	}
	if err := s.history.check(testWindow); err != nil {
		t.Fatal(err)
	}
	runs := s.history.runsByKey[key]
	if len(runs) != 1 || len(s.history.answers) != 5 {
		t.Fatalf("got %d runs, want 1; got answers %+v, want 5", len(runs), s.history.answers)
	}
	for _, a := range s.history.answers {
		if a.reason != call.Replayed || a.status != runs[0].status {
			t.Errorf("resend got %s/%s with status %d, want the replayed status of the run", a.outcome, a.reason, a.status)
		}
	}
}

// TestReturnAfterIsolation guards against a second run of a key by a home that
// was isolated until the others treated it as stopped and one of them ran the
// key. That one is paused when the home returns.
func TestReturnAfterIsolation(t *testing.T) {
	s := newSimulation(1, 5)
	s.loss, s.randomFaults = 0, false
	s.runFor(60 * time.Second)
	home := s.nodes["orders-0"]
	home.partition = 1
	s.runFor(40 * time.Second)
	key := ""
	for nonce := uint64(0); key == "" || s.homeID(key) != "orders-0"; nonce++ {
		key = timedKey(s.now, nonce)
	}
	other := s.nodes["orders-1"]
	s.sendRequest("orders-1", key)
	s.runFor(time.Second)
	if len(s.history.runsByKey[key]) != 1 {
		t.Fatalf("key did not run while its home was isolated; answers: %+v", s.history.answers)
	}
	home.partition, other.paused = 0, true
	for range 10 {
		s.runFor(time.Second)
		s.sendRequest("orders-0", key)
	}
	s.runFor(time.Second)
	if !home.coordinator.holdsLease(home.clock(s.now)) {
		t.Error("the home holds no lease after its return")
	}
	if err := s.history.check(testWindow); err != nil {
		t.Error(err)
	}
}

// TestUnlistedWhilePaused guards against a home that acts as the whole group: two
// homes are isolated from each other and paused in turn, and the list drops the
// paused one.
func TestUnlistedWhilePaused(t *testing.T) {
	tests := map[string]struct {
		injected faults
		detected bool
	}{
		"vote revoked under the lease only": {faults{}, false},
		"vote revoked without the lease": {faults{tamper: func(c *Coordinator, now time.Time) {
			for inc, p := range c.peers.byIncarnation {
				p.voteRevoked = !c.peers.listed[inc.ID] && now.Sub(p.seenAt) > c.config.silenceLimit()
			}
			c.renewLease(now)
		}}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1, 2)
			s.loss, s.randomFaults, s.faults = 0, false, tt.injected
			s.runFor(60 * time.Second)
			s.nodes["orders-1"].partition = 1
			key := timedKey(s.now.Add(35*time.Second), 1)
			for _, id := range s.nodeIDs {
				for _, n := range s.nodes {
					n.paused = n.self.ID != id
					n.unlisted = n.paused
				}
				s.updateList()
				s.runFor(36 * time.Second)
				s.sendRequest(id, key)
				s.runFor(time.Second)
			}
			if err := s.history.check(testWindow); (err != nil) != tt.detected {
				t.Errorf("unexpected result of the check: %v", err)
			}
		})
	}
}

// TestLargeService checks that instances outside the group of their service send
// no heartbeats and have no vote, and that an instance that leaves the group
// eventually stops sending.
func TestLargeService(t *testing.T) {
	s := newSimulation(1, 16)
	s.loss, s.randomFaults = 0, false
	s.runFor(4 * time.Minute) // until then the instances that started first were in the group too
	voters, senders := 0, 0
	for _, n := range s.nodes {
		voters = max(voters, n.coordinator.voterCount())
		if len(n.coordinator.Recipients()) > 0 {
			senders++
		}
	}
	if voters > GroupSize+1 || senders != GroupSize {
		t.Fatalf("got %d voters and %d senders, want at most GroupSize+1 and exactly GroupSize", voters, senders)
	}
	s.addNodes(16) // new instances displace some of the group
	s.runFor(4 * time.Minute)
	senders = 0
	for _, n := range s.nodes {
		if n.coordinator.mayDecide(n.clock(s.now)) && n.coordinator.voterCount() != GroupSize {
			t.Errorf("%v counts %d voters, want GroupSize", n.self, n.coordinator.voterCount())
		}
		if len(n.coordinator.Recipients()) > 0 {
			senders++
		}
	}
	if senders != GroupSize {
		t.Errorf("got %d senders after the change, want GroupSize", senders)
	}
}
