package follow_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelodoor.example/pomelodoor/follow"
)

// lent is a neighbour's copy.
func lent(revision uint64, items ...follow.Item) step {
	return func(f *follow.Follower, _ time.Time) {
		f.Lent(follow.Copy{Revision: revision, Items: items}, "n-1")
	}
}

func asked(f *follow.Follower, now time.Time) { f.Next(now) }

func TestLent(t *testing.T) {
	tests := map[string]struct {
		events   []event
		keys     []string
		revision uint64
	}{
		"the first copy is taken": {
			events: []event{{0, failed}, {1, lent(5, item("a", 3))}},
			keys:   []string{"a"}, revision: 5,
		},
		"a newer copy replaces what is held": {
			events: []event{{0, listed(5, false, item("a", 3), item("b", 4))}, {1, failed}, {2, lent(9, item("a", 8))}},
			keys:   []string{"a"}, revision: 9,
		},
		"an older copy is not taken": {
			events: []event{{0, listed(5, false, item("a", 3))}, {1, failed}, {2, lent(4, item("z", 2))}},
			keys:   []string{"a"}, revision: 5,
		},
		"an empty copy is not taken": {
			events: []event{{0, listed(5, false, item("a", 3))}, {1, failed}, {2, lent(9)}},
			keys:   []string{"a"}, revision: 5,
		},
		"a list that began before a newer copy is not taken": {
			events: []event{{0, failed}, {1, lent(9, item("a", 8))}, {2, listed(7, false, item("a", 3), item("gone", 2))}},
			keys:   []string{"a"}, revision: 9,
		},
		"a second older list is the store's last word": {
			events: []event{
				{0, failed}, {1, lent(9, item("a", 8))}, {2, listed(7, false, item("b", 3))}, {3, listed(7, false, item("b", 3))},
				{3000, expired},
			},
			keys: []string{"b"}, revision: 7,
		},
		"a change older than the copy does not bring a key back": {
			events: []event{
				{0, listed(5, false, item("a", 3))}, {1, lent(9, item("a", 3))}, {2, watched(7, item("gone", 6))},
			},
			keys: []string{"a"}, revision: 9,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := played(test.events)
			if got := keys(f); !slices.Equal(got, test.keys) {
				t.Errorf("keys %v, want %v", got, test.keys)
			}
			if f.Revision() != test.revision {
				t.Errorf("revision %d, want %d", f.Revision(), test.revision)
			}
		})
	}
}

func TestCertain(t *testing.T) {
	from := func(names ...string) step {
		return func(f *follow.Follower, _ time.Time) {
			for _, name := range names {
				f.Lent(follow.Copy{Revision: 5, Certain: true}, name)
			}
		}
	}
	tests := map[string]struct {
		step   step
		others int
		want   bool
	}{
		"at the start":             {asked, 0, false},
		"the store was listed":     {listed(5, false, item("a", 1)), 9, true},
		"one page of more":         {listed(5, true, item("a", 1)), 9, false},
		"two of many":              {from("n-1", "n-2"), 9, false},
		"one of many, three times": {from("n-1", "n-1", "n-1"), 9, false},
		"three of many":            {from("n-1", "n-2", "n-3"), 9, true},
		"both others":              {from("n-1", "n-2"), 2, true},
		"the only other":           {from("n-1"), 1, true},
		"three that are not certain": {func(f *follow.Follower, _ time.Time) {
			for _, name := range []string{"n-1", "n-2", "n-3"} {
				f.Lent(follow.Copy{Revision: 5, Items: []follow.Item{item("a", 1)}}, name)
			}
		}, 9, false},
		"one, and no other is known to exist": {from("n-1"), 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := follow.New(follow.Config{})
			test.step(f, at(0))
			if got := f.Certain(test.others); got != test.want {
				t.Fatalf("certain: %t, want %t", got, test.want)
			}
		})
	}
}

func TestAsk(t *testing.T) {
	tests := map[string]struct {
		events []event
		// due are the times at which a neighbour is asked, of those looked at.
		look, due []int
	}{
		"nobody is asked while the store answers": {
			events: []event{{0, asked}, {4, listed(5, false, item("a", 1))}, {4, asked}},
			look:   []int{5, 300, 5000},
		},
		"a store that is silent from the start": {
			events: []event{{0, asked}},
			look:   []int{50, 99, 100, 200, 350, 850}, due: []int{100, 350, 850},
		},
		"a store that refuses from the start": {
			events: []event{{0, asked}, {4, failed}},
			look:   []int{4, 99, 100, 350}, due: []int{100, 350},
		},
		"a daemon that has a copy waits for the store a little": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, failed}},
			look:   []int{11, 309, 310}, due: []int{310},
		},
		"the pauses end at a second": {
			events: []event{{0, failed}},
			look:   []int{100, 350, 850, 1850, 2849, 2850}, due: []int{100, 350, 850, 1850, 2850},
		},
		"others turn out to hold more": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, failed}, {40, func(f *follow.Follower, now time.Time) { f.Heard(6, now) }}},
			look:   []int{40, 200, 290}, due: []int{40, 290},
		},
		"others hold the same": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, failed}, {40, func(f *follow.Follower, now time.Time) { f.Heard(5, now) }}},
			look:   []int{40, 309, 310}, due: []int{310},
		},
		"word of others does not shorten the first pause": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, failed}, {400, func(f *follow.Follower, now time.Time) {
				f.Ask(now)
				f.Heard(6, now)
			}}},
			look: []int{500, 649, 650}, due: []int{650},
		},
		"an answer ends the asking": {
			events: []event{{0, failed}, {100, listed(5, false, item("a", 1))}},
			look:   []int{101, 1000},
		},
		"dropped history is an answer": {
			events: []event{{0, listed(5, false, item("a", 1))}, {10, failed}, {20, dropped}},
			look:   []int{21, 500},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := played(test.events)
			var due []int
			for _, ms := range test.look {
				if f.Ask(at(ms)) {
					due = append(due, ms)
				}
			}
			if !slices.Equal(due, test.due) {
				t.Fatalf("asked at %v, want %v", due, test.due)
			}
		})
	}
}

// TestLentNeverGoesBack lets two followers of one store lend to each other, with
// answers that come late, and checks that what is held only gets newer and is
// what the store held at the revision claimed.
func TestLentNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &history{state: []map[string]follow.Item{{}}}
		followers := []*follow.Follower{follow.New(follow.Config{}), follow.New(follow.Config{})}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "who")
			f, other := followers[i], followers[1-i]
			before := f.Revision()
			switch rapid.SampledFrom([]string{"change", "list", "late", "watch", "fail", "lend"}).Draw(t, "what") {
			case "change":
				s.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), rapid.Bool().Draw(t, "gone"))
			case "list":
				f.Listed(s.page(), now)
			case "late":
				// A list that left the store before what a neighbour lends.
				page := s.page()
				s.change("a", false)
				other.Listed(s.page(), now)
				f.Failed(now)
				f.Lent(other.Lend(0, 1), "n-1")
				before = f.Revision()
				f.Listed(page, now)
			case "watch":
				if f.Next(now).Kind == follow.Watch {
					changes, asOf := s.since(f.Revision())
					s.change("b", true)
					other.Listed(s.page(), now)
					f.Lent(other.Lend(0, 1), "n-1")
					before = f.Revision()
					f.Watched(changes, asOf, now)
				}
			case "fail":
				f.Failed(now)
			case "lend":
				f.Lent(other.Lend(0, 1), "n-1")
			}
			if f.Revision() < before {
				t.Fatalf("revision %d after %d", f.Revision(), before)
			}
			f.Expire(now.Add(time.Hour))
			s.check(t, f)
		}
	})
}

// history is a store that remembers each of its states, by revision.
type history struct{ state []map[string]follow.Item }

func (s *history) now() uint64 { return uint64(len(s.state) - 1) }

func (s *history) change(key string, gone bool) {
	next := map[string]follow.Item{}
	for k, it := range s.state[s.now()] {
		next[k] = it
	}
	delete(next, key)
	if !gone {
		next[key] = item(key, s.now()+1)
	}
	s.state = append(s.state, next)
}

func (s *history) page() follow.Page {
	p := follow.Page{AsOf: s.now()}
	for _, it := range s.state[s.now()] {
		p.Items = append(p.Items, it)
	}
	return p
}

// since returns the changes after a revision.
func (s *history) since(revision uint64) ([]follow.Item, uint64) {
	var out []follow.Item
	for r := revision + 1; r <= s.now(); r++ {
		for _, key := range []string{"a", "b", "c"} {
			was, had := s.state[r-1][key]
			is, has := s.state[r][key]
			switch {
			case has && (!had || is.Revision != was.Revision):
				out = append(out, is)
			case had && !has:
				out = append(out, gone(key, r))
			}
		}
	}
	return out, s.now()
}

// check fails unless a follower holds what the store held at the follower's
// revision; keys kept after trouble may be held besides.
func (s *history) check(t *rapid.T, f *follow.Follower) {
	want := s.state[f.Revision()]
	for key, it := range want {
		if got, ok := f.Items()[key]; !ok || got.Revision != it.Revision {
			t.Fatalf("%s at revision %d: %v, want %v", key, f.Revision(), got, it)
		}
	}
	for key := range f.Items() {
		if _, ok := want[key]; !ok {
			t.Fatalf("%s is held at revision %d, and was gone", key, f.Revision())
		}
	}
}
