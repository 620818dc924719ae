// Package balance chooses the upstream that a call is sent to. It works from
// data that is always out of date: load reports, which age in transit, and the
// daemon's own calls since.
//
// A Picker serves one service of one daemon. It is a plain state machine: the
// daemon reports the calls that it started and finished and the load reports
// that it received, and asks for a choice.
//
//	picker := balance.New(balance.Config{SelfZone: "a", LinkCost: cost, Rand: rand.Uint64})
//	i, ok := picker.Pick(candidates, tried, options, now)
//	if !ok {
//		return call.NotRun // no candidate may take the call
//	}
//	picker.Started(candidates[i].ID, now)
//	...
//	picker.ObserveLoad(id, load, now)
//	picker.Finished(id, balance.Result{Latency: latency}, now)
//
// Each candidate is given a predicted cost in time: the extra round trip of the
// link, the wait for a slot, the service time, and a penalty for failures and
// refusals. The cheapest of a few candidates is chosen (Mitzenmacher, The Power
// of Two Choices in Randomized Load Balancing, 2001).
//
// The pace of an upstream is its current processing time in percent of nominal:
// at a pace of 200 the same work takes twice as long.
package balance
