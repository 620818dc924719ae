package config

import "slices"

// Action is an automatic action that operators can switch off.
type Action string

// Automatic actions.
const (
	// Retry resends a failed call.
	Retry Action = "retry"
	// Hedge sends a second copy of a slow call.
	Hedge Action = "hedge"
	// Eject excludes a failing instance from load balancing.
	Eject Action = "eject"
	// SpillOver sends calls to another availability zone.
	SpillOver Action = "spillOver"
	// HandOn forwards a call that has not run yet from a full daemon to a sibling.
	HandOn Action = "handOn"
	// Shed rejects calls that would wait in the queue past their deadline.
	Shed Action = "shed"
	// LeastCost decides, beside Shed, by the work of calls too which of them are rejected
	// when not all can be in time.
	LeastCost Action = "leastCost"
	// SlowStart sends fewer calls to an instance that has just started.
	SlowStart Action = "slowStart"
	// Quarantine rejects requests that crash upstreams.
	Quarantine Action = "quarantine"
	// LoadAware chooses upstreams by load instead of round robin.
	LoadAware Action = "loadAware"
	// Probe measures upstreams with dedicated requests.
	Probe Action = "probe"
)

var actions = []Action{
	Retry, Hedge, Eject, SpillOver, HandOn,
	Shed, SlowStart, Quarantine, LoadAware, Probe, LeastCost,
}

// Actions returns all actions, in the order used in reports.
func Actions() []Action { return slices.Clone(actions) }

// bit returns the bit that represents a in a bit set, or 0 for an unknown action.
func (a Action) bit() uint32 {
	i := slices.Index(actions, a)
	if i < 0 {
		return 0
	}
	return 1 << i
}
