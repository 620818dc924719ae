// Package measure decides when a daemon probes its own upstream.
//
// A probe costs the upstream time, so probes are counted against a budget that
// operators set. The budget is a token bucket that holds one token and starts
// below empty: in any window of time there are at most one probe more than the
// budget gives, also when the process is paused, restarted or reconfigured.
// Two probes are never under way together, and the time that one takes does
// not count towards the next.
//
//	meter := measure.New(measure.Config{Rand: rand.Uint64})
//	meter.SetBudget(2, true, now)
//	switch action, wakeAt := meter.Next(now); action {
//	case measure.Probe: // send GET /load, and call Done with what came of it
//	case measure.Cancel: // give up the probe under way, then call Done
//	case measure.Wait: // call Next again at wakeAt
//	}
package measure
