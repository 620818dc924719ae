package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/platform/platformtest"
	"pomelodoor.example/pomelodoor/standin"
)

// Kind says what befalls the fleet.
type Kind string

// The kinds of fault and of planned work.
const (
	// LinkTrouble harms the links of other daemons to one daemon.
	LinkTrouble Kind = "linkTrouble"
	// DaemonCut cuts one daemon off from all others, in both directions; callers,
	// its upstream and the store reach it.
	DaemonCut Kind = "daemonCut"
	// CallerReset resets the connections of callers to one daemon.
	CallerReset Kind = "callerReset"
	// StoreTrouble turns some daemons away from the store, or all.
	StoreTrouble Kind = "storeTrouble"
	// StoreForgets drops the store's history.
	StoreForgets Kind = "storeForgets"
	// DaemonStop stops daemons by SIGTERM, DaemonKill by SIGKILL, one after the
	// other or all at once; DaemonPause stops them by SIGSTOP for a while.
	DaemonStop  Kind = "daemonStop"
	DaemonKill  Kind = "daemonKill"
	DaemonPause Kind = "daemonPause"
	// DaemonReload sends SIGHUP.
	DaemonReload Kind = "daemonReload"
	// UpstreamIll makes upstreams slow or faulty, UpstreamCrash ends one, and
	// UpstreamLeave drains one; another takes its place.
	UpstreamIll   Kind = "upstreamIll"
	UpstreamCrash Kind = "upstreamCrash"
	UpstreamLeave Kind = "upstreamLeave"
	// CrashingRequest is a request that crashes each upstream that runs it, and
	// comes again and again.
	CrashingRequest Kind = "crashingRequest"
	// ConfigChange moves routes, ConfigStorm several times in a row.
	ConfigChange Kind = "configChange"
	ConfigStorm  Kind = "configStorm"
	// SwitchesOff switches every automatic action off, for good.
	SwitchesOff Kind = "switchesOff"
)

// kinds are the kinds drawn from, as often as they stand here.
var kinds = []Kind{
	LinkTrouble, LinkTrouble, LinkTrouble, DaemonCut, CallerReset, StoreTrouble, StoreTrouble, StoreForgets,
	DaemonStop, DaemonStop, DaemonKill, DaemonKill, DaemonPause, DaemonReload,
	UpstreamIll, UpstreamIll, UpstreamCrash, UpstreamLeave, UpstreamLeave, ConfigChange, ConfigStorm,
	CrashingRequest,
}

// planned are the kinds that are no faults: nothing may be lost by them alone.
var planned = []Kind{DaemonStop, DaemonReload, UpstreamLeave, ConfigChange, ConfigStorm, SwitchesOff}

// Event is one thing that befalls machines.
type Event struct {
	At       time.Duration
	For      time.Duration
	Kind     Kind
	Machines []int
	// One of these says more, by the kind.
	Link    standin.Link
	Store   platformtest.Trouble
	Illness platformtest.Illness
}

const (
	// eventEvery is the mean time between two events.
	eventEvery = 1200 * time.Millisecond
	// longest bounds how long one event lasts.
	longest = 5 * time.Second
	// calm is left at the end of a run, with everything mended.
	calm = 10 * time.Second
	// offOneIn is how many plans there are for one that switches all off.
	offOneIn = 4
	// quietOneIn is how many plans there are for one with planned work alone.
	quietOneIn = 4
)

// links are the ways in which a link is harmed.
var links = []standin.Link{
	{Delay: 20 * time.Millisecond, Jitter: 30 * time.Millisecond},
	{Delay: 5 * time.Millisecond, Loss: 0.05},
	{Cut: standin.CutBlackHole},
	{Cut: standin.CutAnswers},
	{Cut: standin.CutReset},
}

var troubles = []platformtest.Trouble{
	platformtest.Refuse, platformtest.Limit, platformtest.Reset, platformtest.Silent, platformtest.Swallow, platformtest.Slow,
}

var illnesses = []platformtest.Illness{
	platformtest.Slowed, platformtest.Shedding, platformtest.Losing, platformtest.Failing,
}

// Plan draws the events of a run from its seed, in order of time.
func Plan(seed uint64, machines int, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 1))
	from := kinds
	if rng.IntN(quietOneIn) == 0 {
		from = planned[:len(planned)-1]
	}
	var events []Event
	at := time.Duration(0)
	for {
		at += time.Duration((0.3 + 1.4*rng.Float64()) * float64(eventEvery))
		if at >= length-calm {
			break
		}
		events = append(events, draw(rng, from, machines, at, length))
	}
	if rng.IntN(offOneIn) == 0 && len(events) > 0 {
		middle := &events[len(events)/2]
		*middle = Event{At: middle.At, Kind: SwitchesOff}
	}
	return events
}

// draw draws one event.
func draw(rng *rand.Rand, from []Kind, machines int, at, length time.Duration) Event {
	e := Event{At: at, Kind: from[rng.IntN(len(from))]}
	e.For = min(time.Duration((0.1+0.9*rng.Float64())*float64(longest)), length-calm-at)
	count := 1
	switch e.Kind {
	case CrashingRequest:
		e.For = min(2*longest, length-calm-at)
	case StoreTrouble, DaemonKill, DaemonStop, DaemonReload:
		if rng.IntN(3) == 0 {
			count = 1 + rng.IntN(machines)
		}
	}
	e.Machines = rng.Perm(machines)[:count]
	e.Link = links[rng.IntN(len(links))]
	e.Store = troubles[rng.IntN(len(troubles))]
	e.Illness = illnesses[rng.IntN(len(illnesses))]
	return e
}

// isPlanned reports whether an event is planned work.
func (e Event) isPlanned() bool { return slices.Contains(planned, e.Kind) }

// String returns the event as one line.
func (e Event) String() string {
	text := fmt.Sprintf("%5.1fs %s for %.1fs at %v", e.At.Seconds(), e.Kind, e.For.Seconds(), e.Machines)
	switch e.Kind {
	case LinkTrouble:
		return fmt.Sprintf("%s %+v", text, e.Link)
	case StoreTrouble:
		return text + " " + string(e.Store)
	case UpstreamIll:
		return text + " " + string(e.Illness)
	}
	return text
}
