package node

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/membership"
)

// handOn passes a request that cannot run here to a sibling before it runs, at
// most once. It returns false when there is no sibling that may take it.
func (n *Node) handOn(run *runState, now time.Time) (Command, bool) {
	service, selector, ok := n.allowedFor(run.request)
	if !ok || run.request.Hops > 0 || n.view.Paused(now) {
		return nil, false
	}
	list := n.candidates(service, selector).list
	if n.direct() {
		if run.from == n.self() || n.sameZone(run.from) {
			// The sender knows the zone as well as this daemon does.
			return nil, false
		}
		list = n.zoneOnly(list)
	}
	options := n.pickOptions(&callState{service: service, request: run.request}, now)
	i, ok := n.pick(service, list, []string{n.self(), run.from}, options, now)
	if !ok || n.direct() && n.picker(service).Slow(list[i].ID, now) {
		return nil, false
	}
	return n.handOnTo(run, service, list[i].ID, now)
}

func (n *Node) sameZone(id string) bool {
	r, ok := n.view.Lookup(id)
	return ok && r.AvailabilityZone == n.cfg.Self.AvailabilityZone
}

// zoneOnly returns the candidates of the own availability zone.
func (n *Node) zoneOnly(list []balance.Candidate) []balance.Candidate {
	return slices.DeleteFunc(slices.Clone(list), func(c balance.Candidate) bool {
		return c.Zone != n.cfg.Self.AvailabilityZone
	})
}

// handOnTo passes a request to one sibling.
func (n *Node) handOnTo(run *runState, service *config.Service, target string, now time.Time) (Command, bool) {
	record, ok := n.view.Lookup(target)
	if !ok || target == n.self() {
		return nil, false
	}
	run.handedTo = target
	run.started = now
	n.picker(service).Started(target, now)
	onward := run.request
	onward.ID += "h"
	onward.Hops++
	onward.Granted = run.granted
	onward.Upstream = record.Upstream
	if !run.before.IsZero() && run.before.Before(onward.Deadline) {
		onward.Deadline = run.before
	}
	return HandOn{ID: run.request.ID, To: record.Instance, Incarnation: n.incarnation(record), Request: onward}, true
}

// incarnation returns the life of a daemon that is meant. The store's list tells
// the lives of upstreams, not of daemons.
func (n *Node) incarnation(r membership.Record) uint64 {
	if n.direct() {
		return 0
	}
	return r.Incarnation
}

// allowedFor finds the service and the selector that bind a request here.
func (n *Node) allowedFor(r call.Request) (*config.Service, *config.Selector, bool) {
	service, ok := n.config.Service(r.Service)
	if !ok {
		return nil, nil, false
	}
	selector, ok := service.Select(r.Caller)
	return service, selector, ok
}

// handOnEnded takes in what became of a request that a sibling was given.
func (n *Node) handOnEnded(m HandOnEnded, now time.Time) []Command {
	run := n.runs[m.ID]
	if run == nil {
		return nil
	}
	delete(n.runs, m.ID)
	out := n.settleEnded(run, RunEnded{ID: m.ID, Outcome: m.Result.Outcome, Status: m.Result.Status, Body: m.Body}, now)
	if service, ok := n.config.Service(run.request.Service); ok {
		n.learnFrom(n.picker(service), run.handedTo, m.Result, now)
	}
	return out
}

// homeMayRun reports whether the selectors let this daemon's own upstream run
// the request. The home of a key is chosen among all instances of a service, so
// that it stays the same when selectors change.
func (n *Node) homeMayRun(r call.Request) bool {
	service, selector, ok := n.allowedFor(r)
	return ok && service.Serves(selector, n.view.Self().Name(), n.cfg.Self.AvailabilityZone)
}
