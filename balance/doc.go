// Package balance chooses the upstream that a call is sent to, from knowledge
// that is always old: load reports that have aged on the way, and the daemon's
// own calls since.
//
// A Picker serves one service of one daemon. It is a plain state machine: the
// daemon tells it what it started, finished and heard, and asks it to pick.
//
//	picker := balance.New(balance.Config{SelfZone: "a", LinkCost: cost, Rand: rand.Uint64})
//	i, ok := picker.Pick(candidates, tried, options, now)
//	if !ok {
//		return call.NotRun // no candidate may take the call
//	}
//	picker.Started(candidates[i].ID, now)
//	...
//	picker.Heard(id, load, now)
//	picker.Finished(id, balance.Result{Latency: latency}, now)
//
// Each candidate is given a predicted cost in time: the link's extra round
// trip, the wait for a slot, the service time, and a penalty for failures and
// refusals. The lowest of a few candidates is chosen (Mitzenmacher, The Power
// of Two Choices in Randomized Load Balancing, 2001).
package balance
