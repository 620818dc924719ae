package admit

import (
	"cmp"
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// discipline decides which calls are served first and which are refused. Tests compare
// others.
type discipline struct {
	// class is compared first: a call of a later class never delays one of an earlier
	// class, nor causes it to be refused.
	class func(w queuedCall) int
	// within orders the calls of one class.
	within func(a, b call.Request) int
	// shedKey decides which call of a class is refused: the one with the greatest is.
	shedKey func(req call.Request, work time.Duration) float64
	// floorShare is the part of the share of all calls that each route is served at least.
	floorShare float64
}

// The classes ahead of the ranks of priorities.
const (
	// nestedClass is that of calls that a running request makes. Refusing them wastes the
	// work of that request.
	nestedClass = -2
	// promotedClass is that of calls whose route is below its floor.
	promotedClass = -1
)

func defaultDiscipline() discipline {
	return discipline{class: classOf, within: compareTargets, shedKey: shedByWork, floorShare: floorShare}
}

func classOf(w queuedCall) int {
	switch {
	case w.req.Nested:
		return nestedClass
	case w.promoted:
		return promotedClass
	}
	return w.req.Priority.Rank()
}

// compareTargets orders calls by target and deadline.
func compareTargets(a, b call.Request) int {
	return cmp.Or(compareDeadlines(a.Target, b.Target), compareDeadlines(a.Deadline, b.Deadline))
}

// shedByWork has the call with the most work refused, which leaves the most others in time.
func shedByWork(_ call.Request, work time.Duration) float64 { return float64(work) }

// sheds reports whether calls are refused according to a plan, which needs the expected
// work of each.
func (g *Gate) sheds() bool {
	return g.limits.Shed && g.limits.LeastCost && g.limits.Paced && g.limits.Slots > 0
}

// shedLate refuses the queued calls that cannot be in time as soon as that is known, under
// a load beyond the capacity of the upstream. A call of a route below its floor is served
// first instead.
func (g *Gate) shedLate(now time.Time) []Action {
	if !g.sheds() || g.draining || g.queue.len() == 0 {
		return nil
	}
	if !g.cold.inForce(now) && g.queue.len() <= g.capacity(now)-len(g.running) {
		return nil
	}
	late := g.lateCalls(now)
	for g.promoteOne(late, now) {
		late = g.lateCalls(now)
	}
	var actions []Action
	for _, l := range late {
		g.queue.remove(l.req.ID)
		actions = append(actions, refuse(l.req.ID, call.Overloaded))
	}
	return actions
}

// lateCall is a queued call that is to be refused.
type lateCall struct {
	queuedCall
	// meetsDeadline is true if the call could end by its deadline if it went first.
	meetsDeadline bool
}

// lateCalls returns the queued calls to be refused. A late call is kept if its deadline can
// be met, and if it was promoted or no call of its class or an earlier one is ahead.
func (g *Gate) lateCalls(now time.Time) []lateCall {
	free, jobs := g.planInput(now)
	first := free[0]
	var late []lateCall
	ahead := false
	for from, to := 0, 0; from < len(jobs); from = to {
		to = g.queue.classEnd(from)
		g.planner.plan(jobs[from:to], free)
		ahead = ahead || slices.ContainsFunc(jobs[from:to], func(j job) bool { return !j.late })
		for i, j := range jobs[from:to] {
			if !j.late {
				continue
			}
			w := g.queue.calls[from+i]
			if (!ahead || w.promoted) && meetsDeadline(w.req, now.Add(free[0]), j.work) {
				free.take(j.work)
				ahead = true
				continue
			}
			late = append(late, lateCall{w, meetsDeadline(w.req, now.Add(first), j.work)})
		}
	}
	return late
}

// planInput returns when the slots are expected to be free to start a call, and the queued
// calls.
func (g *Gate) planInput(now time.Time) (slotTimes, []job) {
	p := &g.planner
	p.free, p.jobs = p.free[:0], p.jobs[:0]
	for _, at := range g.slotFreeTimes(now) {
		p.free = append(p.free, at.Sub(now))
	}
	p.free.init()
	if g.cold.inForce(now) {
		// The limit of a cold upstream spaces out the starts.
		for i := range p.free {
			p.free[i] = max(p.free[i], g.cold.wait(i, now))
		}
	}
	for _, w := range g.queue.calls {
		work := g.plannedWork(w.req)
		j := job{work: work, latest: noLimit, shedKey: g.queue.shedKey(w.req, work)}
		if latest := latestEnd(w.req); !latest.IsZero() {
			j.latest = latest.Sub(now)
		}
		p.jobs = append(p.jobs, j)
	}
	return p.free, p.jobs
}

// latestEnd returns when a call must end to be in time, or zero. A nested call is in time
// until its deadline, since it is worth the work of the request that makes it.
func latestEnd(req call.Request) time.Time {
	if req.Nested || compareDeadlines(req.Deadline, req.Target) < 0 {
		return req.Deadline
	}
	return req.Target
}

// meetsDeadline reports whether a call that starts at the given time may end by its
// deadline, if it takes no less than most calls of its route.
func meetsDeadline(req call.Request, start time.Time, work time.Duration) bool {
	return req.Deadline.IsZero() || !start.Add(max(work-req.WorkSpread, 0)).After(req.Deadline)
}

// promoteOne promotes the first of the late calls whose route is below its floor, and reports
// whether there is one.
func (g *Gate) promoteOne(late []lateCall, now time.Time) bool {
	for _, l := range late {
		if l.meetsDeadline && g.mayPromote(l.queuedCall, now) {
			g.promote(l.req.ID)
			return true
		}
	}
	return false
}

// mayPromote reports whether a call is neither promoted nor nested, and its route is below
// its floor.
func (g *Gate) mayPromote(w queuedCall, now time.Time) bool {
	if w.promoted || w.req.Nested {
		return false
	}
	pending := 0
	for _, other := range g.queue.calls {
		if other.promoted && other.req.Route == w.req.Route {
			pending++
		}
	}
	return g.floor.below(w.req.Route, g.queue.floorShare, pending, now)
}

// promote moves a queued call ahead of the ranks, and counts it.
func (g *Gate) promote(callID string) {
	g.queue.promote(callID)
	g.promoted++
}

// enqueuePlanned queues a call and refuses those that cannot be in time, which may be the
// call itself.
func (g *Gate) enqueuePlanned(req call.Request, now time.Time) []Action {
	g.queue.push(req)
	actions := g.shedLate(now)
	if g.queue.has(req.ID) && g.queue.len() > g.limits.Queue {
		actions = append(actions, g.evict(req, now))
	}
	if g.queue.has(req.ID) {
		actions = append(actions, Action{Kind: Queue, CallID: req.ID})
	}
	return actions
}

// evict refuses a call because the queue is full after req has been added: one of the
// last class, the one with the greatest shedKey. req does not displace a call whose shedKey
// is no greater than its own, or callers would displace each other endlessly.
func (g *Gate) evict(req call.Request, now time.Time) Action {
	victim := g.evictionVictim(req)
	if g.mayPromote(victim, now) {
		g.promote(victim.req.ID)
		victim = g.evictionVictim(req)
	}
	g.queue.remove(victim.req.ID)
	return refuse(victim.req.ID, call.Overloaded)
}

// evictionVictim returns the call to refuse because the queue is full.
func (g *Gate) evictionVictim(req call.Request) queuedCall {
	victim := g.queue.last()
	class := g.queue.class(victim)
	if own := g.queue.calls[g.queue.index(req.ID)]; g.queue.class(own) == class {
		victim = own
	}
	for _, w := range g.queue.calls {
		if g.queue.class(w) == class && g.shedKey(w) > g.shedKey(victim) {
			victim = w
		}
	}
	return victim
}

func (g *Gate) shedKey(w queuedCall) float64 {
	return g.queue.shedKey(w.req, g.plannedWork(w.req))
}

// plannedWork returns the expected work of a call, or that of the average call if it is not
// known.
func (g *Gate) plannedWork(req call.Request) time.Duration {
	return cmp.Or(g.pace.expectedWork(req), g.serviceTime.mean)
}

// Promoted returns how many calls were served first because their route was below its floor.
func (g *Gate) Promoted() uint64 { return g.promoted }
