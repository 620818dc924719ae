// Package admit decides, at the daemon next to an upstream, which calls the
// upstream runs now, which wait, and which are refused without being run.
//
// A Gate never starts more calls than the upstream has slots. Further calls wait
// in a bounded queue, ordered by priority, then by target, then by deadline. A
// call whose turn would come too late is refused as soon as that is known, so that
// the sender still has time to try another upstream. A refusal guarantees that
// the call was not run.
//
//	gate := admit.New(admit.Config{Slots: 12, Queue: 48, Shed: true})
//	for _, action := range gate.Arrive(request, now) {
//		switch action.Kind {
//		case admit.Start: // send action.CallID to the upstream
//		case admit.Refuse: // answer notRun with action.Reason
//		}
//	}
//	actions := gate.Finish(request.ID, serviceTime, now)
package admit

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// Defaults of Config.
const (
	DefaultSlots      = 8
	DefaultQueue      = 32
	DefaultPauseLimit = 2 * time.Second
)

// Limits are the settings of a Gate that operators and the upstream change while
// the daemon runs.
type Limits struct {
	// Slots is the number of calls that the upstream runs at once. At zero no
	// call is started.
	Slots int
	// UncontendedSlots is the number of concurrent calls up to which contention
	// does not slow the upstream down. If calls beyond it prove to take longer, no
	// more than UncontendedSlots are started at once; 0 allows all slots.
	UncontendedSlots int
	// Queue is the number of calls that may wait.
	Queue int
	// Shed enables ordering by priority and deadline, eviction, and refusal by
	// predicted wait. Without it the queue is first in, first out.
	Shed bool
	// LeastCost plans the queue by the work of the calls, if Shed and Paced are set: what is
	// refused is what costs callers least.
	LeastCost bool
	// Paced starts calls only with a recent reading of the upstream's pace, and
	// refuses or holds calls while the upstream is slow. The pace is the current
	// processing time in percent of nominal.
	Paced bool
	// Cold is true while the upstream is slow because it has just started.
	Cold bool
	// ColdLimit limits the calls while the upstream is cold or not known to be warm.
	ColdLimit ColdLimit
}

// Config holds the settings of a Gate. New replaces zero values, except Shed, by
// defaults.
type Config struct {
	Slots int
	Queue int
	Shed  bool
	// PauseLimit is the time between two events from which the process is assumed
	// to have been paused. While calls are queued, Tick must be called more often
	// than this.
	PauseLimit time.Duration
}

// Kind is the kind of an Action.
type Kind string

// The kinds of action.
const (
	// Start sends the call to the upstream.
	Start Kind = "start"
	// Queue makes the call wait; another action for it follows.
	Queue Kind = "queue"
	// Refuse ends the call and answers that it was not run.
	Refuse Kind = "refuse"
	// Cancel forwards the caller's cancellation to the upstream. The slot stays in
	// use until Finish.
	Cancel Kind = "cancel"
	// Measure requests a reading of the upstream's pace, to be answered by Measured
	// or Unmeasured. It belongs to no call.
	Measure Kind = "measure"
	// Probe requests a probe that shows whether the upstream is cold, to be answered by
	// FoundWarm or FoundCold. It belongs to no call.
	Probe Kind = "probe"
)

// Action is a step to carry out for one call.
type Action struct {
	Kind   Kind
	CallID string
	// Reason is set when Kind is Refuse.
	Reason call.Reason
}

// runningCall is a call that the upstream runs.
type runningCall struct {
	cancelled bool
	// expectedEnd is zero if the work of the call is unknown.
	expectedEnd time.Time
	// work is the expected duration at nominal pace. contended is set if the call's
	// start brought the running calls to more than Limits.UncontendedSlots.
	work      time.Duration
	contended bool
}

// Gate controls the calls at one upstream. It is not safe for concurrent use.
type Gate struct {
	limits      Limits
	pauseLimit  time.Duration
	running     map[string]*runningCall
	queue       queue
	serviceTime average
	pace        pace
	contention  contention
	cold        coldLimiter
	planner     planner
	floor       floor
	promoted    uint64
	draining    bool
	evacuated   bool
	lastEvent   time.Time
	resumedAt   time.Time
}

// New returns a Gate without running or queued calls.
func New(cfg Config) *Gate {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.Queue <= 0 {
		cfg.Queue = DefaultQueue
	}
	if cfg.PauseLimit <= 0 {
		cfg.PauseLimit = DefaultPauseLimit
	}
	return &Gate{
		limits:     Limits{Slots: cfg.Slots, Queue: cfg.Queue, Shed: cfg.Shed},
		pauseLimit: cfg.PauseLimit,
		running:    make(map[string]*runningCall),
		queue:      queue{byUrgency: cfg.Shed, discipline: defaultDiscipline()},
	}
}

// Arrive adds a call, which starts, waits or is refused. It may also refuse a
// less urgent call to make space in the queue. Call identifiers must be unique
// among the calls at the Gate.
func (g *Gate) Arrive(req call.Request, now time.Time) []Action {
	actions := g.advance(now)
	if reason, refused := g.refusal(req, now); refused {
		return append(actions, refuse(req.ID, reason))
	}
	g.floor.add(req.Route, 1, 0, now)
	switch {
	case g.cold.inForce(now) && g.queue.len() > 0:
		// The queued calls come first.
		actions = append(actions, g.enqueue(req, now)...)
		return append(actions, g.fill(now)...)
	case g.limits.Paced && g.mayStart(now):
		g.queue.push(req)
		return append(actions, g.fill(now)...)
	case g.mayStart(now):
		actions = append(actions, g.start(req, now))
	default:
		actions = append(actions, g.enqueue(req, now)...)
	}
	return append(actions, g.probeWarmth(now)...)
}

// Finish frees the slot of a call that has ended, whether or not it succeeded, and
// starts the next. serviceTime is the time that the upstream took; zero, as for a
// failed call, is not averaged.
func (g *Gate) Finish(callID string, serviceTime time.Duration, now time.Time) []Action {
	actions := g.advance(now)
	r, ok := g.running[callID]
	if !ok {
		return actions
	}
	delete(g.running, callID)
	g.serviceTime.add(serviceTime)
	g.contention.add(r, serviceTime, now)
	return append(actions, g.fill(now)...)
}

// Cancel records that the caller has gone. A queued call is refused. A running call
// is cancelled at the upstream once and keeps its slot until Finish.
func (g *Gate) Cancel(callID string, now time.Time) []Action {
	actions := g.advance(now)
	if r, ok := g.running[callID]; ok {
		if r.cancelled {
			return actions
		}
		r.cancelled = true
		return append(actions, Action{Kind: Cancel, CallID: callID})
	}
	if g.queue.remove(callID) {
		actions = append(actions, refuse(callID, call.Cancelled))
	}
	return actions
}

// Drain stops new work. Running calls continue. Queued calls are refused at once,
// because a refused call may be run elsewhere, while waiting here would only use up
// its time until the deadline.
func (g *Gate) Drain(now time.Time) []Action {
	actions := g.advance(now)
	g.draining = true
	return append(actions, g.refuseAll(call.Leaving)...)
}

// Open ends a drain after the upstream has started to serve again. It may be cold then.
func (g *Gate) Open() { g.draining, g.cold.warmth = false, warmthUnknown }

// Evacuate stops new work because the availability zone is evacuated. Like Drain it lets
// running calls continue and refuses queued ones; each of the two ends for itself.
func (g *Gate) Evacuate(now time.Time) []Action {
	actions := g.advance(now)
	g.evacuated = true
	return append(actions, g.refuseAll(call.Evacuated)...)
}

// EndEvacuation accepts new work again, unless the Gate drains.
func (g *Gate) EndEvacuation() { g.evacuated = false }

// Tick refuses queued calls whose deadline has passed and, if Limits.Paced or
// Limits.ColdLimit is set, starts queued calls.
func (g *Gate) Tick(now time.Time) []Action {
	actions := g.advance(now)
	if g.limits.Paced || g.cold.enabled() {
		actions = append(actions, g.fill(now)...)
	}
	return actions
}

// SetLimits applies new limits. Running calls are not affected. If the queue exceeds
// its new limit, the least urgent calls are refused.
func (g *Gate) SetLimits(limits Limits, now time.Time) []Action {
	actions := g.advance(now)
	g.limits = limits
	g.limits.Slots, g.limits.Queue = max(limits.Slots, 0), max(limits.Queue, 0)
	g.cold.set(limits.ColdLimit, now)
	g.pace.cold = limits.Cold || g.cold.enabled() && g.cold.warmth == cold
	g.queue.reorder(limits.Shed, limits.LeastCost)
	actions = append(actions, g.fill(now)...)
	for g.queue.len() > g.limits.Queue {
		actions = append(actions, refuse(g.queue.popLast().req.ID, call.Overloaded))
	}
	return actions
}
