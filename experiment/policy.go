package experiment

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/standin"
)

// Policy is a way to choose upstreams, combined with a set of automatic actions.
type Policy struct {
	Name string
	// Allow lists the actions that are switched on.
	Allow []config.Action
	// Chooser returns the function that chooses the upstreams for a daemon; nil
	// means package balance.
	Chooser func(View) node.Choose
	// PollInterval is how often each daemon polls the load of each upstream; 0
	// disables polling.
	PollInterval time.Duration
}

// View is the input of a Chooser. A baseline policy must use only what a daemon
// could know; the oracle uses everything.
type View struct {
	// Daemon is the index of the daemon that chooses, and Zone its availability zone.
	Daemon int
	Zone   string
	Size   Size
	// ServiceTime is the mean service time of an upstream without a fault.
	ServiceTime time.Duration
	FleetState  *FleetState
	// LastLoad returns the result of this daemon's last poll of an upstream, and the
	// time of that poll. ok is false if there is none or the last poll failed.
	LastLoad func(id string) (load standin.Load, at time.Time, ok bool)
	Rand     func() uint64
}

// RoundTrip returns the typical round-trip time from the daemon's zone to another.
func (v View) RoundTrip(zone string) time.Duration {
	if zone == v.Zone {
		return 0
	}
	return v.Size.Link.roundTrip()
}

// AllOn returns the policy of package balance with every action switched on.
func AllOn() Policy { return Policy{Name: "ours", Allow: config.Actions()} }

// Without returns AllOn with some actions switched off.
func Without(off ...config.Action) Policy {
	p := AllOn()
	for _, action := range off {
		p.Name += " without " + string(action)
	}
	p.Allow = slices.DeleteFunc(slices.Clone(p.Allow), func(a config.Action) bool { return slices.Contains(off, a) })
	return p
}

// AllOff returns the policy of package balance with every action switched off.
func AllOff() Policy { return Policy{Name: "all off"} }

// NotAvoided returns the indexes of the candidates whose IDs are not in avoid.
func NotAvoided(candidates []balance.Candidate, avoid []string) []int {
	var out []int
	for i := range candidates {
		if !slices.Contains(avoid, candidates[i].ID) {
			out = append(out, i)
		}
	}
	return out
}
