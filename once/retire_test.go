package once

import (
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// TestRetire hands the memory of a leaving home to the others: a resend gets
// the status of the one run, at homes old and new.
func TestRetire(t *testing.T) {
	w := newWorld(1, 4)
	w.loss, w.hostile = 0, false
	w.steps(90 * time.Second)
	key := "order-1"
	first := w.nodes[w.home(key)]
	w.history.begin("first", key)
	w.act(first, first.book.Begin(call.Request{ID: "first", Key: key, Fingerprint: 7}, first.clock(w.now)))
	w.steps(time.Second)
	first.book.Leave()
	w.retire(first)
	w.steps(time.Second)
	w.grow(2)
	w.steps(25 * time.Second)
	for _, id := range w.order {
		if w.nodes[id] != nil {
			w.request(id, key)
			w.steps(2 * time.Second)
		}
	}
	if err := w.history.check(testWindow); err != nil {
		t.Fatal(err)
	}
	run := w.history.executions[key]
	if len(run) != 1 || len(w.history.answers) != 5 {
		t.Fatalf("%d runs, answers %+v", len(run), w.history.answers)
	}
	for _, a := range w.history.answers {
		if a.reason != call.Replayed || a.status != run[0].status {
			t.Errorf("resend got %s/%s %d", a.outcome, a.reason, a.status)
		}
	}
}

// TestReturn cuts a home off until the others take it for stopped and one of
// them runs its key; that one is frozen when the home comes back.
func TestReturn(t *testing.T) {
	w := newWorld(1, 5)
	w.loss, w.hostile = 0, false
	w.steps(60 * time.Second)
	home := w.nodes["orders-0"]
	home.side = 1
	w.steps(40 * time.Second)
	key := ""
	for nonce := uint64(0); key == "" || w.home(key) != "orders-0"; nonce++ {
		key = timedKey(w.now, nonce)
	}
	other := w.nodes["orders-1"]
	w.request("orders-1", key)
	w.steps(time.Second)
	if len(w.history.executions[key]) != 1 {
		t.Fatalf("not run while the home is cut off: %+v", w.history.answers)
	}
	home.side, other.frozen = 0, true
	for range 10 {
		w.steps(time.Second)
		w.request("orders-0", key)
	}
	w.steps(time.Second)
	if !home.book.holdsLease(home.clock(w.now)) {
		t.Error("the home has no lease after its return")
	}
	if err := w.history.check(testWindow); err != nil {
		t.Error(err)
	}
}

// TestDropped cuts two homes off from each other and freezes one after the other,
// whereupon the list drops it. Neither may then act as the whole group.
func TestDropped(t *testing.T) {
	tests := map[string]struct {
		planted faults
		caught  bool
	}{
		"removal needs a majority": {faults{}, false},
		"removal needs none": {faults{tamper: func(b *Book, now time.Time) {
			for inc, p := range b.peers.byIncarnation {
				p.removed = !b.peers.listed[inc.ID] && now.Sub(p.seen) > b.config.silence()
			}
			b.renewLease(now)
		}}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 2)
			w.loss, w.hostile, w.faults = 0, false, tt.planted
			w.steps(60 * time.Second)
			w.nodes["orders-1"].side = 1
			key := timedKey(w.now.Add(35*time.Second), 1)
			for _, id := range w.order {
				for _, n := range w.nodes {
					n.frozen = n.self.ID != id
					n.dropped = n.frozen
				}
				w.relist()
				w.steps(36 * time.Second)
				w.request(id, key)
				w.steps(time.Second)
			}
			if err := w.history.check(testWindow); (err != nil) != tt.caught {
				t.Errorf("check: %v", err)
			}
		})
	}
}

// TestLargeService checks that the instances of a service beyond its group send
// no heartbeats and have no vote, and that one that falls out of the group
// stops in the end.
func TestLargeService(t *testing.T) {
	w := newWorld(1, 16)
	w.loss, w.hostile = 0, false
	w.steps(4 * time.Minute) // the first to start were the group at first
	voters, senders := 0, 0
	for _, n := range w.nodes {
		voters = max(voters, n.book.electorate())
		if len(n.book.Audience()) > 0 {
			senders++
		}
	}
	if voters > GroupSize+1 || senders != GroupSize {
		t.Fatalf("%d voters, %d senders", voters, senders)
	}
	w.grow(16) // newcomers displace some of the group
	w.steps(4 * time.Minute)
	senders = 0
	for _, n := range w.nodes {
		if n.book.mayDecide(n.clock(w.now)) && n.book.electorate() != GroupSize {
			t.Errorf("%v counts %d voters", n.self, n.book.electorate())
		}
		if len(n.book.Audience()) > 0 {
			senders++
		}
	}
	if senders != GroupSize {
		t.Errorf("%d senders after the change", senders)
	}
}
