package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/membership"
)

// node is a simulated daemon with its membership view and its spread state.
type node struct {
	view  *membership.View
	state *State
	dead  bool
}

// cluster simulates nodes and a platform that publishes a list.
type cluster struct {
	now     time.Time
	rand    *rand.Rand
	nodes   map[string]*node
	ids     []string
	entries []membership.ListEntry
	version uint64
	down    bool
	queue   []Action
}

func newCluster(t *testing.T, size int) *cluster {
	c := &cluster{now: epoch, rand: rand.New(rand.NewPCG(1, 2)), nodes: map[string]*node{}}
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

func (c *cluster) start(t *testing.T, i int, incarnation uint64) {
	self := record(i).Instance
	view := membership.New(membership.Config{Self: self, Incarnation: incarnation, Started: c.now})
	n := &node{view: view}
	n.state = New(Config{
		Self: self.ID, Incarnation: incarnation, MaxFleet: 100,
		Neighbours: view.NeighbourIDs,
		RandomPeer: func() string {
			r, _ := view.RandomPeer(c.rand.Uint64())
			return r.ID
		},
		Peers:    view.PeerCount,
		Live:     view.LiveCount,
		IsReader: func() bool { return view.IsReader(2) },
		Readers:  func() int { return 2 * view.ZoneCount() },
		Rand:     c.rand.Uint64,
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

func (c *cluster) do(t *testing.T, n *node, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Send:
			c.queue = append(c.queue, a)
		case ReadPlatform:
			c.do(t, n, c.answerRead(t, n, a.Read))
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

func (c *cluster) answerRead(t *testing.T, n *node, read Read) []Action {
	switch {
	case c.down:
		return n.state.ReadFailed(read, c.now)
	case read.Kind == ReadIndex:
		return n.state.IndexRead(0, nil, c.now)
	}
	n.put(t, c.now, n.view.MergeList(c.entries, c.version, c.now)...)
	return n.state.InstancesRead(c.version, c.now)
}

func (c *cluster) run(t *testing.T, d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(20 * time.Millisecond)
		for _, id := range c.ids {
			if n := c.nodes[id]; !n.dead {
				n.view.Tick(c.now)
				c.do(t, n, n.state.Tick(c.now))
			}
		}
		queue := c.queue
		c.queue = nil
		for _, a := range queue {
			if n := c.nodes[a.To]; n != nil && !n.dead {
				n.view.NoteReceived(a.Message.From, a.Message.Incarnation, c.now)
				c.do(t, n, n.state.Receive(a.Message, c.now))
			}
		}
	}
}

// publish publishes a list with an instance's entry changed or, if gone,
// removed.
func (c *cluster) publish(i int, state membership.State) {
	entries := append([]membership.ListEntry{}, c.entries[:i]...)
	if state != membership.Gone {
		entries = append(entries, membership.ListEntry{Instance: record(i).Instance, State: state})
	}
	c.entries = append(entries, c.entries[i+1:]...)
	c.version++
}

// countKnowing returns how many running nodes know an instance at a state and
// incarnation, and how many nodes are running.
func (c *cluster) countKnowing(id string, state membership.State, incarnation uint64) (count, running int) {
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

// TestInstanceChangeReachesAllDaemons combines membership and spread. Whatever
// the source of the change, no daemon considers a leaving instance live 3 s
// later; a crash is known after the list's lag; a wrong report is refuted.
func TestInstanceChangeReachesAllDaemons(t *testing.T) {
	const subject = 7
	lag := membership.DefaultListLag
	subjectNode := func(c *cluster) *node { return c.nodes[fmt.Sprint(subject)] }
	tests := map[string]struct {
		change      func(t *testing.T, c *cluster)
		within      time.Duration
		want        membership.State
		incarnation uint64
		// wantMissed is true for an injected fault that the check must detect.
		wantMissed bool
	}{
		"injected fault: leaving is not announced": {func(_ *testing.T, c *cluster) {
			subjectNode(c).view.UpstreamLeaving(c.now)
		}, 3 * time.Second, membership.Leaving, 1, true},
		"upstream drains": {func(t *testing.T, c *cluster) {
			subjectNode(c).view.UpstreamLeaving(c.now)
			subjectNode(c).put(t, c.now, subjectNode(c).view.Self())
		}, 3 * time.Second, membership.Leaving, 1, false},
		"upstream drains, platform down": {func(t *testing.T, c *cluster) {
			c.down = true
			subjectNode(c).view.UpstreamLeaving(c.now)
			subjectNode(c).put(t, c.now, subjectNode(c).view.Self())
		}, 3 * time.Second, membership.Leaving, 1, false},
		"listed as leaving": {func(_ *testing.T, c *cluster) {
			c.publish(subject, membership.Leaving)
		}, 3 * time.Second, membership.Leaving, 1, false},
		"daemon finishes": {func(t *testing.T, c *cluster) {
			subjectNode(c).view.MarkGone(c.now)
			subjectNode(c).put(t, c.now, subjectNode(c).view.Self())
			c.run(t, 100*time.Millisecond)
			subjectNode(c).dead = true
		}, 3 * time.Second, membership.Gone, 1, false},
		"crashed and removed from the list": {func(_ *testing.T, c *cluster) {
			subjectNode(c).dead = true
			c.publish(subject, membership.Gone)
		}, lag + 15*time.Second, membership.Gone, 1, false},
		"removed from the list while running": {func(t *testing.T, c *cluster) {
			c.publish(subject, membership.Gone)
			c.run(t, 2*lag)
			if subjectNode(c).view.Self().Sequence == 0 {
				t.Error("the instance was not reported gone")
			}
		}, 3 * time.Second, membership.Live, 1, false},
		"replaced under the same ID": {func(t *testing.T, c *cluster) {
			c.start(t, subject, 2)
		}, 3 * time.Second, membership.Live, 2, false},
		"replaced, platform down": {func(t *testing.T, c *cluster) {
			c.down = true
			c.start(t, subject, 2)
		}, 15 * time.Second, membership.Live, 2, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 40)
			c.run(t, time.Minute)
			if count, running := c.countKnowing(fmt.Sprint(subject), membership.Live, 1); count != running {
				t.Fatalf("only %d of %d nodes know the instance", count, running)
			}
			test.change(t, c)
			changedAt := c.now
			c.run(t, 40*time.Millisecond)
			count, running := c.countKnowing(fmt.Sprint(subject), test.want, test.incarnation)
			for count < running && c.now.Sub(changedAt) < test.within {
				c.run(t, 20*time.Millisecond)
				count, running = c.countKnowing(fmt.Sprint(subject), test.want, test.incarnation)
			}
			t.Logf("%d of %d nodes know the instance as %s after %v", count, running, test.want, c.now.Sub(changedAt))
			if (count < running) != test.wantMissed {
				t.Errorf("%d of %d nodes know the instance as %s after %v", count, running, test.want, test.within)
			}
			c.run(t, 2*lag)
			for id, n := range c.nodes {
				if !n.dead && (n.state.Root() != c.nodes["0"].state.Root() || !n.state.Confirmed(c.now)) {
					t.Errorf("node %s holds other versions than node 0 or is not confirmed", id)
				}
			}
		})
	}
}

// Covers hard case 5: all old daemons are leaving when new ones start, and the
// platform is stuck at an older revision. The new daemons must not be confirmed
// with that revision.
func TestCase05NewDaemonsCompareWithLeavingOnes(t *testing.T) {
	const old, fresh = 5, 5
	switches := func(revision uint64) Item { return Item{Key: "switches", Version: Version{Major: revision}} }
	c := newCluster(t, old)
	if err := c.nodes["0"].state.Put(switches(9), c.now); err != nil {
		t.Fatal(err)
	}
	c.run(t, time.Minute)
	for i := range old {
		c.publish(i, membership.Leaving)
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
				t.Fatalf("node %s is confirmed with revision %d after %v, want 9", id, item.Version.Major, c.now.Sub(epoch))
			}
		}
	}
	for id, n := range c.nodes {
		if !n.state.Confirmed(c.now) {
			t.Errorf("node %s is not confirmed", id)
		}
	}
}
