package follow_test

import (
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/follow"
)

func TestWatchTimeout(t *testing.T) {
	tests := map[string]struct {
		daemons int
		want    time.Duration
	}{
		"single daemon": {1, 1500 * time.Millisecond},
		"small fleet":   {12, 1500 * time.Millisecond},
		"medium fleet":  {80, 8 * time.Second},
		"large fleet":   {2800, follow.DefaultWatchTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := follow.WatchTimeout(test.daemons); got != test.want {
				t.Fatalf("got %s, want %s", got, test.want)
			}
		})
	}
}

func TestObserve(t *testing.T) {
	listedAt5 := event{0, listed(5, false, item("a", 1))}
	tests := map[string]struct {
		events []event
		// observedMs are the times at which another daemon reports the revision;
		// abandonedMs are those at which the watch is abandoned.
		observedMs  []int
		revision    uint64
		abandonedMs []int
	}{
		"same revision":                 {[]event{listedAt5}, []int{10, 500, 1000}, 5, nil},
		"older revision":                {[]event{listedAt5}, []int{10, 500, 1000}, 4, nil},
		"later revision for too long":   {[]event{listedAt5}, []int{10, 100, 409, 410, 900, 2000}, 6, []int{410}},
		"watch returns the change":      {[]event{listedAt5, {100, watched(6, item("a", 6))}}, []int{110, 2000}, 6, nil},
		"next watch is delayed":         {[]event{listedAt5, {100, watched(6, item("a", 6))}}, []int{110, 600, 1099}, 7, nil},
		"next watch returns nothing":    {[]event{listedAt5, {100, watched(6, item("a", 6))}}, []int{600, 1100, 1499, 1500}, 7, []int{1500}},
		"store fault":                   {[]event{listedAt5, {100, failed}}, []int{110, 1000, 2000}, 9, nil},
		"nothing listed yet":            {[]event{{0, nextCalled}}, []int{110, 1000, 2000}, 9, nil},
		"revision ahead from the start": {[]event{listedAt5}, []int{0, 400}, 6, []int{400}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := followerAfter(test.events)
			var abandoned []int
			for _, ms := range test.observedMs {
				if f.Observe(follow.Version{Revision: test.revision}, at(ms)) {
					abandoned = append(abandoned, ms)
				}
			}
			if len(abandoned) != len(test.abandonedMs) || len(abandoned) > 0 && abandoned[0] != test.abandonedMs[0] {
				t.Fatalf("abandoned at %v ms, want %v ms", abandoned, test.abandonedMs)
			}
		})
	}
}

// TestAbandonedWatchQueriesOtherDaemons: if the store does not answer the list after an
// abandoned watch either, another daemon is queried.
func TestAbandonedWatchQueriesOtherDaemons(t *testing.T) {
	f := follow.New(follow.Config{})
	listed(5, false, item("a", 1))(f, at(0))
	f.Observe(follow.Version{Revision: 6}, at(0))
	if !f.Observe(follow.Version{Revision: 6}, at(400)) || f.QueryDue(at(699)) || !f.QueryDue(at(700)) {
		t.Fatal("want a query exactly 300 ms after the watch is abandoned")
	}
}

// TestPollerIgnoresOthersRevisions: a reader delays its next watch after a change, and so
// lags behind other zones for a while.
func TestPollerIgnoresOthersRevisions(t *testing.T) {
	f := poller()
	for _, ms := range []int{100, 600, 1200} {
		if f.Observe(follow.Version{Revision: 6}, at(ms)) {
			t.Fatalf("got a restart after %d ms, want none", ms)
		}
	}
}
