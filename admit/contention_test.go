package admit_test

import (
	"fmt"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/admit"
)

// maxRunningCalls sends a gate with 10 slots a load that periodically exceeds its
// capacity. Calls take 100 ms, multiplied by factor if they start while more than 8
// are running. It returns the maximum number of running calls in the last tenth of
// the run.
func maxRunningCalls(t *testing.T, uncontendedSlots int, factor float64) int {
	t.Helper()
	const lengthMs = 6000
	g := admit.New(admit.Config{})
	g.SetLimits(admit.Limits{Slots: 10, UncontendedSlots: uncontendedSlots, Queue: 20, Shed: true, Paced: true}, paceStart)
	ends := map[int][]string{}
	took := map[string]int{}
	running, maxRunning := 0, 0
	record := func(actions []admit.Action, now int) {
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
	for now := range lengthMs {
		record(g.Measured(100, paceAt(now)), now)
		for _, id := range ends[now] {
			running--
			record(g.Finish(id, time.Duration(took[id])*time.Millisecond, paceAt(now)), now)
		}
		// The load alternates between light and more than all slots can run.
		if interval := 25 - 20*(now/500%2); now%interval == 0 {
			record(g.Arrive(pacedRequest(fmt.Sprint(now), now+400), paceAt(now)), now)
		}
		if now > lengthMs*9/10 {
			maxRunning = max(maxRunning, running)
		}
	}
	return maxRunning
}

func TestContentionLimitsRunningCalls(t *testing.T) {
	tests := map[string]struct {
		uncontendedSlots int
		factor           float64
		want             int
	}{
		"no slowdown when nearly full":   {8, 1, 10},
		"slowdown when nearly full":      {8, 1.7, 8},
		"small slowdown":                 {8, 1.1, 10},
		"UncontendedSlots not set":       {0, 1.7, 10},
		"UncontendedSlots equals Slots":  {10, 1.7, 10},
		"UncontendedSlots exceeds Slots": {12, 1.7, 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := maxRunningCalls(t, test.uncontendedSlots, test.factor); got != test.want {
				t.Fatalf("at most %d calls ran at once, want %d", got, test.want)
			}
		})
	}
}
