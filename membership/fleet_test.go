package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var errRegressed = errors.New("a record regressed to an older version")

// message is a record in transit to a daemon.
type message struct {
	to     int
	record Record
}

// fleet simulates a few daemons' views, the records in transit between them and
// a platform whose list is read late or from an outdated replica.
type fleet struct {
	draw            func(n int) int
	merge           func(v *View, r Record, now time.Time) bool
	now             time.Time
	views           []*View
	queue           []message
	lastIncarnation uint64
	lists           []list
	seen            map[*View]map[string]Record
}

func newFleet(draw func(int) int) *fleet {
	f := &fleet{draw: draw, merge: (*View).Merge, now: epoch, seen: map[*View]map[string]Record{}}
	f.lists = []list{{}}
	for i := range 4 {
		f.views = append(f.views, nil)
		f.start(i)
	}
	return f
}

// start replaces a daemon with a new incarnation under the same ID.
func (f *fleet) start(i int) {
	f.lastIncarnation++
	self := instance(fmt.Sprint("m", i))
	f.views[i] = New(Config{Self: self, Incarnation: f.lastIncarnation, Started: f.now})
	f.send(f.views[i].Self())
	f.publish(i, Live)
}

// publish adds a new version of the platform's list.
func (f *fleet) publish(i int, state State) {
	last := f.lists[len(f.lists)-1]
	id := fmt.Sprint("m", i)
	entries := slices.DeleteFunc(slices.Clone(last.entries), func(e ListEntry) bool { return e.ID == id })
	if state != Gone {
		entries = append(entries, entry(id, state))
	}
	f.lists = append(f.lists, list{version: last.version + 1, entries: entries})
}

func (f *fleet) send(r Record) {
	for i := range f.views {
		f.queue = append(f.queue, message{i, r})
	}
}

func (f *fleet) deliver(m message) {
	v := f.views[m.to]
	before := v.Self()
	if f.merge(v, m.record, f.now) && f.draw(2) == 0 {
		f.send(m.record)
	}
	if v.Self() != before {
		f.send(v.Self())
	}
}

func (f *fleet) step() error {
	i := f.draw(len(f.views))
	v := f.views[i]
	f.now = f.now.Add(time.Duration(f.draw(5000)) * time.Millisecond)
	v.Tick(f.now)
	switch f.draw(8) {
	case 0:
		f.start(i)
	case 1:
		v.UpstreamLeaving(f.now)
		f.send(v.Self())
	case 2:
		f.publish(i, []State{Leaving, Gone}[f.draw(2)])
	case 3:
		l := f.lists[f.draw(len(f.lists))]
		for _, r := range v.MergeList(l.entries, l.version, f.now) {
			f.send(r)
		}
	case 4:
		f.now = f.now.Add(time.Duration(f.draw(120)) * time.Second)
	default:
		f.deliverRandom()
	}
	return f.check()
}

// deliverRandom delivers, drops or duplicates one random message.
func (f *fleet) deliverRandom() {
	if len(f.queue) == 0 {
		return
	}
	i := f.draw(len(f.queue))
	m := f.queue[i]
	outcome := f.draw(4)
	if outcome != 0 {
		f.queue = slices.Delete(f.queue, i, i+1)
	}
	if outcome != 1 {
		f.deliver(m)
	}
}

// check verifies that no view's record of an instance is ever replaced by an
// older one, and that Serving returns only instances known as live.
func (f *fleet) check() error {
	for _, v := range f.views {
		if f.seen[v] == nil {
			f.seen[v] = map[string]Record{}
		}
		for id, m := range v.members {
			if last, ok := f.seen[v][id]; ok && last.Newer(m.Record) {
				return fmt.Errorf("%w: from %+v to %+v", errRegressed, last, m.Record)
			}
			f.seen[v][id] = m.Record
		}
		for _, r := range v.Serving("faults") {
			if m := v.members[r.ID]; m.Record != r || r.State != Live {
				return fmt.Errorf("serving %+v, known record %+v", r, m.Record)
			}
		}
	}
	return nil
}

// converge merges all records into all views and verifies that the views agree
// and that no running daemon considers itself gone.
func (f *fleet) converge() error {
	for range 3 {
		for _, from := range f.views {
			for _, to := range f.views {
				for _, m := range from.members {
					to.Merge(m.Record, f.now)
				}
			}
		}
	}
	for _, v := range f.views {
		for id := range v.members {
			if r, _ := f.views[0].Lookup(id); r != v.members[id].Record {
				return fmt.Errorf("records of %s differ: %+v and %+v", id, r, v.members[id].Record)
			}
		}
		if v.Self().State == Gone {
			return fmt.Errorf("%s is running but its own state is gone", v.Self().ID)
		}
	}
	return f.check()
}

func (f *fleet) run(steps int) error {
	for range steps {
		if err := f.step(); err != nil {
			return err
		}
	}
	return f.converge()
}

func TestFleetNeverRegressesAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") })
		if err := f.run(rapid.IntRange(1, 150).Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
	})
}

// The checker must detect a merge in which the last record received wins.
func TestFleetCheckerDetectsLastWriteWins(t *testing.T) {
	for seed := range uint64(100) {
		f := newFleet(rand.New(rand.NewPCG(seed, 1)).IntN)
		f.merge = func(v *View, r Record, now time.Time) bool {
			if r.ID != v.config.Self.ID {
				v.store(r, now)
			}
			return false
		}
		if err := f.run(150); errors.Is(err, errRegressed) {
			return
		}
	}
	t.Fatal("injected fault not detected in 100 seeds")
}
