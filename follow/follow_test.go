package follow_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelodoor.example/pomelodoor/follow"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func item(key string, revision uint64) follow.Item {
	return follow.Item{Key: key, Value: []byte(fmt.Sprint(revision)), Revision: revision}
}

func gone(key string, revision uint64) follow.Item {
	return follow.Item{Key: key, Revision: revision, Gone: true}
}

func keys(f *follow.Follower) []string { return slices.Sorted(maps.Keys(f.Items())) }

// step is one thing that happens to a follower.
type step func(f *follow.Follower, now time.Time)

func listed(asOf uint64, more bool, items ...follow.Item) step {
	return func(f *follow.Follower, now time.Time) {
		f.Listed(follow.Page{Items: items, More: more, AsOf: asOf}, now)
	}
}

func watched(asOf uint64, changes ...follow.Item) step {
	return func(f *follow.Follower, now time.Time) { f.Watched(changes, asOf, now) }
}

func failed(f *follow.Follower, now time.Time)  { f.Failed(now) }
func dropped(f *follow.Follower, now time.Time) { f.Dropped(now) }
func hurried(f *follow.Follower, _ time.Time)   { f.Hurry() }
func expired(f *follow.Follower, now time.Time) { f.Expire(now) }

// event is a step at a time in milliseconds.
type event struct {
	ms   int
	step step
}

// played returns a follower to which events have happened.
func played(events []event) *follow.Follower {
	f := follow.New(follow.Config{})
	for _, e := range events {
		e.step(f, at(e.ms))
	}
	return f
}

func TestFollower(t *testing.T) {
	tests := map[string]struct {
		events []event
		keys   []string
		// ms is when Next is asked.
		ms     int
		action follow.Action
	}{
		"starts with a list": {action: follow.Action{Kind: follow.List}},
		"a further page begins after the last key": {
			events: []event{{0, listed(5, true, item("a", 1), item("b", 2))}},
			action: follow.Action{Kind: follow.List, After: "b"},
		},
		"watches from the first page": {
			events: []event{{0, listed(5, true, item("a", 1))}, {1, listed(9, false, item("b", 8))}},
			keys:   []string{"a", "b"}, ms: 2,
			action: follow.Action{Kind: follow.Watch, Revision: 5, For: follow.DefaultWatchFor},
		},
		"an older event does not undo a later page": {
			events: []event{
				{0, listed(5, true, item("a", 1))}, {1, listed(9, false, item("b", 8))}, {2, watched(9, gone("b", 7))},
			},
			keys: []string{"a", "b"}, ms: 3,
			action: follow.Action{Kind: follow.Watch, Revision: 9, For: follow.DefaultWatchFor},
		},
		"a watch is put off after a change": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, watched(6, item("c", 6))}},
			keys:   []string{"a", "c"}, ms: 11,
			action: follow.Action{Kind: follow.Wait, At: at(1010)},
		},
		"a hurried watch is not put off": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, watched(6, item("c", 6))}, {20, hurried}},
			keys:   []string{"a", "c"}, ms: 21,
			action: follow.Action{Kind: follow.Watch, Revision: 6, For: follow.DefaultWatchFor},
		},
		"hurry does not shorten the wait after a failure": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, failed}, {20, hurried}},
			keys:   []string{"a"}, ms: 21,
			action: follow.Action{Kind: follow.Wait, At: at(60)},
		},
		"a key that goes is gone at once": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, watched(6, gone("a", 6))}},
			keys:   []string{}, ms: 11, action: follow.Action{Kind: follow.Wait, At: at(1010)},
		},
		"a watch that was cut is followed by a list": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, failed}},
			keys:   []string{"a"}, ms: 200, action: follow.Action{Kind: follow.List},
		},
		"failures back off": {
			events: []event{{0, failed}, {100, failed}, {300, failed}},
			ms:     301, action: follow.Action{Kind: follow.Wait, At: at(500)},
		},
		"dropped history is listed again": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, dropped}},
			keys:   []string{"a"}, ms: 11, action: follow.Action{Kind: follow.List},
		},
		"a key that went during trouble is kept for a while": {
			events: []event{{0, listed(5, false, item("a", 1), item("b", 2))}, {10, failed}, {5000, listed(9, false, item("a", 1))}},
			keys:   []string{"a", "b"}, ms: 5001,
			action: follow.Action{Kind: follow.Watch, Revision: 9, For: 2499 * time.Millisecond},
		},
		"a kept key that is not back is gone": {
			events: []event{
				{0, listed(5, false, item("a", 1), item("b", 2))}, {10, failed},
				{5000, listed(9, false, item("a", 1))}, {7500, expired},
			},
			keys: []string{"a"}, ms: 7501,
			action: follow.Action{Kind: follow.Watch, Revision: 9, For: follow.DefaultWatchFor},
		},
		"a kept key that is back stays": {
			events: []event{
				{0, listed(5, false, item("b", 2))}, {10, failed}, {5000, listed(9, false)},
				{6000, watched(12, item("b", 12))}, {7500, expired},
			},
			keys: []string{"b"}, ms: 8000,
			action: follow.Action{Kind: follow.Watch, Revision: 12, For: follow.DefaultWatchFor},
		},
		"a key that goes long after the trouble is gone at once": {
			events: []event{
				{0, listed(5, false, item("a", 1))}, {10, failed}, {600, listed(5, false, item("a", 1))},
				{4000, watched(6, gone("a", 6))},
			},
			keys: []string{}, ms: 4001, action: follow.Action{Kind: follow.Wait, At: at(5000)},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := played(test.events)
			if got := keys(f); !slices.Equal(got, test.keys) {
				t.Errorf("keys %v, want %v", got, test.keys)
			}
			if got := f.Next(at(test.ms)); got != test.action {
				t.Errorf("next %+v, want %+v", got, test.action)
			}
		})
	}
}

// smallStore is a store of five keys with pages of two items.
type smallStore struct {
	items    map[string]follow.Item
	log      []follow.Item
	revision uint64
	// kept is the revision from which the history is held.
	kept uint64
}

func (s *smallStore) change(key string, goes bool) {
	s.revision++
	next := item(key, s.revision)
	if goes {
		next = gone(key, s.revision)
		delete(s.items, key)
	} else {
		s.items[key] = next
	}
	s.log = append(s.log, next)
}

func (s *smallStore) page(after string) follow.Page {
	p := follow.Page{AsOf: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if key > after {
			p.Items = append(p.Items, s.items[key])
		}
	}
	if len(p.Items) > 2 {
		p.Items, p.More = p.Items[:2], true
	}
	return p
}

func (s *smallStore) watch(after uint64) []follow.Item {
	return slices.DeleteFunc(slices.Clone(s.log), func(e follow.Item) bool { return e.Revision <= after })
}

// answer carries out what the follower wants next, unless the watch is cut.
func (s *smallStore) answer(f *follow.Follower, cut bool, now time.Time) {
	f.Expire(now)
	switch a := f.Next(now); {
	case a.Kind == follow.List:
		f.Listed(s.page(a.After), now)
	case a.Kind == follow.Watch && a.Revision < s.kept:
		f.Dropped(now)
	case a.Kind == follow.Watch && cut:
		f.Failed(now)
	case a.Kind == follow.Watch:
		f.Watched(s.watch(a.Revision), s.revision, now)
	}
}

// TestFollowerConverges drives a follower against a small store with pages, cut
// watches and dropped history, and wants the copy to end as the store is.
func TestFollowerConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &smallStore{items: map[string]follow.Item{}, revision: 1}
		f := follow.New(follow.Config{})
		now := start
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			for rapid.Bool().Draw(t, "change") {
				s.change(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "key"), rapid.Bool().Draw(t, "gone"))
			}
			if rapid.IntRange(0, 9).Draw(t, "drop") == 0 {
				s.kept = s.revision
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			s.answer(f, rapid.Bool().Draw(t, "cut"), now)
		}
		for range 40 {
			now = now.Add(time.Second)
			s.answer(f, false, now)
		}
		got := map[string]uint64{}
		for key, held := range f.Items() {
			got[key] = held.Revision
		}
		want := map[string]uint64{}
		for key, held := range s.items {
			want[key] = held.Revision
		}
		if !maps.Equal(got, want) {
			t.Fatalf("the copy is at %v, the store at %v", got, want)
		}
	})
}
