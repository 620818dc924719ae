package follow_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelodoor.example/pomelodoor/follow"
)

// copyLent returns a step that lends a copy from another daemon.
func copyLent(revision uint64, items ...follow.Item) step {
	return func(f *follow.Follower, now time.Time) {
		f.ApplyCopy(follow.Copy{Revision: revision, Items: items}, "n-1", now)
	}
}

func nextCalled(f *follow.Follower, now time.Time) { f.Next(now) }

func TestApplyCopy(t *testing.T) {
	tests := map[string]struct {
		events   []event
		keys     []string
		revision uint64
	}{
		"first copy is applied": {
			events: []event{{0, failed}, {1, copyLent(5, item("a", 3))}},
			keys:   []string{"a"}, revision: 5,
		},
		"newer copy replaces the current one": {
			events: []event{{0, listed(5, false, item("a", 3), item("b", 4))}, {1, failed}, {2, copyLent(9, item("a", 8))}},
			keys:   []string{"a"}, revision: 9,
		},
		"older copy is ignored": {
			events: []event{{0, listed(5, false, item("a", 3))}, {1, failed}, {2, copyLent(4, item("z", 2))}},
			keys:   []string{"a"}, revision: 5,
		},
		"empty copy is ignored": {
			events: []event{{0, listed(5, false, item("a", 3))}, {1, failed}, {2, copyLent(9)}},
			keys:   []string{"a"}, revision: 5,
		},
		"list older than the lent copy is discarded": {
			events: []event{{0, failed}, {1, copyLent(9, item("a", 8))}, {2, listed(7, false, item("a", 3), item("gone", 2))}},
			keys:   []string{"a"}, revision: 9,
		},
		"second older list is applied": {
			events: []event{
				{0, failed}, {1, copyLent(9, item("a", 8))}, {2, listed(7, false, item("b", 3))}, {3, listed(7, false, item("b", 3))},
				{3000, expired},
			},
			keys: []string{"b"}, revision: 7,
		},
		"change older than the copy does not restore a key": {
			events: []event{
				{0, listed(5, false, item("a", 3))}, {1, copyLent(9, item("a", 3))}, {2, watched(7, item("gone", 6))},
			},
			keys: []string{"a"}, revision: 9,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := followerAfter(test.events)
			if got := keys(f); !slices.Equal(got, test.keys) {
				t.Errorf("got keys %v, want %v", got, test.keys)
			}
			if f.Revision() != test.revision {
				t.Errorf("got revision %d, want %d", f.Revision(), test.revision)
			}
		})
	}
}

func TestCertain(t *testing.T) {
	from := func(names ...string) step {
		return func(f *follow.Follower, now time.Time) {
			for _, name := range names {
				f.ApplyCopy(follow.Copy{Revision: 5, Certain: true}, name, now)
			}
		}
	}
	tests := map[string]struct {
		step   step
		others int
		want   bool
	}{
		"at the start":                    {nextCalled, 0, false},
		"store listed":                    {listed(5, false, item("a", 1)), 9, true},
		"first of several pages":          {listed(5, true, item("a", 1)), 9, false},
		"two lenders of nine":             {from("n-1", "n-2"), 9, false},
		"one lender of nine, three times": {from("n-1", "n-1", "n-1"), 9, false},
		"three lenders of nine":           {from("n-1", "n-2", "n-3"), 9, true},
		"both other daemons":              {from("n-1", "n-2"), 2, true},
		"only other daemon":               {from("n-1"), 1, true},
		"three lenders without certainty": {func(f *follow.Follower, now time.Time) {
			for _, name := range []string{"n-1", "n-2", "n-3"} {
				f.ApplyCopy(follow.Copy{Revision: 5, Items: []follow.Item{item("a", 1)}}, name, now)
			}
		}, 9, false},
		"one lender, no other daemon known": {from("n-1"), 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := follow.New(follow.Config{})
			test.step(f, at(0))
			if got := f.Certain(test.others); got != test.want {
				t.Fatalf("got certain %t, want %t", got, test.want)
			}
		})
	}
}

func TestQueryDue(t *testing.T) {
	tests := map[string]struct {
		events []event
		// queriedMs are those of checkedMs at which a query is due.
		checkedMs, queriedMs []int
	}{
		"no query while the store responds": {
			events:    []event{{0, nextCalled}, {4, listed(5, false, item("a", 1))}, {4, nextCalled}},
			checkedMs: []int{5, 300, 5000},
		},
		"store does not respond from the start": {
			events:    []event{{0, nextCalled}},
			checkedMs: []int{50, 99, 100, 200, 350, 850}, queriedMs: []int{100, 350, 850},
		},
		"store fails from the start": {
			events:    []event{{0, nextCalled}, {4, failed}},
			checkedMs: []int{4, 99, 100, 350}, queriedMs: []int{100, 350},
		},
		"longer delay with a copy": {
			events:    []event{{0, listed(5, false, item("a", 1))}, {10, failed}},
			checkedMs: []int{11, 309, 310}, queriedMs: []int{310},
		},
		"interval limited to one second": {
			events:    []event{{0, failed}},
			checkedMs: []int{100, 350, 850, 1850, 2849, 2850}, queriedMs: []int{100, 350, 850, 1850, 2850},
		},
		"other daemon has a later revision": {
			events:    []event{{0, listed(5, false, item("a", 1))}, {10, failed}, {40, func(f *follow.Follower, now time.Time) { f.Observe(follow.Version{Revision: 6}, now) }}},
			checkedMs: []int{40, 200, 290}, queriedMs: []int{40, 290},
		},
		"other daemon has the same revision": {
			events:    []event{{0, listed(5, false, item("a", 1))}, {10, failed}, {40, func(f *follow.Follower, now time.Time) { f.Observe(follow.Version{Revision: 5}, now) }}},
			checkedMs: []int{40, 309, 310}, queriedMs: []int{310},
		},
		"later revision does not shorten the first interval": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, failed}, {400, func(f *follow.Follower, now time.Time) {
				f.QueryDue(now)
				f.Observe(follow.Version{Revision: 6}, now)
			}}},
			checkedMs: []int{500, 649, 650}, queriedMs: []int{650},
		},
		"list ends the queries": {
			events:    []event{{0, failed}, {100, listed(5, false, item("a", 1))}},
			checkedMs: []int{101, 1000},
		},
		"lost history counts as a response": {
			events:    []event{{0, listed(5, false, item("a", 1))}, {10, failed}, {20, historyLost}},
			checkedMs: []int{21, 500},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := followerAfter(test.events)
			var queried []int
			for _, ms := range test.checkedMs {
				if f.QueryDue(at(ms)) {
					queried = append(queried, ms)
				}
			}
			if !slices.Equal(queried, test.queriedMs) {
				t.Fatalf("queried at %v ms, want %v ms", queried, test.queriedMs)
			}
		})
	}
}

// TestLentNeverGoesBack lets two followers of one store lend to each other while
// responses arrive late, and lets the store return from older copies. The version of a copy
// must never decrease, and the copy must equal the state of the store at that version.
func TestLentNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &versionedStore{eras: [][]map[string]follow.Item{{{}}}}
		followers := []*follow.Follower{follow.New(follow.Config{}), follow.New(follow.Config{})}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "who")
			f, lender := followers[i], followers[1-i]
			before := f.Version()
			switch rapid.SampledFrom([]string{"change", "list", "late", "watch", "fail", "lend", "return"}).Draw(t, "what") {
			case "change":
				s.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), rapid.Bool().Draw(t, "gone"))
			case "list":
				f.Listed(s.page(), now)
			case "late":
				// A list read before the change that the other daemon then lends.
				page := s.page()
				s.change("a", false)
				lender.Listed(s.page(), now)
				f.Failed(now)
				f.ApplyCopy(lender.Lend(follow.Version{}, 1, now), "n-1", now)
				before = f.Version()
				f.Listed(page, now)
			case "watch":
				if f.Next(now).Kind == follow.Watch {
					if f.Version().Era < s.era() {
						f.HistoryLost(now)
						break
					}
					changes, asOf := s.changesAfter(f.Revision())
					s.change("b", true)
					lender.Listed(s.page(), now)
					f.ApplyCopy(lender.Lend(follow.Version{}, 1, now), "n-1", now)
					before = f.Version()
					f.Watched(follow.Page{Items: changes, AsOf: asOf, Era: s.era()}, now)
				}
			case "fail":
				f.Failed(now)
			case "lend":
				f.ApplyCopy(lender.Lend(follow.Version{}, 1, now), "n-1", now)
			case "return":
				s.returnFrom(rapid.Uint64Range(0, s.revision()).Draw(t, "copy"))
			}
			if before.After(f.Version()) {
				t.Fatalf("version went back: got %+v, want at least %+v", f.Version(), before)
			}
			f.Expire(now.Add(time.Hour))
			s.check(t, f)
		}
	})
}

// versionedStore is a store that keeps its state at every revision of every era.
type versionedStore struct{ eras [][]map[string]follow.Item }

func (s *versionedStore) era() uint64 { return uint64(len(s.eras) - 1) }

func (s *versionedStore) states() []map[string]follow.Item { return s.eras[s.era()] }

func (s *versionedStore) revision() uint64 { return uint64(len(s.states()) - 1) }

// returnFrom begins a new era from the state at a revision.
func (s *versionedStore) returnFrom(revision uint64) {
	s.eras = append(s.eras, slices.Clone(s.states()[:revision+1]))
}

func (s *versionedStore) change(key string, remove bool) {
	next := map[string]follow.Item{}
	for k, it := range s.states()[s.revision()] {
		next[k] = it
	}
	delete(next, key)
	if !remove {
		next[key] = item(key, s.revision()+1)
	}
	s.eras[s.era()] = append(s.states(), next)
}

func (s *versionedStore) page() follow.Page {
	p := follow.Page{AsOf: s.revision(), Era: s.era()}
	for _, it := range s.states()[s.revision()] {
		p.Items = append(p.Items, it)
	}
	return p
}

// changesAfter returns the changes after a revision, and the current revision.
func (s *versionedStore) changesAfter(revision uint64) ([]follow.Item, uint64) {
	var out []follow.Item
	for r := revision + 1; r <= s.revision(); r++ {
		for _, key := range []string{"a", "b", "c"} {
			old, existed := s.states()[r-1][key]
			current, exists := s.states()[r][key]
			switch {
			case exists && (!existed || current.Revision != old.Revision):
				out = append(out, current)
			case existed && !exists:
				out = append(out, deleted(key, r))
			}
		}
	}
	return out, s.revision()
}

// check fails unless the follower's copy equals the state of the store at the
// copy's revision.
func (s *versionedStore) check(t *rapid.T, f *follow.Follower) {
	want := s.eras[f.Version().Era][f.Revision()]
	for key, it := range want {
		if got, ok := f.Items()[key]; !ok || got.Revision != it.Revision {
			t.Fatalf("%s at revision %d: got %v, want %v", key, f.Revision(), got, it)
		}
	}
	for key := range f.Items() {
		if _, ok := want[key]; !ok {
			t.Fatalf("%s at revision %d: got the key, want it deleted", key, f.Revision())
		}
	}
}
