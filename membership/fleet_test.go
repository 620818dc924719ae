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

var errWentDown = errors.New("a record went down")

// letter is a record on its way to a machine.
type letter struct {
	to     int
	record Record
}

// fleet is a handful of views joined by undelivered records, beside a platform
// whose list is read late or from an old replica.
type fleet struct {
	draw  func(n int) int
	merge func(v *View, r Record, now time.Time) bool
	now   time.Time
	views []*View
	mail  []letter
	lives uint64
	lists []list
	seen  map[*View]map[string]Record
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

// start replaces a machine by a new life under the same ID.
func (f *fleet) start(i int) {
	f.lives++
	self := instance(fmt.Sprint("m", i))
	f.views[i] = New(Config{Self: self, Incarnation: f.lives, Started: f.now})
	f.post(f.views[i].Self())
	f.publish(i, Live)
}

// publish puts a new version of the list at the platform.
func (f *fleet) publish(i int, state State) {
	last := f.lists[len(f.lists)-1]
	id := fmt.Sprint("m", i)
	entries := slices.DeleteFunc(slices.Clone(last.entries), func(e ListEntry) bool { return e.ID == id })
	if state != Gone {
		entries = append(entries, entry(id, state))
	}
	f.lists = append(f.lists, list{version: last.version + 1, entries: entries})
}

func (f *fleet) post(r Record) {
	for i := range f.views {
		f.mail = append(f.mail, letter{i, r})
	}
}

func (f *fleet) deliver(l letter) {
	v := f.views[l.to]
	before := v.Self()
	if f.merge(v, l.record, f.now) && f.draw(2) == 0 {
		f.post(l.record)
	}
	if v.Self() != before {
		f.post(v.Self())
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
		f.post(v.Self())
	case 2:
		f.publish(i, []State{Leaving, Gone}[f.draw(2)])
	case 3:
		l := f.lists[f.draw(len(f.lists))]
		for _, r := range v.MergeList(l.entries, l.version, f.now) {
			f.post(r)
		}
	case 4:
		f.now = f.now.Add(time.Duration(f.draw(120)) * time.Second)
	default:
		f.mailStep()
	}
	return f.check()
}

// mailStep delivers one record, which may be lost or come again.
func (f *fleet) mailStep() {
	if len(f.mail) == 0 {
		return
	}
	at := f.draw(len(f.mail))
	l := f.mail[at]
	fate := f.draw(4)
	if fate != 0 {
		f.mail = slices.Delete(f.mail, at, at+1)
	}
	if fate != 1 {
		f.deliver(l)
	}
}

// check proves that no view's record of any instance ever goes down, and that
// the live ones served are those known as live.
func (f *fleet) check() error {
	for _, v := range f.views {
		if f.seen[v] == nil {
			f.seen[v] = map[string]Record{}
		}
		for id, m := range v.members {
			if last, ok := f.seen[v][id]; ok && last.Newer(m.Record) {
				return fmt.Errorf("%w: %+v to %+v", errWentDown, last, m.Record)
			}
			f.seen[v][id] = m.Record
		}
		for _, r := range v.Serving("faults") {
			if m := v.members[r.ID]; m.Record != r || r.State != Live {
				return fmt.Errorf("serving %+v, known %+v", r, m.Record)
			}
		}
	}
	return nil
}

// settle lets every machine hear all that every other knows.
func (f *fleet) settle() error {
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
				return fmt.Errorf("%s: %+v and %+v", id, r, v.members[id].Record)
			}
		}
		if v.Self().State == Gone {
			return fmt.Errorf("%s runs and calls itself gone", v.Self().ID)
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
	return f.settle()
}

func TestFleetNeverGoesDownAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") })
		if err := f.run(rapid.IntRange(1, 150).Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
	})
}

// The checker must catch a merge that takes whatever came last.
func TestFleetCheckerCatchesLastWins(t *testing.T) {
	for seed := range uint64(100) {
		f := newFleet(rand.New(rand.NewPCG(seed, 1)).IntN)
		f.merge = func(v *View, r Record, now time.Time) bool {
			if r.ID != v.config.Self.ID {
				v.store(r, now)
			}
			return false
		}
		if err := f.run(150); errors.Is(err, errWentDown) {
			return
		}
	}
	t.Fatal("planted fault not caught in 100 seeds")
}
