package admit

import (
	"cmp"
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

type queuedCall struct {
	req      call.Request
	sequence uint64
	// promoted is set for a call that goes first because its route is below its floor.
	promoted bool
}

// queue is a list of waiting calls in the order in which they are served. Its length
// is bounded, so a sorted slice is as fast as a heap, and it can be cut at its end.
type queue struct {
	calls        []queuedCall
	nextSequence uint64
	byUrgency    bool
	// leastCost orders by the classes of the discipline; without it a class is a rank.
	leastCost bool
	discipline
}

func expired(req call.Request, now time.Time) bool {
	return !req.Deadline.IsZero() && !now.Before(req.Deadline)
}

// compare orders calls by urgency: by class, then by target and deadline, then by
// arrival. With byUrgency unset it orders them by arrival only.
func (q *queue) compare(a, b queuedCall) int {
	if q.byUrgency {
		if d := cmp.Or(q.classOf(a)-q.classOf(b), q.within(a.req, b.req)); d != 0 {
			return d
		}
	}
	if a.sequence < b.sequence {
		return -1
	}
	return 1
}

// classOf returns the class of a call, which is compared first.
func (q *queue) classOf(w queuedCall) int {
	if q.leastCost {
		return q.class(w)
	}
	return w.req.Priority.Rank()
}

// compareDeadlines orders calls without a deadline last.
func compareDeadlines(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}

func (q *queue) len() int { return len(q.calls) }

func (q *queue) last() queuedCall { return q.calls[len(q.calls)-1] }

// ahead returns the number of queued calls that would be served before req.
func (q *queue) ahead(req call.Request) int {
	at, _ := slices.BinarySearchFunc(q.calls, queuedCall{req: req, sequence: q.nextSequence}, q.compare)
	return at
}

func (q *queue) push(req call.Request) {
	at := q.ahead(req)
	q.calls = slices.Insert(q.calls, at, queuedCall{req: req, sequence: q.nextSequence})
	q.nextSequence++
}

// classEnd returns the index after the last call of the same class as that at index from.
func (q *queue) classEnd(from int) int {
	class := q.class(q.calls[from])
	for i, w := range q.calls[from:] {
		if q.class(w) != class {
			return from + i
		}
	}
	return len(q.calls)
}

// promote moves a call to the class of promoted calls.
func (q *queue) promote(callID string) {
	q.calls[q.index(callID)].promoted = true
	slices.SortFunc(q.calls, q.compare)
}

func (q *queue) popFirst() queuedCall {
	first := q.calls[0]
	q.calls = slices.Delete(q.calls, 0, 1)
	return first
}

func (q *queue) popLast() queuedCall {
	last := q.last()
	q.calls = slices.Delete(q.calls, len(q.calls)-1, len(q.calls))
	return last
}

func (q *queue) index(callID string) int {
	return slices.IndexFunc(q.calls, func(w queuedCall) bool { return w.req.ID == callID })
}

func (q *queue) has(callID string) bool { return q.index(callID) >= 0 }

func (q *queue) remove(callID string) bool {
	at := q.index(callID)
	if at < 0 {
		return false
	}
	q.calls = slices.Delete(q.calls, at, at+1)
	return true
}

// removeExpired removes the calls whose deadline has passed and returns their
// identifiers.
func (q *queue) removeExpired(now time.Time) []string {
	var ids []string
	q.calls = slices.DeleteFunc(q.calls, func(w queuedCall) bool {
		if !expired(w.req, now) {
			return false
		}
		ids = append(ids, w.req.ID)
		return true
	})
	return ids
}

func (q *queue) reorder(byUrgency, leastCost bool) {
	q.byUrgency, q.leastCost = byUrgency, leastCost
	slices.SortFunc(q.calls, q.compare)
}
