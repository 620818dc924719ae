package config

import "slices"

// Action is one thing that the fleet does by itself and that operators can
// switch off.
type Action string

// The automatic actions.
const (
	// Retry sends a call again after a failure.
	Retry Action = "retry"
	// Hedge sends a second copy of a slow call.
	Hedge Action = "hedge"
	// Eject takes a failing instance out of choice.
	Eject Action = "eject"
	// SpillOver sends calls to another availability zone.
	SpillOver Action = "spillOver"
	// HandOn passes a call from a full daemon to a sibling before it runs.
	HandOn Action = "handOn"
	// Shed refuses calls that would wait past their deadline.
	Shed Action = "shed"
	// SlowStart sends fewer calls to an instance that has just started.
	SlowStart Action = "slowStart"
	// Quarantine refuses requests that crash upstreams.
	Quarantine Action = "quarantine"
	// LoadAware chooses upstreams by their load in place of by turns.
	LoadAware Action = "loadAware"
	// Probe measures upstreams with requests of its own.
	Probe Action = "probe"
)

var actions = []Action{
	Retry, Hedge, Eject, SpillOver, HandOn,
	Shed, SlowStart, Quarantine, LoadAware, Probe,
}

// Actions returns every action, in the order that reports list them.
func Actions() []Action { return slices.Clone(actions) }

// bit returns the bit of a in a set of actions, or 0 for an unknown action.
func (a Action) bit() uint32 {
	i := slices.Index(actions, a)
	if i < 0 {
		return 0
	}
	return 1 << i
}
