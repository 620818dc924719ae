// Package retry decides whether a call that got no usable answer may be retried,
// and whether a slow one may be hedged.
//
// The rules give three guarantees. A request that is not idempotent is sent again
// only if the last attempt is proved not to have run. Attempts beyond the first
// are limited to a small share of the first ones. The attempt number is sent with
// the call, so that attempts do not multiply along a chain of calls.
//
//	policy := retry.New(retry.Config{RetryPercent: 10})
//	policy.CountFirst(request.Attempt)
//	...
//	state := retry.CallState{Idempotent: true, Replayable: true, AttemptsMade: 1, LastOutcome: call.Unknown, Deadline: deadline}
//	if policy.AllowRetry(state, now).Allowed {
//		// send it to another upstream, with the next attempt number
//	}
//
// The budget follows Finagle's RetryBudget; hedging follows Dean and Barroso, The
// Tail at Scale, 2013.
package retry
