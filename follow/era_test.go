package follow_test

import (
	"slices"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/follow"
)

func listedIn(era, asOf uint64, more bool, items ...follow.Item) step {
	return func(f *follow.Follower, now time.Time) {
		f.Listed(follow.Page{Items: items, More: more, AsOf: asOf, Era: era}, now)
	}
}

func watchedIn(era, asOf uint64, changes ...follow.Item) step {
	return func(f *follow.Follower, now time.Time) {
		f.Watched(follow.Page{Items: changes, AsOf: asOf, Era: era}, now)
	}
}

func lentIn(era, revision uint64, items ...follow.Item) step {
	return func(f *follow.Follower, now time.Time) {
		f.ApplyCopy(follow.Copy{Era: era, Revision: revision, Certain: true, Items: items}, "n-1", now)
	}
}

// pollsIn makes a daemon that polls of the follower, and gives it a reader's answer.
func pollsIn(c follow.Copy) step {
	return func(f *follow.Follower, now time.Time) {
		f.SetReaders([]string{"r-1"}, false)
		f.Polled(c, "r-1", now)
	}
}

func TestEras(t *testing.T) {
	// The copy of era 4 is at revision 9.
	old := event{0, listedIn(4, 9, false, item("a", 3), item("b", 8))}
	version := func(era, revision uint64) follow.Version { return follow.Version{Era: era, Revision: revision} }
	tests := map[string]struct {
		events []event
		keys   []string
		want   follow.Version
		// next is the kind of the next action at 100 ms.
		next follow.Kind
	}{
		"list of a new era replaces the copy": {
			[]event{old, {10, listedIn(5, 6, false, item("a", 5), item("b", 6))}}, []string{"a", "b"}, version(5, 6), follow.Watch,
		},
		"a key that is missing in it is retained": {
			[]event{old, {10, listedIn(5, 6, false, item("a", 3))}, {2509, expired}}, []string{"a", "b"}, version(5, 6), follow.Watch,
		},
		"for the retention time": {
			[]event{old, {10, listedIn(5, 6, false, item("a", 3))}, {2510, expired}}, []string{"a"}, version(5, 6), follow.Watch,
		},
		"a retained key that is written again stays": {
			[]event{old, {10, listedIn(5, 6, false, item("a", 3))}, {20, watchedIn(5, 7, item("b", 7))}, {2510, expired}},
			[]string{"a", "b"}, version(5, 7), follow.Wait,
		},
		"watch of a new era is followed by a list": {
			[]event{old, {10, watchedIn(5, 12, item("c", 12))}}, []string{"a", "b"}, version(4, 9), follow.List,
		},
		"watch of a lower era is a failure": {
			[]event{old, {95, watchedIn(3, 12, item("c", 12))}}, []string{"a", "b"}, version(4, 9), follow.Wait,
		},
		"watch without an era is a failure": {
			[]event{old, {95, watched(12, item("c", 12))}}, []string{"a", "b"}, version(4, 9), follow.Wait,
		},
		"list of a lower era is a failure": {
			[]event{old, {10, historyLost}, {95, listedIn(3, 12, false)}, {96, listedIn(3, 12, false)}},
			[]string{"a", "b"}, version(4, 9), follow.Wait,
		},
		"pages of two eras are listed again": {
			[]event{old, {10, historyLost}, {20, listedIn(4, 10, true, item("a", 3))}, {30, listedIn(5, 6, false, item("c", 4))}},
			[]string{"a", "b"}, version(4, 9), follow.List,
		},
		"a page of a lower era than the first": {
			[]event{old, {10, historyLost}, {20, listedIn(5, 6, true, item("a", 3))}, {95, listedIn(4, 10, false, item("c", 4))}},
			[]string{"a", "b"}, version(4, 9), follow.Wait,
		},
		"first list retains nothing": {
			[]event{{0, listedIn(4, 9, false, item("a", 3))}, {10, watchedIn(4, 10, deleted("a", 10))}}, []string{}, version(4, 10), follow.Wait,
		},
		"lent copy of a new era is applied": {
			[]event{old, {10, lentIn(5, 6, item("a", 5))}}, []string{"a", "b"}, version(5, 6), follow.List,
		},
		"list of the lower era after it is a failure": {
			[]event{old, {10, lentIn(5, 6, item("a", 5))}, {95, listedIn(4, 12, false)}}, []string{"a", "b"}, version(5, 6), follow.Wait,
		},
		"lent copy of a lower era is ignored": {
			[]event{old, {10, lentIn(3, 99, item("c", 99))}, {20, lentIn(0, 99, item("c", 99))}}, []string{"a", "b"}, version(4, 9), follow.Watch,
		},
		"reader of a new era": {
			[]event{old, {10, pollsIn(follow.Copy{Era: 5, Revision: 6})}}, []string{"a", "b"}, version(4, 9), follow.List,
		},
		"reader of a new era ends the backoff": {
			[]event{old, {5, pollsIn(follow.Copy{Era: 4, Revision: 9})}, {6, failed}, {7, failed}, {8, failed}, {10, pollsIn(follow.Copy{Era: 5, Revision: 6})}},
			[]string{"a", "b"}, version(4, 9), follow.List,
		},
		"reader of a lower era is not polled again": {
			[]event{old, {10, pollsIn(follow.Copy{Era: 3, Revision: 12, Items: []follow.Item{item("c", 12)}})}},
			[]string{"a", "b"}, version(4, 9), follow.Wait,
		},
		"reader without an era is not polled again": {
			[]event{old, {10, pollsIn(follow.Copy{Revision: 12, Items: []follow.Item{item("c", 12)}})}}, []string{"a", "b"}, version(4, 9), follow.Wait,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := followerAfter(test.events)
			if got := keys(f); !slices.Equal(got, test.keys) {
				t.Errorf("got keys %v, want %v", got, test.keys)
			}
			if f.Version() != test.want {
				t.Errorf("got %+v, want %+v", f.Version(), test.want)
			}
			if got := f.Next(at(100)); got.Kind != test.next || got.After != "" {
				t.Errorf("next action: got %+v, want %s", got, test.next)
			}
		})
	}
}

// TestChangesOfAnotherEra: a poll of a lower era is told to read the store, and one of a
// higher era gets nothing. Nothing certain is learned of a daemon of a lower era.
func TestChangesOfAnotherEra(t *testing.T) {
	f := follow.New(follow.Config{})
	listedIn(5, 6, false, item("a", 3))(f, at(0))
	if c := f.Changes(follow.Version{Era: 4, Revision: 99}, 1<<20, at(1)); !c.ReadStore || c.Era != 5 || !f.PollAnswerable(follow.Version{Era: 4, Revision: 99}, at(0)) {
		t.Errorf("got %+v for a lower era, want to be told at once to read the store", c)
	}
	if c := f.Changes(follow.Version{Era: 6, Revision: 1}, 1<<20, at(1)); c.ReadStore || len(c.Items) > 0 || f.PollAnswerable(follow.Version{Era: 6, Revision: 1}, at(0)) {
		t.Errorf("got %+v for a higher era, want nothing", c)
	}
	if c := f.Lend(follow.Version{Era: 4, Revision: 99}, 1, at(1)); c.Era != 5 || len(c.Items) != 1 {
		t.Errorf("got %+v lent to a lower era, want all items", c)
	}
	if !f.Observe(follow.Version{Era: 6, Revision: 1}, at(0)) && !f.Observe(follow.Version{Era: 6, Revision: 1}, at(400)) {
		t.Error("a higher era of another daemon does not end the watch")
	}
	if f.Observe(follow.Version{Revision: 99}, at(900)) {
		t.Error("a daemon that knows no era ends the watch")
	}
	borrower := follow.New(follow.Config{})
	lentIn(6, 2, item("a", 1))(borrower, at(0))
	before := borrower.Certain(2)
	borrower.ApplyCopy(follow.Copy{Era: 5, Revision: 9, Certain: true}, "n-2", at(1))
	if before || borrower.Certain(2) {
		t.Error("a copy of a lower era counts as certain")
	}
}
