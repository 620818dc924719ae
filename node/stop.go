package node

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// outlastsStop reports whether a request is refused because the stop of the daemon may
// end before its answer. In the first half of the stop most requests that could end
// later are taken all the same, unless a recent one of the same route took longer than
// what is left.
func (n *Node) outlastsStop(r call.Request, now time.Time) bool {
	if n.answerBy.IsZero() || !r.Deadline.After(n.answerBy) {
		return false
	}
	return !now.Before(n.screenFrom) || now.Add(n.longestRouteTime(r.Route, now)).After(n.answerBy)
}

// routeTimeWindow is how long the longest time of a route is remembered, at least once
// and at most twice.
const routeTimeWindow = 30 * time.Second

// longestTime is the longest of the recent times that requests of one route took.
type longestTime struct {
	current, previous time.Duration
	windowStart       time.Time
}

// observe adds the time that a request took.
func (l *longestTime) observe(took time.Duration, now time.Time) {
	l.advance(now)
	l.current = max(l.current, took)
}

// longest returns the longest time of the present window and the one before it.
func (l *longestTime) longest(now time.Time) time.Duration {
	l.advance(now)
	return max(l.current, l.previous)
}

// advance starts a new window once the present one has ended.
func (l *longestTime) advance(now time.Time) {
	age := now.Sub(l.windowStart)
	if age < routeTimeWindow {
		return
	}
	l.previous = l.current
	if age >= 2*routeTimeWindow {
		l.previous = 0
	}
	l.current, l.windowStart = 0, now
}

// observeRouteTime adds the time that a request of a route took, here or through another
// daemon.
func (n *Node) observeRouteTime(route string, took time.Duration, now time.Time) {
	if route == "" {
		return
	}
	l := n.routeTimes[route]
	if l == nil {
		if len(n.routeTimes) >= maxRoutesLearned {
			return
		}
		l = &longestTime{windowStart: now}
		n.routeTimes[route] = l
	}
	l.observe(took, now)
}

// longestRouteTime returns the longest recent time of a route, 0 if none was observed.
func (n *Node) longestRouteTime(route string, now time.Time) time.Duration {
	if l := n.routeTimes[route]; l != nil {
		return l.longest(now)
	}
	return 0
}
