package admit

import (
	"cmp"
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

func refuse(callID string, reason call.Reason) Action {
	return Action{Kind: Refuse, CallID: callID, Reason: reason}
}

// advance moves the time of the Gate to now and refuses expired calls. After a
// pause it refuses all queued calls: their senders have received no update for a
// long time, and the upstream was probably paused too.
func (g *Gate) advance(now time.Time) []Action {
	paused := !g.lastEvent.IsZero() && now.Sub(g.lastEvent) > g.pauseLimit
	if now.After(g.lastEvent) {
		g.lastEvent = now
	}
	var actions []Action
	for _, id := range g.queue.removeExpired(now) {
		actions = append(actions, refuse(id, call.DeadlineExceeded))
	}
	if paused {
		g.resumedAt = now
		actions = append(actions, g.refuseAll(call.Stale)...)
	}
	return actions
}

// refusal reports whether, and why, a call is refused regardless of free slots and
// queue length.
func (g *Gate) refusal(req call.Request, now time.Time) (call.Reason, bool) {
	_, running := g.running[req.ID]
	switch {
	case running || g.queue.has(req.ID):
		return call.InProgress, true
	case g.draining:
		return call.Leaving, true
	case g.evacuated:
		return call.Evacuated, true
	case expired(req, now):
		return call.DeadlineExceeded, true
	}
	return "", false
}

// enqueue queues a call, or refuses it. To make space it may refuse a less urgent
// call.
func (g *Gate) enqueue(req call.Request, now time.Time) []Action {
	if g.sheds() {
		return g.enqueuePlanned(req, now)
	}
	if g.limits.Shed && g.wouldBeLate(req, now) {
		return []Action{refuse(req.ID, call.Overloaded)}
	}
	var actions []Action
	if g.queue.len() >= g.limits.Queue {
		if !g.canEvict(req) {
			return []Action{refuse(req.ID, call.Overloaded)}
		}
		actions = append(actions, refuse(g.queue.popLast().req.ID, call.Overloaded))
	}
	g.queue.push(req)
	return append(actions, Action{Kind: Queue, CallID: req.ID})
}

// canEvict reports whether req may displace the last queued call. Only a higher
// priority may: if an earlier deadline sufficed, callers of equal priority would
// displace each other endlessly.
func (g *Gate) canEvict(req call.Request) bool {
	return g.limits.Shed && g.queue.len() > 0 &&
		req.Priority.Rank() < g.queue.last().req.Priority.Rank()
}

// wouldBeLate reports whether the call would start after its deadline, or end
// after its target because of the wait.
func (g *Gate) wouldBeLate(req call.Request, now time.Time) bool {
	if req.Deadline.IsZero() {
		return false
	}
	if g.limits.Slots == 0 {
		return true
	}
	wait := g.predictWait(g.queue.ahead(req), now)
	if now.Add(wait).After(req.Deadline) {
		return true
	}
	return g.missesTarget(req, wait, now)
}

// missesTarget reports whether the call would end after its target because of the
// wait. A call that would miss its target even without a wait is queued only if
// the queue is empty.
func (g *Gate) missesTarget(req call.Request, wait time.Duration, now time.Time) bool {
	if req.Target.IsZero() {
		return false
	}
	work := g.pace.expectedWork(req)
	if now.Add(work).After(req.Target) {
		return g.queue.len() > 0
	}
	return now.Add(wait + work).After(req.Target)
}

// predictWait returns the expected wait behind the given number of queued calls.
// With Limits.Paced it simulates the slots with the expected work of each call. The
// limit of a cold upstream may make it longer.
func (g *Gate) predictWait(ahead int, now time.Time) time.Duration {
	return max(g.predictSlotWait(ahead, now), g.cold.wait(ahead, now))
}

// predictSlotWait returns the expected wait until a slot is free for the call.
func (g *Gate) predictSlotWait(ahead int, now time.Time) time.Duration {
	if !g.limits.Paced || g.limits.Slots == 0 {
		return g.averageWait(ahead)
	}
	free := g.slotFreeTimes(now)
	for _, w := range g.queue.calls[:ahead] {
		first := slices.Index(free, slices.MinFunc(free, time.Time.Compare))
		free[first] = free[first].Add(cmp.Or(g.pace.expectedWork(w.req), g.serviceTime.mean))
	}
	return slices.MinFunc(free, time.Time.Compare).Sub(now)
}

// slotFreeTimes returns when each slot is expected to be free to start a call.
func (g *Gate) slotFreeTimes(now time.Time) []time.Time {
	earliest := now.Add(g.pace.slowTimeLeft(now))
	capacity := g.capacity(now)
	free := make([]time.Time, 0, max(capacity, len(g.running)))
	for _, r := range g.running {
		ends := r.expectedEnd
		if ends.Before(now) {
			ends = now.Add(g.serviceTime.mean / 2)
		}
		if ends.Before(earliest) {
			ends = earliest
		}
		free = append(free, ends)
	}
	for len(free) < capacity {
		free = append(free, earliest)
	}
	return free
}

// averageWait returns the expected wait behind the given number of queued calls,
// based on the average service time.
func (g *Gate) averageWait(ahead int) time.Duration {
	return g.serviceTime.mean * time.Duration(ahead+1) / time.Duration(max(g.limits.Slots, 1))
}

func (g *Gate) start(req call.Request, now time.Time) Action {
	g.floor.add(req.Route, 0, 1, now)
	r := &runningCall{}
	if g.limits.Paced && req.ExpectedWork > 0 {
		r.expectedEnd = now.Add(g.pace.expectedWork(req) + max(g.pace.extraTime(req), 0))
	}
	g.running[req.ID] = r
	g.cold.started(now)
	r.work, r.contended = req.ExpectedWork, len(g.running) > g.limits.UncontendedSlots
	return Action{Kind: Start, CallID: req.ID}
}

// fill starts queued calls while slots are free. advance has already removed
// expired calls.
func (g *Gate) fill(now time.Time) []Action {
	if g.limits.Paced {
		return append(g.fillPaced(now), g.probeWarmth(now)...)
	}
	var actions []Action
	for !g.draining && g.mayStart(now) && g.queue.len() > 0 {
		actions = append(actions, g.start(g.queue.popFirst().req, now))
	}
	return append(actions, g.probeWarmth(now)...)
}

func (g *Gate) refuseAll(reason call.Reason) []Action {
	var actions []Action
	for g.queue.len() > 0 {
		actions = append(actions, refuse(g.queue.popFirst().req.ID, reason))
	}
	return actions
}
