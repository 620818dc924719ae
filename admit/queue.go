package admit

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

type waiting struct {
	req    call.Request
	number uint64
}

// queue is a sorted list of waiting calls. It is short by its bound, so a
// sorted slice is as quick as a heap and can also be cut at its end.
type queue struct {
	calls     []waiting
	next      uint64
	byUrgency bool
}

func expired(req call.Request, now time.Time) bool {
	return !req.Deadline.IsZero() && !now.Before(req.Deadline)
}

// compare puts the more urgent call first: by priority, then by deadline, then
// by arrival.
func (q *queue) compare(a, b waiting) int {
	if q.byUrgency {
		if d := a.req.Priority.Rank() - b.req.Priority.Rank(); d != 0 {
			return d
		}
		if d := compareDeadlines(a.req.Target, b.req.Target); d != 0 {
			return d
		}
		if d := compareDeadlines(a.req.Deadline, b.req.Deadline); d != 0 {
			return d
		}
	}
	if a.number < b.number {
		return -1
	}
	return 1
}

// compareDeadlines puts calls without a deadline last.
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

func (q *queue) last() waiting { return q.calls[len(q.calls)-1] }

// ahead returns how many queued calls would be served before req.
func (q *queue) ahead(req call.Request) int {
	at, _ := slices.BinarySearchFunc(q.calls, waiting{req: req, number: q.next}, q.compare)
	return at
}

func (q *queue) push(req call.Request) {
	at := q.ahead(req)
	q.calls = slices.Insert(q.calls, at, waiting{req: req, number: q.next})
	q.next++
}

func (q *queue) popFirst() waiting {
	first := q.calls[0]
	q.calls = slices.Delete(q.calls, 0, 1)
	return first
}

func (q *queue) popLast() waiting {
	last := q.last()
	q.calls = slices.Delete(q.calls, len(q.calls)-1, len(q.calls))
	return last
}

func (q *queue) index(callID string) int {
	return slices.IndexFunc(q.calls, func(w waiting) bool { return w.req.ID == callID })
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

// removeExpired takes out the calls past their deadline and returns their
// identifiers.
func (q *queue) removeExpired(now time.Time) []string {
	var ids []string
	q.calls = slices.DeleteFunc(q.calls, func(w waiting) bool {
		if !expired(w.req, now) {
			return false
		}
		ids = append(ids, w.req.ID)
		return true
	})
	return ids
}

func (q *queue) reorder(byUrgency bool) {
	q.byUrgency = byUrgency
	slices.SortFunc(q.calls, q.compare)
}
