package experiment_test

import (
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/experiment"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/standin"
)

// baselineActions lists the actions that a reasonable deployment would combine with a
// simple policy: retries within a budget, load shedding, and probes.
var baselineActions = []config.Action{config.Retry, config.Shed, config.Probe}

// pollInterval is how often each daemon polls the load of each upstream under the
// policy twoChoices.
const pollInterval = 100 * time.Millisecond

// policies returns all policies in the order of the table.
func policies() []experiment.Policy {
	return []experiment.Policy{
		{Name: "oracle", Allow: baselineActions, Chooser: oracle},
		experiment.AllOn(),
		{Name: "random", Allow: baselineActions, Chooser: random},
		{Name: "round robin", Allow: baselineActions, Chooser: roundRobin},
		{Name: "least in flight", Allow: baselineActions, Chooser: leastInFlight},
		{Name: "two choices", Allow: baselineActions, Chooser: twoChoices, PollInterval: pollInterval},
		experiment.Without(config.Hedge),
		experiment.Without(config.HandOn),
		experiment.Without(config.Retry),
		experiment.AllOff(),
	}
}

func random(v experiment.View) node.Choose {
	return func(candidates []balance.Candidate, avoid []string, _ time.Time) (int, bool) {
		list := experiment.NotAvoided(candidates, avoid)
		if len(list) == 0 {
			return -1, false
		}
		return list[v.Rand()%uint64(len(list))], true
	}
}

func roundRobin(v experiment.View) node.Choose {
	next := map[string]uint64{}
	return func(candidates []balance.Candidate, avoid []string, _ time.Time) (int, bool) {
		list := experiment.NotAvoided(candidates, avoid)
		if len(list) == 0 {
			return -1, false
		}
		// A daemon forwards calls to several services; the ID of the first candidate
		// identifies the service.
		firstID := candidates[0].ID
		if next[firstID] == 0 {
			next[firstID] = v.Rand() >> 32
		}
		next[firstID]++
		return list[next[firstID]%uint64(len(list))], true
	}
}

// leastCost returns the candidate with the lowest cost. Ties are broken at random, and
// candidates for which cost returns false are skipped.
func leastCost(v experiment.View, list []int, cost func(i int) (float64, bool)) (int, bool) {
	best, lowest, ties := -1, 0.0, uint64(0)
	for _, i := range list {
		c, ok := cost(i)
		switch {
		case !ok:
			continue
		case best < 0 || c < lowest:
			best, lowest, ties = i, c, 1
		case c == lowest:
			ties++
			if v.Rand()%ties == 0 {
				best = i
			}
		}
	}
	return best, best >= 0
}

func leastInFlight(v experiment.View) node.Choose {
	return func(candidates []balance.Candidate, avoid []string, now time.Time) (int, bool) {
		return leastCost(v, experiment.NotAvoided(candidates, avoid), func(i int) (float64, bool) {
			return float64(v.FleetState.InFlight(v.Daemon, candidates[i].ID, now)), true
		})
	}
}

// twoChoices draws two candidates at random and chooses the one with less load, which
// is the calls in flight at this daemon's last poll plus the attempts it has started
// since. Upstreams that are draining or did not answer the last poll are skipped
// unless there are no others.
func twoChoices(v experiment.View) node.Choose {
	cost := func(id string, now time.Time) (float64, bool) {
		load, at, ok := v.LastLoad(id)
		sentSince := v.FleetState.InFlightSince(v.Daemon, id, at, now)
		return float64(load.InFlight + sentSince), ok && load.State != standin.Draining
	}
	return func(candidates []balance.Candidate, avoid []string, now time.Time) (int, bool) {
		list := experiment.NotAvoided(candidates, avoid)
		var available []int
		for _, i := range list {
			if _, ok := cost(candidates[i].ID, now); ok {
				available = append(available, i)
			}
		}
		if len(available) > 0 {
			list = available
		}
		if len(list) == 0 {
			return -1, false
		}
		first := list[v.Rand()%uint64(len(list))]
		second := list[v.Rand()%uint64(len(list))]
		a, _ := cost(candidates[first].ID, now)
		b, _ := cost(candidates[second].ID, now)
		if b < a {
			return second, true
		}
		return first, true
	}
}

// oracle knows every attempt in flight, the slowdown of each upstream, and which
// upstreams are unavailable. It minimizes the sum of the round-trip time, the expected
// wait for a free slot and the service time.
func oracle(v experiment.View) node.Choose {
	return func(candidates []balance.Candidate, avoid []string, now time.Time) (int, bool) {
		list := experiment.NotAvoided(candidates, avoid)
		return leastCost(v, list, func(i int) (float64, bool) {
			c := candidates[i]
			if !v.FleetState.Available(v.Daemon, c.ID) {
				return 0, false
			}
			service := float64(v.ServiceTime) * v.FleetState.SlowdownFactor(c.ID, now)
			ahead := v.FleetState.TotalInFlight(c.ID, now) + 1 - v.Size.Slots
			waiting := float64(max(ahead, 0)) * service / float64(v.Size.Slots)
			return float64(v.RoundTrip(c.Zone)) + waiting + service, true
		})
	}
}
