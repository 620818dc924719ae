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

// advance moves the Gate's time on. After a pause nothing that was queued
// starts: its sender has long been without news, and the upstream was probably
// paused too.
func (g *Gate) advance(now time.Time) []Action {
	paused := !g.seen.IsZero() && now.Sub(g.seen) > g.pauseLimit
	if now.After(g.seen) {
		g.seen = now
	}
	var actions []Action
	for _, id := range g.queue.removeExpired(now) {
		actions = append(actions, refuse(id, call.DeadlineExceeded))
	}
	if paused {
		g.woke = now
		actions = append(actions, g.refuseAll(call.Stale)...)
	}
	return actions
}

// refusal reports why a call is refused whatever the slots and the queue hold.
func (g *Gate) refusal(req call.Request, now time.Time) (call.Reason, bool) {
	_, running := g.running[req.ID]
	switch {
	case running || g.queue.has(req.ID):
		return call.InProgress, true
	case g.draining:
		return call.Leaving, true
	case expired(req, now):
		return call.DeadlineExceeded, true
	}
	return "", false
}

// enqueue queues a call, or refuses it or one that is less urgent.
func (g *Gate) enqueue(req call.Request, now time.Time) []Action {
	if g.limits.Shed && g.late(req, now) {
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

// canEvict reports whether req may displace the last queued call. Only a
// higher priority may; an earlier deadline alone would let equal callers
// displace each other without end.
func (g *Gate) canEvict(req call.Request) bool {
	return g.limits.Shed && g.queue.len() > 0 &&
		req.Priority.Rank() < g.queue.last().req.Priority.Rank()
}

// late reports whether the call's turn would come after its deadline.
func (g *Gate) late(req call.Request, now time.Time) bool {
	if req.Deadline.IsZero() {
		return false
	}
	if g.limits.Slots == 0 {
		return true
	}
	wait := g.waitFor(g.queue.ahead(req), now)
	if now.Add(wait).After(req.Deadline) {
		return true
	}
	return g.missesTarget(req, wait, now)
}

// missesTarget reports whether the call would be answered after its target for
// having to wait. One that would miss it in any case waits only where nobody
// else does.
func (g *Gate) missesTarget(req call.Request, wait time.Duration, now time.Time) bool {
	if req.Target.IsZero() {
		return false
	}
	work := g.pace.work(req)
	if now.Add(work).After(req.Target) {
		return g.queue.len() > 0
	}
	return now.Add(wait + work).After(req.Target)
}

// waitFor predicts how long a call waits behind the first queued ones. Where
// the work of calls is known it follows the slots one by one.
func (g *Gate) waitFor(ahead int, now time.Time) time.Duration {
	if !g.limits.Paced || g.limits.Slots == 0 {
		return g.wait(ahead)
	}
	free := g.freeTimes(now)
	for _, w := range g.queue.calls[:ahead] {
		first := slices.Index(free, slices.MinFunc(free, time.Time.Compare))
		free[first] = free[first].Add(cmp.Or(g.pace.work(w.req), g.service.mean))
	}
	return slices.MinFunc(free, time.Time.Compare).Sub(now)
}

// freeTimes returns when each slot is expected to be free and to take a call.
func (g *Gate) freeTimes(now time.Time) []time.Time {
	open := now.Add(g.pace.left(now))
	room := g.room(now)
	free := make([]time.Time, 0, max(room, len(g.running)))
	for _, r := range g.running {
		ends := r.ends
		if ends.Before(now) {
			ends = now.Add(g.service.mean / 2)
		}
		if ends.Before(open) {
			ends = open
		}
		free = append(free, ends)
	}
	for len(free) < room {
		free = append(free, open)
	}
	return free
}

// wait predicts how long a call waits behind the given number of queued ones.
func (g *Gate) wait(ahead int) time.Duration {
	return g.service.mean * time.Duration(ahead+1) / time.Duration(max(g.limits.Slots, 1))
}

func (g *Gate) start(req call.Request, now time.Time) Action {
	r := &running{}
	if g.limits.Paced && req.Work > 0 {
		r.ends = now.Add(g.pace.work(req) + max(g.pace.extra(req), 0))
	}
	g.running[req.ID] = r
	r.work, r.crowded = req.Work, len(g.running) > g.limits.Easy
	return Action{Kind: Start, CallID: req.ID}
}

// fill starts queued calls while slots are free. advance has already removed
// those past their deadline.
func (g *Gate) fill(now time.Time) []Action {
	if g.limits.Paced {
		return g.fillPaced(now)
	}
	var actions []Action
	for !g.draining && len(g.running) < g.room(now) && g.queue.len() > 0 {
		actions = append(actions, g.start(g.queue.popFirst().req, now))
	}
	return actions
}

func (g *Gate) refuseAll(reason call.Reason) []Action {
	var actions []Action
	for g.queue.len() > 0 {
		actions = append(actions, refuse(g.queue.popFirst().req.ID, reason))
	}
	return actions
}
