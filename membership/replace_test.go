package membership_test

import (
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/membership"
)

func TestReplace(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	listing := func(id, upstream, service string, born uint64, state membership.State) membership.Listing {
		l := membership.Listing{Incarnation: born, State: state}
		l.ID, l.Upstream, l.Service, l.Slots = id, upstream, service, 12
		return l
	}
	self := membership.Instance{ID: "self", Service: "faults"}
	live, leaving := membership.Live, membership.Leaving
	tests := map[string]struct {
		lists [][]membership.Listing
		stop  bool
		// serving is the upstreams of "faults" that may get work, by id.
		serving map[string]string
		self    membership.State
	}{
		"nothing listed": {lists: [][]membership.Listing{{}}, self: membership.Gone},
		"own and another": {
			lists:   [][]membership.Listing{{listing("self", "i-1", "faults", 1, live), listing("b", "i-2", "faults", 1, live)}},
			serving: map[string]string{"self": "i-1", "b": "i-2"}, self: live,
		},
		"gone at once": {
			lists: [][]membership.Listing{
				{listing("self", "i-1", "faults", 1, live), listing("b", "i-2", "faults", 1, live)},
				{listing("self", "i-1", "faults", 1, live)},
			},
			serving: map[string]string{"self": "i-1"}, self: live,
		},
		"leaving": {
			lists: [][]membership.Listing{{listing("self", "i-1", "faults", 1, leaving), listing("b", "i-2", "faults", 1, leaving)}},
			self:  leaving,
		},
		"back after it left": {
			lists: [][]membership.Listing{
				{listing("b", "i-2", "faults", 1, leaving)}, {}, {listing("b", "i-2", "faults", 5, live)},
			},
			serving: map[string]string{"b": "i-2"}, self: membership.Gone,
		},
		"an address passes on": {
			lists: [][]membership.Listing{{
				listing("b", "i-9", "other", 7, live), listing("b", "i-2", "faults", 1, live),
			}},
			self: membership.Gone,
		},
		"the life that started last": {
			lists: [][]membership.Listing{{
				listing("b", "i-3", "faults", 8, live), listing("b", "i-2", "faults", 1, leaving),
			}},
			serving: map[string]string{"b": "i-3"}, self: membership.Gone,
		},
		"another service at the own address": {
			lists: [][]membership.Listing{
				{listing("self", "i-1", "faults", 1, live)}, {listing("self", "i-9", "other", 9, live)},
			},
			self: membership.Gone,
		},
		"a daemon that stops stays away": {
			lists: [][]membership.Listing{{listing("self", "i-1", "faults", 1, live)}}, stop: true, self: leaving,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := membership.New(membership.Config{Self: self, Incarnation: 77, Started: now})
			if test.stop {
				v.Leave(now)
			}
			for i, list := range test.lists {
				v.Replace(list, now.Add(time.Duration(i)*time.Second))
			}
			if v.Superseded() || v.Self().State != test.self {
				t.Errorf("own record %+v", v.Self())
			}
			serving := v.Serving("faults")
			if len(serving) != len(test.serving) {
				t.Fatalf("serving %+v", serving)
			}
			for _, r := range serving {
				if test.serving[r.ID] != r.Upstream {
					t.Errorf("serving %+v", r)
				}
			}
			last := test.lists[len(test.lists)-1]
			if v.Replace(last, now.Add(time.Minute)) {
				t.Error("the same list changes something")
			}
		})
	}
}
