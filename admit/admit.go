// Package admit decides, at the daemon beside an upstream, which calls the
// upstream runs now, which wait, and which are refused unrun.
//
// A Gate never runs more calls than the upstream has slots. Calls beyond that
// wait in a bounded queue, by priority and then by earliest deadline. A call
// that would reach its turn only after its deadline is refused on arrival, so
// that the sender can try another upstream while there is time. Every refusal
// is proof that the call was not run.
//
//	gate := admit.New(admit.Config{Slots: 12, Queue: 48, Shed: true})
//	for _, action := range gate.Arrive(request, now) {
//		switch action.Kind {
//		case admit.Start: // hand action.CallID to the upstream
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

// Limits are the part of a Config that operators and the upstream change while
// the daemon runs.
type Limits struct {
	// Slots is the number of calls that the upstream runs at once. None are
	// started while it is zero.
	Slots int
	// Easy is the number of calls up to which the upstream surely does not slow
	// down for being nearly full. Where calls beyond it turn out to take longer,
	// no more are started; 0 is all slots.
	Easy int
	// Queue is the number of calls that may wait.
	Queue int
	// Shed allows ordering by priority and deadline, eviction, and refusal by
	// predicted wait. Without it the queue is first in, first out.
	Shed bool
	// Paced starts calls only on a fresh reading of the upstream's pace, and
	// turns them away or holds them while it is slow.
	Paced bool
	// Cold says that the upstream has just started and is slower for that.
	Cold bool
}

// Config holds the settings of a Gate. New puts defaults in place of zero
// values other than Shed.
type Config struct {
	Slots int
	Queue int
	Shed  bool
	// PauseLimit is the time between two events after which the process counts
	// as having been paused. Tick has to be called more often than this while
	// anything is queued.
	PauseLimit time.Duration
}

// Kind says what an Action asks for.
type Kind string

// The kinds of action.
const (
	// Start hands the call to the upstream.
	Start Kind = "start"
	// Queue makes the call wait; another action follows later.
	Queue Kind = "queue"
	// Refuse answers that the call was not run, and ends it.
	Refuse Kind = "refuse"
	// Cancel passes the caller's cancellation on to the upstream. The slot
	// stays in use until Finish.
	Cancel Kind = "cancel"
	// Measure reads the upstream's pace; Measured or Unmeasured answers it. It
	// belongs to no call.
	Measure Kind = "measure"
)

// Action is one thing to be done for one call.
type Action struct {
	Kind   Kind
	CallID string
	// Reason is set when Kind is Refuse.
	Reason call.Reason
}

// running is one call that the upstream runs.
type running struct {
	cancelled bool
	// ends is when it is expected to end; zero when its work is not known.
	ends time.Time
	// work is what it is expected to take at the usual pace, and crowded is set
	// when it started beside more than the easy number of calls.
	work    time.Duration
	crowded bool
}

// Gate holds the calls at one upstream. It is not safe for concurrent use.
type Gate struct {
	limits     Limits
	pauseLimit time.Duration
	running    map[string]*running
	queue      queue
	service    average
	pace       pace
	crowd      crowd
	draining   bool
	seen       time.Time
	woke       time.Time
}

// New returns a Gate with nothing running and nothing queued.
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
		running:    make(map[string]*running),
		queue:      queue{byUrgency: cfg.Shed},
	}
}

// Arrive takes in a call and says whether it starts, waits or is refused. It
// may also refuse a less urgent call that the new one displaces. Call
// identifiers must be unique among the calls that the Gate holds.
func (g *Gate) Arrive(req call.Request, now time.Time) []Action {
	actions := g.advance(now)
	if reason, refused := g.refusal(req, now); refused {
		return append(actions, refuse(req.ID, reason))
	}
	if g.limits.Paced && len(g.running) < g.room(now) {
		g.queue.push(req)
		return append(actions, g.fill(now)...)
	}
	if len(g.running) < g.room(now) {
		return append(actions, g.start(req, now))
	}
	return append(actions, g.enqueue(req, now)...)
}

// Finish frees the slot of a call that the upstream ended, however it ended,
// and starts the next. serviceTime is how long the upstream took; zero, as for
// a failed call, leaves the average alone.
func (g *Gate) Finish(callID string, serviceTime time.Duration, now time.Time) []Action {
	actions := g.advance(now)
	r, ok := g.running[callID]
	if !ok {
		return actions
	}
	delete(g.running, callID)
	g.service.add(serviceTime)
	g.crowd.add(r, serviceTime, now)
	return append(actions, g.fill(now)...)
}

// Leave takes note that the caller has gone. A queued call is refused; for a
// running one the upstream is told once, and Finish is still awaited.
func (g *Gate) Leave(callID string, now time.Time) []Action {
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

// Drain stops new work. Calls that run go on to their end; queued ones are
// refused at once, because a refusal is proof that they may be run elsewhere
// while waiting here would only spend their deadline.
func (g *Gate) Drain(now time.Time) []Action {
	actions := g.advance(now)
	g.draining = true
	return append(actions, g.refuseAll(call.Leaving)...)
}

// Open ends a drain, when the upstream serves again.
func (g *Gate) Open() { g.draining = false }

// Tick refuses queued calls whose deadline has passed.
func (g *Gate) Tick(now time.Time) []Action {
	actions := g.advance(now)
	if g.limits.Paced {
		actions = append(actions, g.fill(now)...)
	}
	return actions
}

// Resize puts new limits in force. Running calls are left alone; queued ones
// beyond the new bound are refused, the least urgent first.
func (g *Gate) Resize(limits Limits, now time.Time) []Action {
	actions := g.advance(now)
	g.limits = limits
	g.limits.Slots, g.limits.Queue = max(limits.Slots, 0), max(limits.Queue, 0)
	g.pace.cold = limits.Cold
	g.queue.reorder(limits.Shed)
	actions = append(actions, g.fill(now)...)
	for g.queue.len() > g.limits.Queue {
		actions = append(actions, refuse(g.queue.popLast().req.ID, call.Overloaded))
	}
	return actions
}
