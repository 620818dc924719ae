package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/balance"
)

// TestCallsStayInRegion guards against calls that cross to another region although they
// would meet their target in their own, and against calls that miss it there while another
// region has capacity. The load is that of zones whose demand swings out of step.
func TestCallsStayInRegion(t *testing.T) {
	const (
		work   = 100 * time.Millisecond
		slots  = 8
		target = 500 * time.Millisecond
	)
	tests := map[string]struct {
		// nearCalls and farCalls are the calls at each upstream of the own region and of
		// the other one.
		nearCalls, farCalls int
		target              time.Duration
		region              string
		minFar, maxFar      int // percent
	}{
		"a wait, target can be met": {nearCalls: 24, farCalls: 0, target: target, region: "north", maxFar: 0},
		"target cannot be met":      {nearCalls: 60, farCalls: 0, target: target, region: "north", minFar: 95, maxFar: 100},
		"no region has capacity":    {nearCalls: 60, farCalls: 60, target: target, region: "north", maxFar: 5},
		"no target":                 {nearCalls: 24, farCalls: 0, region: "north", minFar: 95, maxFar: 100},
		// Two candidates outside the zone are compared, which may both be near.
		"regions unknown":                   {nearCalls: 24, farCalls: 0, target: target, minFar: 60, maxFar: 100},
		"the nearer zone of the region too": {nearCalls: 8, farCalls: 0, target: target, region: "north", maxFar: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			p := balance.New(balance.Config{
				SelfZone: "north-a", SelfRegion: test.region, Rand: random.Uint64, SameZoneChoices: 16,
				LinkCost: func(zone string) time.Duration {
					if zone == "south-a" || zone == "south-b" {
						return 60 * time.Millisecond
					}
					return 3 * time.Millisecond
				},
			})
			now := time.Unix(1_800_000_000, 0)
			var candidates []balance.Candidate
			for _, zone := range []string{"north-a", "north-b", "south-a", "south-b"} {
				for i := range 9 {
					c := balance.Candidate{ID: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Incarnation: 1}
					calls := test.nearCalls
					if zone[0] == 's' {
						calls = test.farCalls
					}
					if test.region != "" {
						c.Region = zone[:5]
					}
					candidates = append(candidates, c)
					p.ObserveLoad(c.ID, balance.Load{
						State: balance.Serving, InFlight: min(calls, slots), Queued: max(calls-slots, 0), Slots: slots, ServiceTime: work,
					}, now)
				}
			}
			const picks = 1000
			far := 0
			for range picks {
				i, ok := p.Pick(candidates, nil, balance.Options{
					LoadAware: true, SpillOver: true, ExpectedWork: work, TimeToTarget: test.target,
				}, now)
				if !ok {
					t.Fatal("got no choice")
				}
				if candidates[i].Zone[0] == 's' {
					far++
				}
			}
			if percent := 100 * far / picks; percent < test.minFar || percent > test.maxFar {
				t.Errorf("%d %% of the calls left the region, want %d to %d", percent, test.minFar, test.maxFar)
			}
		})
	}
}
