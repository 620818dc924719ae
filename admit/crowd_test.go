package admit_test

import (
	"fmt"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/admit"
)

// crowdedUpstream offers a gate of 10 slots more than it can run for a while;
// calls take 100 ms, and the factor as long where more than 8 run. It returns
// the most calls that ran at once in the last tenth of the time.
func crowdedUpstream(t *testing.T, easy int, factor float64) int {
	t.Helper()
	const length = 6000
	g := admit.New(admit.Config{})
	g.Resize(admit.Limits{Slots: 10, Easy: easy, Queue: 20, Shed: true, Paced: true}, began)
	ends := map[int][]string{}
	took := map[string]int{}
	running, most := 0, 0
	note := func(actions []admit.Action, now int) {
		for _, a := range actions {
			if a.Kind != admit.Start {
				continue
			}
			running++
			took[a.CallID] = 100
			if running > 8 {
				took[a.CallID] = int(100 * factor)
			}
			ends[now+took[a.CallID]] = append(ends[now+took[a.CallID]], a.CallID)
		}
	}
	for now := range length {
		note(g.Measured(100, ms(now)), now)
		for _, id := range ends[now] {
			running--
			note(g.Finish(id, time.Duration(took[id])*time.Millisecond, ms(now)), now)
		}
		// The load swings from light to more than all slots can run.
		if every := 25 - 20*(now/500%2); now%every == 0 {
			note(g.Arrive(paced(fmt.Sprint(now), now+400), ms(now)), now)
		}
		if now > length*9/10 {
			most = max(most, running)
		}
	}
	return most
}

func TestSlotsAreLeftFreeWhereCrowdingCosts(t *testing.T) {
	tests := map[string]struct {
		easy   int
		factor float64
		want   int
	}{
		"no slower when nearly full":  {8, 1, 10},
		"slower when nearly full":     {8, 1.7, 8},
		"a little slower":             {8, 1.1, 10},
		"nothing is known to be easy": {0, 1.7, 10},
		"all slots are known as easy": {10, 1.7, 10},
		"more is easy than there are": {12, 1.7, 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := crowdedUpstream(t, test.easy, test.factor); got != test.want {
				t.Fatalf("%d calls run at once, want %d", got, test.want)
			}
		})
	}
}
