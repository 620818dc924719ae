// Package measure decides when a daemon probes its local upstream.
//
// Probes cost the upstream processing time, so they are limited by a budget
// that operators set. The budget of the probes started by Next is a token
// bucket that holds one token and starts below empty: any window of time has
// at most one probe more than the budget grants, even when the process is
// paused, restarted or reconfigured. Only one probe runs at a time, and the
// time it takes does not refill the bucket for the next one.
//
//	meter := measure.New(measure.Config{Rand: rand.Uint64})
//	meter.SetBudget(2, true, now)
//	switch action, wakeAt := meter.Next(now); action {
//	case measure.Probe: // send GET /load, then call Done with the result
//	case measure.Cancel: // cancel the running probe, then call Done
//	case measure.Wait: // call Next again at wakeAt
//	}
package measure
