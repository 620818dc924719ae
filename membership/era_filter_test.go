package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/membership"
)

// TestEraFilter guards against upstreams that come back with an older copy of the store.
func TestEraFilter(t *testing.T) {
	type list struct {
		era, revision uint64
		// entries are "ID incarnation state revision".
		entries []string
		// used are the IDs in use, with "-" before those that are leaving.
		used []string
		at   time.Duration
	}
	tests := map[string][]list{
		"leaving stays leaving": {
			{4, 20, []string{"a 1 live 5", "b 1 leaving 12"}, []string{"a", "-b"}, 0},
			{5, 8, []string{"a 1 live 5", "b 1 live 6"}, []string{"a", "-b"}, time.Second},
			{5, 30, []string{"a 1 live 5", "b 1 live 25"}, []string{"a", "-b"}, 2 * time.Second},
			{6, 9, []string{"a 1 live 5", "b 1 live 6"}, []string{"a", "-b"}, 20 * time.Minute},
		},
		"a new incarnation of it is live": {
			{4, 20, []string{"b 1 leaving 12"}, []string{"-b"}, 0},
			{5, 8, []string{"b 1 live 6"}, []string{"-b"}, time.Second},
			{5, 9, []string{"b 2 live 9"}, []string{"b"}, 2 * time.Second},
		},
		"gone stays gone": {
			{4, 20, []string{"a 1 live 5", "b 1 live 6"}, []string{"a", "b"}, 0},
			{4, 25, []string{"a 1 live 5"}, []string{"a"}, time.Second},
			{5, 8, []string{"a 1 live 5", "b 1 live 6"}, []string{"a"}, 2 * time.Second},
			{5, 50, []string{"a 1 live 5", "b 1 live 6"}, []string{"a"}, 30 * time.Minute},
		},
		"gone until written again, with a low revision": {
			{4, 20, []string{"b 1 live 6"}, []string{"b"}, 0},
			{4, 25, nil, nil, time.Second},
			{5, 8, []string{"b 1 live 6"}, nil, 2 * time.Second},
			{5, 9, []string{"b 1 live 9"}, []string{"b"}, 3 * time.Second},
			{5, 10, []string{"b 1 live 9"}, []string{"b"}, 4 * time.Second},
		},
		"written again before the first list": {
			{4, 20, []string{"b 1 live 6"}, []string{"b"}, 0},
			{4, 25, nil, nil, time.Second},
			{5, 40, []string{"b 1 live 31"}, []string{"b"}, 2 * time.Second},
		},
		"written by the older copy after it was last seen": {
			{4, 20, []string{"b 1 live 6"}, []string{"b"}, 0},
			{4, 25, nil, nil, time.Second},
			{5, 23, []string{"b 1 live 22"}, nil, 2 * time.Second},
		},
		"removed and back in the same era": {
			{4, 20, []string{"b 1 live 6"}, []string{"b"}, 0},
			{4, 25, nil, nil, time.Second},
			{4, 26, []string{"b 1 live 26"}, []string{"b"}, 2 * time.Second},
			{5, 8, []string{"b 1 live 6"}, []string{"b"}, 3 * time.Second},
		},
		"an earlier run under the same key": {
			{4, 20, []string{"b 7 live 12"}, []string{"b"}, 0},
			{5, 8, []string{"b 3 live 6"}, nil, time.Second},
			{5, 9, []string{"b 7 live 9"}, []string{"b"}, 2 * time.Second},
		},
		"replaced at its address": {
			{4, 20, []string{"b 1 live 6"}, []string{"b"}, 0},
			{4, 25, []string{"c 2 live 24"}, []string{"c"}, time.Second},
			{5, 8, []string{"b 1 live 6", "c 2 live 24"}, []string{"c"}, 2 * time.Second},
			{5, 8, []string{"b 1 live 6"}, nil, 5 * time.Second},
		},
		"leaving within an era ends as the store says": {
			{4, 20, []string{"b 1 leaving 12"}, []string{"-b"}, 0},
			{4, 21, []string{"b 1 live 21"}, []string{"b"}, time.Second},
		},
		"leaving and removed": {
			{4, 20, []string{"b 1 leaving 12"}, []string{"-b"}, 0},
			{4, 25, nil, nil, time.Second},
			{5, 8, []string{"b 1 live 6"}, nil, 2 * time.Second},
		},
		"a store that names no era": {
			{0, 20, []string{"b 1 leaving 12"}, []string{"-b"}, 0},
			{0, 8, []string{"b 1 live 6"}, []string{"b"}, time.Second},
		},
		"started during the return": {
			{5, 8, []string{"a 1 live 5", "b 1 live 6"}, []string{"a", "b"}, 0},
		},
	}
	for name, lists := range tests {
		t.Run(name, func(t *testing.T) {
			var filter membership.EraFilter
			for i, l := range lists {
				var entries []membership.StoreEntry
				for _, text := range l.entries {
					var e membership.StoreEntry
					_, _ = fmt.Sscan(text, &e.UpstreamIncarnation, &e.Incarnation, &e.State, &e.Revision)
					entries = append(entries, e)
				}
				var used []string
				for _, e := range filter.Filter(entries, l.era, l.revision, time.Unix(1_800_000_000, 0).Add(l.at)) {
					id := e.UpstreamIncarnation
					if e.State == membership.Leaving {
						id = "-" + id
					}
					used = append(used, id)
				}
				if !slices.Equal(used, l.used) {
					t.Fatalf("list %d: got %v in use, want %v", i, used, l.used)
				}
			}
		})
	}
}
