package membership_test

import (
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/membership"
)

func TestReplaceAll(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	entry := func(id, upstream, service string, incarnation uint64, state membership.State) membership.StoreEntry {
		e := membership.StoreEntry{Incarnation: incarnation, State: state}
		e.ID, e.UpstreamIncarnation, e.Service, e.Slots = id, upstream, service, 12
		return e
	}
	self := membership.Instance{ID: "self", Service: "faults"}
	live, leaving := membership.Live, membership.Leaving
	tests := map[string]struct {
		lists [][]membership.StoreEntry
		leave bool
		// serving maps the IDs of the live instances of "faults" to their
		// upstreams.
		serving map[string]string
		self    membership.State
	}{
		"empty list": {lists: [][]membership.StoreEntry{{}}, self: membership.Gone},
		"self and another instance": {
			lists:   [][]membership.StoreEntry{{entry("self", "i-1", "faults", 1, live), entry("b", "i-2", "faults", 1, live)}},
			serving: map[string]string{"self": "i-1", "b": "i-2"}, self: live,
		},
		"removed at once": {
			lists: [][]membership.StoreEntry{
				{entry("self", "i-1", "faults", 1, live), entry("b", "i-2", "faults", 1, live)},
				{entry("self", "i-1", "faults", 1, live)},
			},
			serving: map[string]string{"self": "i-1"}, self: live,
		},
		"leaving": {
			lists: [][]membership.StoreEntry{{entry("self", "i-1", "faults", 1, leaving), entry("b", "i-2", "faults", 1, leaving)}},
			self:  leaving,
		},
		"live again after removal": {
			lists: [][]membership.StoreEntry{
				{entry("b", "i-2", "faults", 1, leaving)}, {}, {entry("b", "i-2", "faults", 5, live)},
			},
			serving: map[string]string{"b": "i-2"}, self: membership.Gone,
		},
		"address taken by another service": {
			lists: [][]membership.StoreEntry{{
				entry("b", "i-9", "other", 7, live), entry("b", "i-2", "faults", 1, live),
			}},
			self: membership.Gone,
		},
		"newest incarnation of a duplicate ID": {
			lists: [][]membership.StoreEntry{{
				entry("b", "i-3", "faults", 8, live), entry("b", "i-2", "faults", 1, leaving),
			}},
			serving: map[string]string{"b": "i-3"}, self: membership.Gone,
		},
		"another service at the local upstream's address": {
			lists: [][]membership.StoreEntry{
				{entry("self", "i-1", "faults", 1, live)}, {entry("self", "i-9", "other", 9, live)},
			},
			self: membership.Gone,
		},
		"a leaving daemon stays leaving": {
			lists: [][]membership.StoreEntry{{entry("self", "i-1", "faults", 1, live)}}, leave: true, self: leaving,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := membership.New(membership.Config{Self: self, Incarnation: 77, Started: now})
			if test.leave {
				v.Leave(now)
			}
			for i, list := range test.lists {
				v.ReplaceAll(list, now.Add(time.Duration(i)*time.Second))
			}
			if v.Superseded() || v.Self().State != test.self {
				t.Errorf("got own record %+v, want the state in the test row and not superseded", v.Self())
			}
			serving := v.Serving("faults")
			if len(serving) != len(test.serving) {
				t.Fatalf("got serving %+v, want a different number of instances", serving)
			}
			for _, r := range serving {
				if test.serving[r.ID] != r.UpstreamIncarnation {
					t.Errorf("got serving %+v, want another upstream", r)
				}
			}
			last := test.lists[len(test.lists)-1]
			if v.ReplaceAll(last, now.Add(time.Minute)) {
				t.Error("applying the same list again reported a change")
			}
		})
	}
}
