package node

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/membership"
)

// handOn hands a request that cannot run here on to a sibling, before it runs
// and at most once. It returns false if no sibling may take it.
func (n *Node) handOn(run *runState, now time.Time) (Command, bool) {
	service, selector, ok := n.selectorFor(run.request)
	if !ok || run.request.Hops > 0 || n.view.Stale(now) {
		return nil, false
	}
	list := n.candidates(service, selector, n.routeOf(run.request)).list
	if n.direct() {
		if run.from == n.self() || n.sameZone(run.from) {
			// The sender knows the load in this zone as well as this daemon
			// does.
			return nil, false
		}
		list = n.sameZoneOnly(list)
	}
	options := n.pickOptions(&callState{service: service, request: run.request}, now)
	i, ok := n.pick(service, list, []string{n.self(), run.from}, options, now)
	if !ok || n.direct() && n.picker(service).ExpectedSlow(list[i].ID, now) {
		return nil, false
	}
	return n.handOnTo(run, service, list[i].ID, now)
}

func (n *Node) sameZone(id string) bool {
	r, ok := n.view.Lookup(id)
	return ok && r.AvailabilityZone == n.cfg.Self.AvailabilityZone
}

// sameZoneOnly returns the candidates in the same availability zone.
func (n *Node) sameZoneOnly(list []balance.Candidate) []balance.Candidate {
	return slices.DeleteFunc(slices.Clone(list), func(c balance.Candidate) bool {
		return c.Zone != n.cfg.Self.AvailabilityZone
	})
}

// handOnTo hands a request on to the given sibling.
func (n *Node) handOnTo(run *runState, service *config.Service, target string, now time.Time) (Command, bool) {
	record, ok := n.view.Lookup(target)
	if !ok || target == n.self() {
		return nil, false
	}
	run.handedTo = target
	run.started = now
	n.picker(service).Started(target, now)
	forwarded := run.request
	forwarded.ID += "h"
	forwarded.Hops++
	forwarded.KeyGranted = run.keyGranted
	forwarded.UpstreamIncarnation = record.UpstreamIncarnation
	if !run.sendBefore.IsZero() && run.sendBefore.Before(forwarded.Deadline) {
		forwarded.Deadline = run.sendBefore
	}
	return HandOn{ID: run.request.ID, To: record.Instance, Incarnation: n.daemonIncarnation(record), Request: forwarded}, true
}

// daemonIncarnation returns the incarnation of the daemon to address. The
// store's list has the incarnations of upstreams, not of daemons.
func (n *Node) daemonIncarnation(r membership.Record) uint64 {
	if n.direct() {
		return 0
	}
	return r.Incarnation
}

// selectorFor returns the service and the selector that apply to a request.
func (n *Node) selectorFor(r call.Request) (*config.Service, *config.Selector, bool) {
	service, ok := n.config.Service(r.Service)
	if !ok {
		return nil, nil, false
	}
	selector, ok := service.Select(r.Caller)
	return service, selector, ok
}

// handOnEnded handles the result of a request that was handed on to a sibling.
func (n *Node) handOnEnded(m HandOnEnded, now time.Time) []Command {
	run := n.runs[m.ID]
	if run == nil {
		return nil
	}
	delete(n.runs, m.ID)
	out := n.resolveEnded(run, RunEnded{ID: m.ID, Outcome: m.Result.Outcome, Status: m.Result.Status, Body: m.Body}, now)
	if service, ok := n.config.Service(run.request.Service); ok {
		n.recordInPicker(n.picker(service), run.handedTo, m.Result, now)
	}
	return out
}

// homeMayRun reports whether the selectors allow the local upstream to run the
// request. The home of a key is chosen among all instances of a service, so
// that it does not change when selectors do.
func (n *Node) homeMayRun(r call.Request) bool {
	service, selector, ok := n.selectorFor(r)
	return ok && service.Serves(selector, n.view.Self().Name(), n.cfg.Self.AvailabilityZone)
}
