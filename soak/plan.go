package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/platform/platformtest"
	"pomelodoor.example/pomelodoor/standin"
)

// Kind is the kind of an event.
type Kind string

// The kinds of faults and of planned operations.
const (
	// LinkFault degrades or cuts the links from other daemons to one daemon.
	LinkFault Kind = "linkTrouble"
	// DaemonPartition isolates one daemon from all others, in both directions. Its
	// links to callers, to its upstream and to the store keep working.
	DaemonPartition Kind = "daemonCut"
	// CallerReset resets the connections of callers to one daemon.
	CallerReset Kind = "callerReset"
	// StoreFault makes the store fail or respond slowly for some or all daemons.
	StoreFault Kind = "storeTrouble"
	// StoreCompaction drops the store's history.
	StoreCompaction Kind = "storeForgets"
	// StoreReturn makes the store return from a copy that was taken when the event began.
	// What was lost is written again a little later.
	StoreReturn Kind = "storeReturns"
	// DaemonStop stops one or more daemons at once with SIGTERM, and DaemonKill with
	// SIGKILL; they are restarted. DaemonPause suspends one with SIGSTOP for the
	// duration of the event.
	DaemonStop  Kind = "daemonStop"
	DaemonKill  Kind = "daemonKill"
	DaemonPause Kind = "daemonPause"
	// DaemonReload sends SIGHUP to one or more daemons.
	DaemonReload Kind = "daemonReload"
	// UpstreamUnhealthy makes an upstream slow or faulty. UpstreamCrash ends an
	// upstream and UpstreamDrain drains one; a new one replaces it.
	UpstreamUnhealthy Kind = "upstreamIll"
	UpstreamCrash     Kind = "upstreamCrash"
	UpstreamDrain     Kind = "upstreamLeave"
	// CrashingRequest repeatedly sends a request that crashes every upstream that
	// runs it.
	CrashingRequest Kind = "crashingRequest"
	// ConfigChange moves a route to another service; ConfigStorm does so several
	// times in quick succession.
	ConfigChange Kind = "configChange"
	ConfigStorm  Kind = "configStorm"
	// SwitchesOff disables every automatic action until the end of the run.
	SwitchesOff Kind = "switchesOff"
	// Evacuation evacuates an availability zone.
	Evacuation Kind = "evacuation"
	// Crowd sends many incomplete requests to one or more daemons, on connections that stay
	// open.
	Crowd Kind = "crowd"
)

// eventKinds lists the kinds to draw from. A kind is drawn in proportion to the number
// of its entries.
var eventKinds = []Kind{
	LinkFault, LinkFault, LinkFault, DaemonPartition, CallerReset, StoreFault, StoreFault, StoreCompaction,
	DaemonStop, DaemonStop, DaemonKill, DaemonKill, DaemonPause, DaemonReload,
	UpstreamUnhealthy, UpstreamUnhealthy, UpstreamCrash, UpstreamDrain, UpstreamDrain, ConfigChange, ConfigStorm,
	CrashingRequest,
}

// drawnPlannedKinds lists the kinds that the events of a plan with only planned operations are
// drawn from.
var drawnPlannedKinds = []Kind{DaemonStop, DaemonReload, UpstreamDrain, ConfigChange, ConfigStorm}

// plannedKinds lists the kinds that are planned operations. On their own they must not
// lose any request.
var plannedKinds = slices.Concat(drawnPlannedKinds, []Kind{SwitchesOff, Evacuation})

// Event is a fault or a planned operation.
type Event struct {
	At       time.Duration
	Duration time.Duration
	Kind     Kind
	Machines []int
	// Link, StoreFault and WorkerFault hold the details of a LinkFault, a StoreFault
	// and an UpstreamUnhealthy.
	Link        standin.Link
	StoreFault  platformtest.StoreFault
	WorkerFault platformtest.WorkerFault
	// Zone is the availability zone of an Evacuation.
	Zone string
}

const (
	// meanEventGap is the mean time between two events.
	meanEventGap = 1200 * time.Millisecond
	// maxEventTime bounds the duration of an event; that of a CrashingRequest is at
	// most twice as long.
	maxEventTime = 5 * time.Second
	// quietPeriod is the time without new events at the end of a run.
	quietPeriod = 10 * time.Second
	// switchesOffOneIn: one plan in this many contains SwitchesOff.
	switchesOffOneIn = 4
	// storeReturnOneIn: one plan with faults in this many contains StoreReturn.
	storeReturnOneIn = 3
	// plannedOnlyOneIn: one plan in this many contains only planned operations.
	plannedOnlyOneIn = 4
	// evacuationOneIn: one plan in this many contains an Evacuation, which lasts until
	// the quiet period.
	evacuationOneIn = 2
)

// linkFaults lists the link conditions that a LinkFault draws from.
var linkFaults = []standin.Link{
	{Delay: 20 * time.Millisecond, Jitter: 30 * time.Millisecond},
	{Delay: 5 * time.Millisecond, Loss: 0.05},
	{Cut: standin.LinkFaultBlackHole},
	{Cut: standin.LinkFaultBlackHoleResponses},
	{Cut: standin.LinkFaultReset},
}

var storeFaults = []platformtest.StoreFault{
	platformtest.Refuse, platformtest.Limit, platformtest.Reset, platformtest.Silent, platformtest.NeverRespond, platformtest.Slow,
}

var upstreamFaults = []platformtest.WorkerFault{
	platformtest.Slowed, platformtest.Shedding, platformtest.Losing, platformtest.Failing, platformtest.Hanging,
}

// Plan returns the events of a run, ordered by time, as drawn from the seed.
func Plan(seed uint64, machines int, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 1))
	choices := eventKinds
	plannedOnly := rng.IntN(plannedOnlyOneIn) == 0
	if plannedOnly {
		choices = drawnPlannedKinds
	}
	var events []Event
	at := time.Duration(0)
	for {
		at += time.Duration((0.3 + 1.4*rng.Float64()) * float64(meanEventGap))
		if at >= length-quietPeriod {
			break
		}
		events = append(events, drawEvent(rng, choices, machines, at, length))
	}
	if rng.IntN(switchesOffOneIn) == 0 && len(events) > 0 {
		middle := &events[len(events)/2]
		*middle = Event{At: middle.At, Kind: SwitchesOff}
	}
	if !plannedOnly {
		events = insertStoreReturn(events, seed, length)
	}
	return addCrowd(insertEvacuation(events, seed, length), seed, machines, length)
}

// insertEvacuation inserts an Evacuation into some plans. It draws random numbers of its own, so that
// the other events of a seed stay the same.
func insertEvacuation(events []Event, seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 2))
	window := length - quietPeriod
	if rng.IntN(evacuationOneIn) > 0 || window <= 0 {
		return events
	}
	at := time.Duration(0.3 * rng.Float64() * float64(window))
	return insertEvent(events, Event{At: at, Duration: window - at, Kind: Evacuation, Zone: zoneName(rng.IntN(zoneCount))})
}

// insertStoreReturn inserts a StoreReturn into some plans. It draws random numbers of its own,
// too.
func insertStoreReturn(events []Event, seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 2))
	if rng.IntN(storeReturnOneIn) != 0 || length <= quietPeriod+maxEventTime {
		return events
	}
	return insertEvent(events, Event{
		At: time.Duration(rng.Int64N(int64(length - quietPeriod - maxEventTime))), Kind: StoreReturn,
		Duration: time.Duration((0.1 + 0.9*rng.Float64()) * float64(maxEventTime)),
	})
}

// insertEvent inserts an event by its time.
func insertEvent(events []Event, e Event) []Event {
	i := slices.IndexFunc(events, func(other Event) bool { return other.At > e.At })
	if i < 0 {
		i = len(events)
	}
	return slices.Insert(events, i, e)
}

// drawEvent draws one event of the given kinds.
func drawEvent(rng *rand.Rand, choices []Kind, machines int, at, length time.Duration) Event {
	e := Event{At: at, Kind: choices[rng.IntN(len(choices))]}
	e.Duration = min(time.Duration((0.1+0.9*rng.Float64())*float64(maxEventTime)), length-quietPeriod-at)
	count := 1
	switch e.Kind {
	case CrashingRequest:
		e.Duration = min(2*maxEventTime, length-quietPeriod-at)
	case StoreFault, DaemonKill, DaemonStop, DaemonReload:
		if rng.IntN(3) == 0 {
			count = 1 + rng.IntN(machines)
		}
	}
	e.Machines = rng.Perm(machines)[:count]
	e.Link = linkFaults[rng.IntN(len(linkFaults))]
	e.StoreFault = storeFaults[rng.IntN(len(storeFaults))]
	e.WorkerFault = upstreamFaults[rng.IntN(len(upstreamFaults))]
	return e
}

// isFault reports whether answers may be lost because of the event: neither for a planned
// operation nor for a Crowd.
func (e Event) isFault() bool { return e.Kind != Crowd && !slices.Contains(plannedKinds, e.Kind) }

// String formats the event on one line.
func (e Event) String() string {
	text := fmt.Sprintf("%5.1fs %s for %.1fs at %v", e.At.Seconds(), e.Kind, e.Duration.Seconds(), e.Machines)
	switch e.Kind {
	case LinkFault:
		return fmt.Sprintf("%s %+v", text, e.Link)
	case StoreFault:
		return text + " " + string(e.StoreFault)
	case UpstreamUnhealthy:
		return text + " " + string(e.WorkerFault)
	case Evacuation:
		return text + " zone " + e.Zone
	}
	return text
}
