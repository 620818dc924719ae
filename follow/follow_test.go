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

func deleted(key string, revision uint64) follow.Item {
	return follow.Item{Key: key, Revision: revision, Deleted: true}
}

func keys(f *follow.Follower) []string { return slices.Sorted(maps.Keys(f.Items())) }

// step is one input to a follower.
type step func(f *follow.Follower, now time.Time)

func listed(asOf uint64, more bool, items ...follow.Item) step {
	return func(f *follow.Follower, now time.Time) {
		f.Listed(follow.Page{Items: items, More: more, AsOf: asOf}, now)
	}
}

func watched(asOf uint64, changes ...follow.Item) step {
	return func(f *follow.Follower, now time.Time) { f.Watched(follow.Page{Items: changes, AsOf: asOf}, now) }
}

func failed(f *follow.Follower, now time.Time)      { f.Failed(now) }
func historyLost(f *follow.Follower, now time.Time) { f.HistoryLost(now) }
func skipDelay(f *follow.Follower, _ time.Time)     { f.SkipDelay() }
func expired(f *follow.Follower, now time.Time)     { f.Expire(now) }

// event is a step and its time in milliseconds after start.
type event struct {
	ms   int
	step step
}

// followerAfter returns a follower after the given events.
func followerAfter(events []event) *follow.Follower {
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
		// retained is how many of the keys the store no longer has.
		retained int
		// ms is the time at which Next is called.
		ms     int
		action follow.Action
	}{
		"starts with a list": {action: follow.Action{Kind: follow.List}},
		"next page starts after the last key": {
			events: []event{{0, listed(5, true, item("a", 1), item("b", 2))}},
			action: follow.Action{Kind: follow.List, After: "b"},
		},
		"watch starts at the revision of the first page": {
			events: []event{{0, listed(5, true, item("a", 1))}, {1, listed(9, false, item("b", 8))}},
			keys:   []string{"a", "b"}, ms: 2,
			action: follow.Action{Kind: follow.Watch, Revision: 5, Timeout: follow.DefaultWatchTimeout},
		},
		"older change does not undo a later page": {
			events: []event{
				{0, listed(5, true, item("a", 1))}, {1, listed(9, false, item("b", 8))}, {2, watched(9, deleted("b", 7))},
			},
			keys: []string{"a", "b"}, ms: 3,
			action: follow.Action{Kind: follow.Watch, Revision: 9, Timeout: follow.DefaultWatchTimeout},
		},
		"watch is delayed after a change": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, watched(6, item("c", 6))}},
			keys:   []string{"a", "c"}, ms: 11,
			action: follow.Action{Kind: follow.Wait, At: at(1010)},
		},
		"SkipDelay cancels the delay": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, watched(6, item("c", 6))}, {20, skipDelay}},
			keys:   []string{"a", "c"}, ms: 21,
			action: follow.Action{Kind: follow.Watch, Revision: 6, Timeout: follow.DefaultWatchTimeout},
		},
		"SkipDelay does not shorten the backoff": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, failed}, {20, skipDelay}},
			keys:   []string{"a"}, ms: 21,
			action: follow.Action{Kind: follow.Wait, At: at(60)},
		},
		"deleted key is removed at once": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, watched(6, deleted("a", 6))}},
			keys:   []string{}, ms: 11, action: follow.Action{Kind: follow.Wait, At: at(1010)},
		},
		"list follows a failed watch": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, failed}},
			keys:   []string{"a"}, ms: 200, action: follow.Action{Kind: follow.List},
		},
		"failures back off": {
			events: []event{{0, failed}, {100, failed}, {300, failed}},
			ms:     301, action: follow.Action{Kind: follow.Wait, At: at(500)},
		},
		"list follows lost history": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, historyLost}},
			keys:   []string{"a"}, ms: 11, action: follow.Action{Kind: follow.List},
		},
		"key that disappeared during a fault is retained": {
			events: []event{{0, listed(5, false, item("a", 1), item("b", 2))}, {10, failed}, {5000, listed(9, false, item("a", 1))}},
			keys:   []string{"a", "b"}, retained: 1, ms: 5001,
			action: follow.Action{Kind: follow.Watch, Revision: 9, Timeout: 2499 * time.Millisecond},
		},
		"retained key expires": {
			events: []event{
				{0, listed(5, false, item("a", 1), item("b", 2))}, {10, failed},
				{5000, listed(9, false, item("a", 1))}, {7500, expired},
			},
			keys: []string{"a"}, ms: 7501,
			action: follow.Action{Kind: follow.Watch, Revision: 9, Timeout: follow.DefaultWatchTimeout},
		},
		"retained key that returns stays": {
			events: []event{
				{0, listed(5, false, item("b", 2))}, {10, failed}, {5000, listed(9, false)},
				{6000, watched(12, item("b", 12))}, {7500, expired},
			},
			keys: []string{"b"}, ms: 8000,
			action: follow.Action{Kind: follow.Watch, Revision: 12, Timeout: follow.DefaultWatchTimeout},
		},
		"key deleted long after a fault is removed at once": {
			events: []event{
				{0, listed(5, false, item("a", 1))}, {10, failed}, {600, listed(5, false, item("a", 1))},
				{4000, watched(6, deleted("a", 6))},
			},
			keys: []string{}, ms: 4001, action: follow.Action{Kind: follow.Wait, At: at(5000)},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := followerAfter(test.events)
			if got := keys(f); !slices.Equal(got, test.keys) {
				t.Errorf("got keys %v, want %v", got, test.keys)
			}
			if got := f.Retained(); got != test.retained {
				t.Errorf("got %d retained keys, want %d", got, test.retained)
			}
			if got := f.Next(at(test.ms)); got != test.action {
				t.Errorf("Next: got %+v, want %+v", got, test.action)
			}
		})
	}
}

// smallStore is a store with pages of two items.
type smallStore struct {
	items    map[string]follow.Item
	log      []follow.Item
	revision uint64
	// oldestRevision is the lowest revision from which the store can serve a watch.
	oldestRevision uint64
}

func (s *smallStore) change(key string, remove bool) {
	s.revision++
	next := item(key, s.revision)
	if remove {
		next = deleted(key, s.revision)
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

// serveNext executes the follower's next action; cut makes a watch fail.
func (s *smallStore) serveNext(f *follow.Follower, cut bool, now time.Time) {
	f.Expire(now)
	switch a := f.Next(now); {
	case a.Kind == follow.List:
		f.Listed(s.page(a.After), now)
	case a.Kind == follow.Watch && a.Revision < s.oldestRevision:
		f.HistoryLost(now)
	case a.Kind == follow.Watch && cut:
		f.Failed(now)
	case a.Kind == follow.Watch:
		f.Watched(follow.Page{Items: s.watch(a.Revision), AsOf: s.revision}, now)
	}
}

// TestFollowerConverges runs a follower against a store with small pages, failing
// watches and lost history. The copy must end equal to the store.
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
				s.oldestRevision = s.revision
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			s.serveNext(f, rapid.Bool().Draw(t, "cut"), now)
		}
		for range 40 {
			now = now.Add(time.Second)
			s.serveNext(f, false, now)
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
			t.Fatalf("copy has revisions %v, want those of the store %v", got, want)
		}
	})
}
