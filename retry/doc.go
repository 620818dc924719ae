// Package retry decides whether a call that did not get its answer may be
// tried again, and whether a slow one may be hedged.
//
// The rules keep three promises. A request that is not idempotent is sent again
// only when the last attempt is proved not to have run. Attempts beyond the
// first are a small share of the first ones. The number of attempts travels
// with the call, so that calls made in turn by upstreams do not multiply them.
//
//	policy := retry.New(retry.Config{RetryPercent: 10})
//	policy.First(request.Attempt, now)
//	...
//	try := retry.Try{Idempotent: true, Replayable: true, Made: 1, Last: call.Unknown, Deadline: deadline}
//	if policy.Again(try, now).Allowed {
//		// send it to another upstream, with the attempt number one higher
//	}
//
// The budget is that of Finagle's RetryBudget; hedging follows Dean and
// Barroso, The Tail at Scale, 2013.
package retry
