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

// runSchedule plays one random schedule of faults and orders.
func runSchedule(seed uint64, planted faults) *world {
	w := newWorld(seed, 2+int(seed%5))
	w.faults = planted
	w.steps(time.Duration(13+w.rng.IntN(20)+int(seed%3)*35) * time.Second)
	for range 20 + seed%100 {
		w.apply()
		for range 1 + w.rng.IntN(12) {
			w.step()
		}
		if w.rng.IntN(25) == 0 { // a long quiet time
			for range w.rng.IntN(700) {
				w.step()
			}
		}
	}
	return w
}

// apply does one thing to the world: mostly an order, else a fault.
func (w *world) apply() {
	n := w.any()
	op := w.rng.IntN(40)
	switch {
	case op < 12 || n == nil:
		key := w.newKey([]KeyKind{Issued, Timed, Opaque}[w.rng.IntN(3)])
		w.keys = append(w.keys, key)
		w.sendKey(key)
	case op < 27 && len(w.keys) > 0:
		w.sendKey(w.keys[len(w.keys)-1-w.rng.IntN(min(len(w.keys), 5))])
	case op < 29:
		n.frozen = !n.frozen
		n.dropped = n.frozen && w.rng.IntN(2) == 0
		w.relist()
	case op == 29:
		n.side = 1 - n.side
	case op < 36: // all is mended
		for _, id := range w.order {
			if m, ok := w.nodes[id]; ok {
				m.frozen, m.dropped, m.side = false, false, 0
			}
		}
		w.relist()
	case op == 36: // crash, and the same instance starts again
		w.stop(n.self.ID)
		w.start(n.self.ID)
	case op == 37: // crash, and another takes its place
		w.stop(n.self.ID)
		w.start(fmt.Sprintf("orders-%d", len(w.order)))
	case op == 38:
		w.retire(n)
		w.start(fmt.Sprintf("orders-%d", len(w.order)))
	case w.rng.IntN(2) == 0:
		w.outage = !w.outage
	case w.rng.IntN(4) == 0: // all at once
		size := len(w.nodes)
		clear(w.nodes)
		w.grow(size)
	}
}

func (w *world) retire(n *node) {
	if n.frozen {
		return
	}
	for _, a := range n.handoff {
		outcome := n.book.Finish(a.Key, call.NotRun, Answer{}, n.clock(w.now))
		w.history.answer(a.CallID, a.Key, outcome, call.Leaving, 0, w.now)
	}
	w.beat(n, n.book.Retire(n.clock(w.now)))
	w.stop(n.self.ID)
}

func TestSchedules(t *testing.T) {
	began := time.Now()
	sent, executed := 0, 0
	ends := map[string]int{}
	if testing.Short() {
		*schedules = min(*schedules, 100)
	}
	for seed := *firstSeed; seed < *firstSeed+*schedules; seed++ {
		w := runSchedule(uint64(seed), faults{})
		if err := w.history.check(testWindow); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		sent += len(w.history.sent)
		executed += len(w.history.executed)
		for _, a := range w.history.answers {
			ends[fmt.Sprintf("%s/%s", a.outcome, a.reason)]++
		}
	}
	t.Logf("%d schedules in %v: %d sends, %d runs, answers %v", *schedules, time.Since(began).Round(time.Millisecond), sent, executed, ends)
}

// plantedFaults break the Books in one way each.
var plantedFaults = map[string]faults{
	"forgets what it granted": {message: func(w *world, n *node, m message) bool {
		if claim, ok := m.body.(Claim); ok {
			w.send(n.self.ID, claim.From.ID, n.book.Claim(claim, n.clock(w.now)))
			if r := n.book.records.byKey[claim.Key]; r != nil && r.state == idle {
				delete(n.book.records.byKey, claim.Key)
			}
			return true
		}
		return false
	}},
	"asks no old home": {message: func(w *world, n *node, m message) bool {
		claim, ok := m.body.(Claim)
		if ok {
			w.send(n.self.ID, claim.From.ID, Reply{From: n.self, To: claim.From, Key: claim.Key, Attempt: claim.Attempt, Verdict: Granted})
		}
		return ok
	}},
	"needs no lease": {tamper: func(b *Book, now time.Time) {
		b.peers.leaseEnd = now.Add(time.Hour)
	}},
	"believes itself informed": {from: 175, tamper: func(b *Book, now time.Time) {
		b.peers.informed, b.peers.horizon = true, now.Add(-time.Hour)
	}},
	"minds no lower home": {tamper: func(b *Book, now time.Time) {
		for _, p := range b.peers.byIncarnation {
			p.echo, p.minded = now, time.Time{}
		}
	}},
	"forgets homes that stopped": {from: 40, tamper: func(b *Book, now time.Time) {
		for inc, p := range b.peers.byIncarnation {
			if p.retired && !p.handedOver {
				delete(b.peers.byIncarnation, inc)
			}
		}
	}},
	"vouches for anyone": {from: 270, message: func(w *world, n *node, m message) bool {
		claim, ok := m.body.(Claim)
		if ok {
			reply := n.book.Claim(claim, n.clock(w.now))
			for inc := range n.book.peers.byIncarnation {
				reply.Vouched = append(reply.Vouched, inc)
			}
			w.send(n.self.ID, claim.From.ID, reply)
		}
		return ok
	}},
	"hands over no memory": {from: 140, message: func(w *world, n *node, m message) bool {
		if beat, ok := m.body.(Heartbeat); ok && beat.Retired {
			beat.Records = nil
			n.book.Hear(beat, n.clock(w.now))
			return true
		}
		return false
	}},
	"says notRun when it was not told": {action: func(a *Action) {
		if a.Kind == Refuse && a.Reason == call.KeyHomeGone {
			a.Outcome = call.NotRun
		}
	}},
}

// TestPlantedFaults proves that the checker sees each planted fault.
func TestPlantedFaults(t *testing.T) {
	for name, planted := range plantedFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := planted.from; seed < planted.from+3000; seed++ {
				if err := runSchedule(uint64(seed), planted).history.check(testWindow); err != nil {
					t.Logf("caught by seed %d: %v", seed, err)
					return
				}
			}
			t.Error("not caught")
		})
	}
}

// TestFrozenRun freezes a home between its decision and the upstream until the
// others have stopped to mind it.
func TestFrozenRun(t *testing.T) {
	tests := map[string]struct {
		planted faults
		caught  bool
	}{
		"until is kept": {faults{}, false},
		"until is not":  {faults{action: func(a *Action) { a.Until = a.Until.Add(time.Hour) }}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 5)
			w.faults, w.loss, w.hostile = tt.planted, 0, false
			w.steps(90 * time.Second)
			n := w.nodes[w.home("order-1")]
			w.history.begin("first", "order-1")
			w.act(n, n.book.Begin(call.Request{ID: "first", Key: "order-1", Fingerprint: 7}, n.clock(w.now)))
			if len(n.handoff) != 1 {
				t.Fatal("the home asks others first")
			}
			n.frozen = true
			w.steps(100 * time.Second)
			for _, other := range w.order {
				w.request(other, "order-1")
			}
			w.steps(2 * time.Second)
			if len(w.history.executed) != 1 {
				t.Fatalf("%d runs while the first home is frozen", len(w.history.executed))
			}
			n.frozen = false
			w.steps(2 * time.Second)
			if err := w.history.check(testWindow); (err != nil) != tt.caught {
				t.Errorf("check: %v", err)
			}
		})
	}
}

func (w *world) steps(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

// home returns the home of a key by the true list.
func (w *world) home(key string) string {
	var members []Member
	for id := range w.nodes {
		members = append(members, Member{Incarnation: Incarnation{ID: id}, Live: true})
	}
	home, _, _ := Route(key, members)
	return home.ID
}
