package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/balance"
)

// TestFirstChoicesAreSpread: the first choices of the daemons of a zone, which know
// nothing yet, are spread over all upstreams of that zone. Candidates are sorted by ID,
// so those of one zone stand together.
func TestFirstChoicesAreSpread(t *testing.T) {
	tests := map[string]struct{ zones, perZone int }{
		"a small service":      {3, 2},
		"a service of 44":      {4, 11},
		"a service of 145":     {5, 29},
		"one zone":             {1, 40},
		"more zones than each": {12, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var candidates []balance.Candidate
			for zone := range test.zones {
				for i := range test.perZone {
					candidates = append(candidates, balance.Candidate{ID: fmt.Sprintf("10.%d.0.%02d", zone, i), Zone: fmt.Sprint(zone), Incarnation: 1})
				}
			}
			const picks = 3000
			now := time.Unix(1_800_000_000, 0)
			chosen := map[string]int{}
			for range picks {
				p := balance.New(balance.Config{
					SelfZone: fmt.Sprint(test.zones / 2), Rand: random.Uint64, SameZoneChoices: 16,
					LinkCost: func(string) time.Duration { return 6 * time.Millisecond },
				})
				i, ok := p.Pick(candidates, nil, balance.Options{LoadAware: true, SpillOver: true, ExpectedWork: 200 * time.Millisecond}, now)
				if !ok {
					t.Fatal("got no choice")
				}
				chosen[candidates[i].ID]++
			}
			mean := picks / test.perZone
			if len(chosen) != test.perZone {
				t.Errorf("got %d upstreams, want the %d of the zone", len(chosen), test.perZone)
			}
			for id, n := range chosen {
				if n > 2*mean {
					t.Errorf("%s was chosen %d times, want at most twice the mean of %d", id, n, mean)
				}
			}
		})
	}
}
