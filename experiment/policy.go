package experiment

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/standin"
)

// Policy is one way to choose upstreams, with the automatic actions beside it.
type Policy struct {
	Name string
	// Allow holds the switches that are on.
	Allow []config.Action
	// Chooser makes the choice of each daemon; nil keeps package balance.
	Chooser func(View) node.Choose
	// Poll is how often each daemon reads the load of each upstream itself; 0
	// is never.
	Poll time.Duration
}

// View is what a Chooser may look at. A baseline takes only what a daemon
// could know; the oracle takes everything.
type View struct {
	// Daemon is the number of the daemon that chooses, and Zone its zone.
	Daemon int
	Zone   string
	Size   Size
	// ServiceTime is the usual mean.
	ServiceTime time.Duration
	Ledger      *Ledger
	// Polled returns the load that this daemon last read from an upstream, and
	// when.
	Polled func(id string) (load standin.Load, at time.Time, ok bool)
	Rand   func() uint64
}

// RoundTrip returns the usual round trip from the daemon's zone to another.
func (v View) RoundTrip(zone string) time.Duration {
	if zone == v.Zone {
		return 0
	}
	return v.Size.Link.roundTrip()
}

// Ours is package balance with every switch on.
func Ours() Policy { return Policy{Name: "ours", Allow: config.Actions()} }

// Without is Ours with some switches off.
func Without(off ...config.Action) Policy {
	p := Ours()
	for _, action := range off {
		p.Name += " without " + string(action)
	}
	p.Allow = slices.DeleteFunc(slices.Clone(p.Allow), func(a config.Action) bool { return slices.Contains(off, a) })
	return p
}

// AllOff is the daemon with every switch off.
func AllOff() Policy { return Policy{Name: "all off"} }

// Allowed returns the indexes of the candidates that are not to be avoided,
// which is where most choosers begin.
func Allowed(candidates []balance.Candidate, avoid []string) []int {
	var out []int
	for i := range candidates {
		if !slices.Contains(avoid, candidates[i].ID) {
			out = append(out, i)
		}
	}
	return out
}
