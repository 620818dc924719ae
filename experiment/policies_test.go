package experiment_test

import (
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/experiment"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/standin"
)

// baseSwitches are the actions that a sensible team has beside a simple
// policy: retries within a budget, and shedding.
var baseSwitches = []config.Action{config.Retry, config.Shed, config.Probe}

// pollEvery is how often the baseline twoChoices has each daemon read the load
// of each upstream.
const pollEvery = 100 * time.Millisecond

// policies returns all policies, in the order of the table.
func policies() []experiment.Policy {
	return []experiment.Policy{
		{Name: "oracle", Allow: baseSwitches, Chooser: oracle},
		experiment.Ours(),
		{Name: "random", Allow: baseSwitches, Chooser: random},
		{Name: "round robin", Allow: baseSwitches, Chooser: roundRobin},
		{Name: "least in flight", Allow: baseSwitches, Chooser: leastInFlight},
		{Name: "two choices", Allow: baseSwitches, Chooser: twoChoices, Poll: pollEvery},
		experiment.Without(config.Hedge),
		experiment.Without(config.HandOn),
		experiment.Without(config.Retry),
		experiment.AllOff(),
	}
}

func random(v experiment.View) node.Choose {
	return func(candidates []balance.Candidate, avoid []string, _ time.Time) (int, bool) {
		list := experiment.Allowed(candidates, avoid)
		if len(list) == 0 {
			return -1, false
		}
		return list[v.Rand()%uint64(len(list))], true
	}
}

func roundRobin(v experiment.View) node.Choose {
	next := map[string]uint64{}
	return func(candidates []balance.Candidate, avoid []string, _ time.Time) (int, bool) {
		list := experiment.Allowed(candidates, avoid)
		if len(list) == 0 {
			return -1, false
		}
		// A daemon passes on the calls of several services.
		service := candidates[0].ID
		if next[service] == 0 {
			next[service] = v.Rand() >> 32
		}
		next[service]++
		return list[next[service]%uint64(len(list))], true
	}
}

// least returns the candidate with the least cost, and one of them by chance
// where several have it.
func least(v experiment.View, list []int, cost func(i int) (float64, bool)) (int, bool) {
	best, lowest, equals := -1, 0.0, uint64(0)
	for _, i := range list {
		c, ok := cost(i)
		switch {
		case !ok:
			continue
		case best < 0 || c < lowest:
			best, lowest, equals = i, c, 1
		case c == lowest:
			equals++
			if v.Rand()%equals == 0 {
				best = i
			}
		}
	}
	return best, best >= 0
}

func leastInFlight(v experiment.View) node.Choose {
	return func(candidates []balance.Candidate, avoid []string, now time.Time) (int, bool) {
		return least(v, experiment.Allowed(candidates, avoid), func(i int) (float64, bool) {
			return float64(v.Ledger.InFlight(v.Daemon, candidates[i].ID, now)), true
		})
	}
}

// twoChoices takes the better of two candidates by the load that this daemon
// last read and what it has sent since, and passes over what says that it
// drains or gives no answer, unless there is nothing else.
func twoChoices(v experiment.View) node.Choose {
	cost := func(id string, now time.Time) (float64, bool) {
		load, at, ok := v.Polled(id)
		own := v.Ledger.Since(v.Daemon, id, at, now)
		return float64(load.InFlight + own), ok && load.State != standin.Draining
	}
	return func(candidates []balance.Candidate, avoid []string, now time.Time) (int, bool) {
		list := experiment.Allowed(candidates, avoid)
		var open []int
		for _, i := range list {
			if _, ok := cost(candidates[i].ID, now); ok {
				open = append(open, i)
			}
		}
		if len(open) > 0 {
			list = open
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

// oracle knows every attempt under way, how slow each upstream is, and which
// give no answers. It takes the least of the round trip, the time until a slot
// is free and the service time.
func oracle(v experiment.View) node.Choose {
	return func(candidates []balance.Candidate, avoid []string, now time.Time) (int, bool) {
		list := experiment.Allowed(candidates, avoid)
		return least(v, list, func(i int) (float64, bool) {
			c := candidates[i]
			if !v.Ledger.Open(v.Daemon, c.ID) {
				return 0, false
			}
			service := float64(v.ServiceTime) * v.Ledger.Factor(c.ID, now)
			ahead := v.Ledger.Total(c.ID, now) + 1 - v.Size.Slots
			waiting := float64(max(ahead, 0)) * service / float64(v.Size.Slots)
			return float64(v.RoundTrip(c.Zone)) + waiting + service, true
		})
	}
}
