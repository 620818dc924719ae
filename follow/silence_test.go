package follow_test

import (
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/follow"
)

func TestWatchFor(t *testing.T) {
	tests := map[string]struct {
		daemons int
		want    time.Duration
	}{
		"alone":       {1, 1500 * time.Millisecond},
		"small fleet": {12, 1500 * time.Millisecond},
		"some dozens": {80, 8 * time.Second},
		"large fleet": {2800, follow.DefaultWatchFor},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := follow.WatchFor(test.daemons); got != test.want {
				t.Fatalf("%s, want %s", got, test.want)
			}
		})
	}
}

func TestHeard(t *testing.T) {
	listedAt5 := event{0, listed(5, false, item("a", 1))}
	tests := map[string]struct {
		events []event
		// heard are the times at which others are at the revision; given are
		// those at which the watch is given up.
		heard    []int
		revision uint64
		given    []int
	}{
		"others hold the same":           {[]event{listedAt5}, []int{10, 500, 1000}, 5, nil},
		"others hold less":               {[]event{listedAt5}, []int{10, 500, 1000}, 4, nil},
		"others are ahead for long":      {[]event{listedAt5}, []int{10, 100, 409, 410, 900, 2000}, 6, []int{410}},
		"the answer comes":               {[]event{listedAt5, {100, watched(6, item("a", 6))}}, []int{110, 2000}, 6, nil},
		"the next watch is put off":      {[]event{listedAt5, {100, watched(6, item("a", 6))}}, []int{110, 600, 1099}, 7, nil},
		"and shows nothing either":       {[]event{listedAt5, {100, watched(6, item("a", 6))}}, []int{600, 1100, 1499, 1500}, 7, []int{1500}},
		"the store is known to be away":  {[]event{listedAt5, {100, failed}}, []int{110, 1000, 2000}, 9, nil},
		"nothing has been read yet":      {[]event{{0, asked}}, []int{110, 1000, 2000}, 9, nil},
		"given up again after an answer": {[]event{listedAt5}, []int{0, 400}, 6, []int{400}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := played(test.events)
			var given []int
			for _, ms := range test.heard {
				if f.Heard(test.revision, at(ms)) {
					given = append(given, ms)
				}
			}
			if len(given) != len(test.given) || len(given) > 0 && given[0] != test.given[0] {
				t.Fatalf("given up at %v, want %v", given, test.given)
			}
		})
	}
}

// TestGivenUpWatchAsksNeighbours: if the store does not answer the next call
// either, a neighbour is asked.
func TestGivenUpWatchAsksNeighbours(t *testing.T) {
	f := follow.New(follow.Config{})
	listed(5, false, item("a", 1))(f, at(0))
	f.Heard(6, at(0))
	if !f.Heard(6, at(400)) || f.Ask(at(699)) || !f.Ask(at(700)) {
		t.Fatal("no neighbour is asked 300 ms after the watch was given up")
	}
}
