package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/membership"
)

// node is a daemon with its view and its part in spreading.
type node struct {
	view  *membership.View
	state *State
	dead  bool
}

// company is a fleet of nodes beside a platform that holds a list.
type company struct {
	now     time.Time
	rand    *rand.Rand
	nodes   map[string]*node
	ids     []string
	entries []membership.ListEntry
	version uint64
	down    bool
	mail    []Action
}

func newCompany(t *testing.T, size int) *company {
	c := &company{now: epoch, rand: rand.New(rand.NewPCG(1, 2)), nodes: map[string]*node{}}
	for i := range size {
		c.entries = append(c.entries, membership.ListEntry{Instance: record(i).Instance, State: membership.Live})
		c.ids = append(c.ids, record(i).ID)
	}
	c.version = 1
	for i := range size {
		c.start(t, i, 1)
	}
	return c
}

func (c *company) start(t *testing.T, i int, incarnation uint64) {
	self := record(i).Instance
	view := membership.New(membership.Config{Self: self, Incarnation: incarnation, Started: c.now})
	n := &node{view: view}
	n.state = New(Config{
		Self: self.ID, Incarnation: incarnation, MaxFleet: 100,
		Neighbours: view.NeighbourIDs,
		Other: func() string {
			r, _ := view.Other(c.rand.Uint64())
			return r.ID
		},
		Peers:   view.PeerCount,
		Live:    view.LiveCount,
		Reader:  func() bool { return view.Reader(2) },
		Readers: func() int { return 2 * view.ZoneCount() },
		Rand:    c.rand.Uint64,
	}, c.now)
	c.nodes[self.ID] = n
	n.put(t, c.now, view.Self())
}

func (n *node) put(t *testing.T, now time.Time, records ...membership.Record) {
	for _, r := range records {
		item, err := RecordItem(r)
		if err == nil {
			err = n.state.Put(item, now)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

func (c *company) do(t *testing.T, n *node, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Send:
			c.mail = append(c.mail, a)
		case ReadPlatform:
			c.do(t, n, c.answer(t, n, a.Read))
		case Deliver:
			if !a.Item.IsRecord() {
				continue
			}
			r, err := a.Item.Record()
			if err != nil {
				t.Fatal(err)
			}
			before := n.view.Self()
			n.view.Merge(r, c.now)
			if self := n.view.Self(); self != before {
				n.put(t, c.now, self)
			}
		}
	}
}

func (c *company) answer(t *testing.T, n *node, read Read) []Action {
	switch {
	case c.down:
		return n.state.Failed(read, c.now)
	case read.Kind == ReadIndex:
		return n.state.Index(0, nil, c.now)
	}
	n.put(t, c.now, n.view.MergeList(c.entries, c.version, c.now)...)
	return n.state.Instances(c.version, c.now)
}

func (c *company) run(t *testing.T, d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(20 * time.Millisecond)
		for _, id := range c.ids {
			if n := c.nodes[id]; !n.dead {
				n.view.Tick(c.now)
				c.do(t, n, n.state.Tick(c.now))
			}
		}
		mail := c.mail
		c.mail = nil
		for _, a := range mail {
			if n := c.nodes[a.To]; n != nil && !n.dead {
				n.view.Heard(a.Message.From, a.Message.Incarnation, c.now)
				c.do(t, n, n.state.Receive(a.Message, c.now))
			}
		}
	}
}

// list publishes a list with an instance's entry changed or, if gone, left out.
func (c *company) list(i int, state membership.State) {
	entries := append([]membership.ListEntry{}, c.entries[:i]...)
	if state != membership.Gone {
		entries = append(entries, membership.ListEntry{Instance: record(i).Instance, State: state})
	}
	c.entries = append(entries, c.entries[i+1:]...)
	c.version++
}

// known returns how many nodes that run have an instance in a state.
func (c *company) known(id string, state membership.State, incarnation uint64) (count, running int) {
	for _, n := range c.nodes {
		if n.dead {
			continue
		}
		running++
		if r, ok := n.view.Lookup(id); ok && r.State == state && r.Incarnation == incarnation {
			count++
		}
	}
	return count, running
}

// TestNewsOfAnInstanceReachesAll joins membership and spread. From whichever
// source the first sign comes, no daemon counts a leaving instance as live 3 s
// later; a crash is known by the list's lag; a wrong word is refuted.
func TestNewsOfAnInstanceReachesAll(t *testing.T) {
	const subject = 7
	lag := membership.DefaultListLag
	own := func(c *company) *node { return c.nodes[fmt.Sprint(subject)] }
	tests := map[string]struct {
		sign        func(t *testing.T, c *company)
		within      time.Duration
		want        membership.State
		incarnation uint64
		// missed is true of a planted fault that the check must see.
		missed bool
	}{
		"planted: it tells nobody": {func(_ *testing.T, c *company) {
			own(c).view.UpstreamLeaving(c.now)
		}, 3 * time.Second, membership.Leaving, 1, true},
		"its upstream drains": {func(t *testing.T, c *company) {
			own(c).view.UpstreamLeaving(c.now)
			own(c).put(t, c.now, own(c).view.Self())
		}, 3 * time.Second, membership.Leaving, 1, false},
		"its upstream drains, platform down": {func(t *testing.T, c *company) {
			c.down = true
			own(c).view.UpstreamLeaving(c.now)
			own(c).put(t, c.now, own(c).view.Self())
		}, 3 * time.Second, membership.Leaving, 1, false},
		"the list says leaving": {func(_ *testing.T, c *company) {
			c.list(subject, membership.Leaving)
		}, 3 * time.Second, membership.Leaving, 1, false},
		"it finishes": {func(t *testing.T, c *company) {
			own(c).view.Finish(c.now)
			own(c).put(t, c.now, own(c).view.Self())
			c.run(t, 100*time.Millisecond)
			own(c).dead = true
		}, 3 * time.Second, membership.Gone, 1, false},
		"it crashes and leaves the list": {func(_ *testing.T, c *company) {
			own(c).dead = true
			c.list(subject, membership.Gone)
		}, lag + 15*time.Second, membership.Gone, 1, false},
		"the list loses it while it runs": {func(t *testing.T, c *company) {
			c.list(subject, membership.Gone)
			c.run(t, 2*lag)
			if own(c).view.Self().Sequence == 0 {
				t.Error("it was not called gone")
			}
		}, 3 * time.Second, membership.Live, 1, false},
		"it is replaced under its ID": {func(t *testing.T, c *company) {
			c.start(t, subject, 2)
		}, 3 * time.Second, membership.Live, 2, false},
		"it is replaced, platform down": {func(t *testing.T, c *company) {
			c.down = true
			c.start(t, subject, 2)
		}, 15 * time.Second, membership.Live, 2, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCompany(t, 40)
			c.run(t, time.Minute)
			if count, running := c.known(fmt.Sprint(subject), membership.Live, 1); count != running {
				t.Fatalf("only %d of %d know the instance", count, running)
			}
			test.sign(t, c)
			signed := c.now
			c.run(t, 40*time.Millisecond)
			count, running := c.known(fmt.Sprint(subject), test.want, test.incarnation)
			for count < running && c.now.Sub(signed) < test.within {
				c.run(t, 20*time.Millisecond)
				count, running = c.known(fmt.Sprint(subject), test.want, test.incarnation)
			}
			t.Logf("%d of %d have it as %s after %v", count, running, test.want, c.now.Sub(signed))
			if (count < running) != test.missed {
				t.Errorf("%d of %d have it as %s after %v", count, running, test.want, test.within)
			}
			c.run(t, 2*lag)
			for id, n := range c.nodes {
				if !n.dead && (n.state.Root() != c.nodes["0"].state.Root() || !n.state.Confirmed(c.now)) {
					t.Errorf("%s does not hold the same as the others, or is not confirmed", id)
				}
			}
		})
	}
}

// Hard case 5: all old daemons are leaving when the fresh ones start beside a
// platform that is stuck at an older revision.
func TestCase05FreshDaemonsHearLeavingOnes(t *testing.T) {
	const old, fresh = 5, 5
	switches := func(revision uint64) Item { return Item{Key: "switches", Version: Version{Major: revision}} }
	c := newCompany(t, old)
	if err := c.nodes["0"].state.Put(switches(9), c.now); err != nil {
		t.Fatal(err)
	}
	c.run(t, time.Minute)
	for i := range old {
		c.list(i, membership.Leaving)
	}
	c.run(t, time.Second)
	for i := old; i < old+fresh; i++ {
		c.entries = append(c.entries, membership.ListEntry{Instance: record(i).Instance, State: membership.Live})
		c.version++
		c.ids = append(c.ids, record(i).ID)
		c.start(t, i, 1)
		if err := c.nodes[record(i).ID].state.Put(switches(3), c.now); err != nil {
			t.Fatal(err)
		}
	}
	for range 1500 {
		c.run(t, 20*time.Millisecond)
		for id, n := range c.nodes {
			item, _ := n.state.Get("switches")
			if n.state.Confirmed(c.now) && item.Version.Major != 9 {
				t.Fatalf("%s trusts revision %d after %v", id, item.Version.Major, c.now.Sub(epoch))
			}
		}
	}
	for id, n := range c.nodes {
		if !n.state.Confirmed(c.now) {
			t.Errorf("%s is not confirmed", id)
		}
	}
}
