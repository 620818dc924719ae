package node

import (
	"strconv"
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/retry"
)

// callState is one caller's request that has not been answered yet.
type callState struct {
	request call.Request
	arrived time.Time
	// route is nil if there are no routes.
	route    *config.Route
	service  *config.Service
	selector *config.Selector
	// priorAttempts is the attempt number received with the request.
	priorAttempts int
	attemptsMade  int
	// reached counts the attempts that got as far as an upstream, refusals those
	// that a daemon refused before.
	reached  int
	refusals int
	// waitWhenSlow is set if the next daemon must not refuse the request because
	// of a slow period.
	waitWhenSlow bool
	// tried holds the IDs of the upstreams already attempted.
	tried []string
	// open holds the attempts in progress.
	open []attempt
	// crashed is set once an upstream has crashed during an attempt.
	crashed bool
	// faultyAttempt is the number of the last attempt whose answer showed a
	// fault of its upstream, or 0. That answer is delivered if no better one
	// arrives.
	faultyAttempt int
	// unknown is set once an attempt may have run without an answer.
	unknown      bool
	bodyConsumed bool
	// capacityAt is when a daemon that refused the request expects to have capacity, or
	// zero, and refusedAt when the last of them refused it.
	capacityAt, refusedAt time.Time
}

// attempt is one Forward in progress.
type attempt struct {
	number  int
	target  string
	zone    string
	started time.Time
}

// callerRequest finds the service and the selector, and makes the first
// attempt.
func (n *Node) callerRequest(m CallerRequest, now time.Time) []Command {
	c := &callState{request: m.Request, arrived: now, priorAttempts: m.Request.Attempt}
	if reason, ok := n.route(c, now); !ok {
		return []Command{n.refusal(c, notRunOutcome(m.Request), reason)}
	}
	service, ok := n.config.Service(c.request.Service)
	if !ok {
		return n.unknownService(c)
	}
	c.service = service
	if c.selector, ok = service.Select(m.Request.Caller); !ok {
		return []Command{n.refusal(c, notRunOutcome(m.Request), call.NoSelector)}
	}
	if c.route == nil {
		c.request.Priority = service.Priority(m.Request.Caller)
	}
	c.limitDeadline(now.Add(service.Limits().Timeout()))
	if n.outlastsStop(c.request, now) {
		return []Command{n.refusal(c, notRunOutcome(c.request), call.Leaving)}
	}
	c.request.Nested = n.madeByRun(c.request)
	n.calls[c.request.ID] = c
	n.policy(service, now).CountFirst(c.priorAttempts)
	target, reason, ok := n.choose(c, now)
	if !ok {
		return n.giveUp(c, notRunOutcome(c.request), reason)
	}
	return n.forward(c, target, now)
}

// unknownService refuses a call whose service has no document. The reason shows
// whether the daemon has any documents at all.
func (n *Node) unknownService(c *callState) []Command {
	reason := call.UnknownService
	if len(n.config.Documents()) == 0 {
		reason = call.NoConfiguration
	}
	return []Command{n.refusal(c, notRunOutcome(c.request), reason)}
}

// refusal returns the answer for a call that has no upstream's answer.
func (n *Node) refusal(c *callState, outcome call.Outcome, reason call.Reason) Command {
	a := Answer{ID: c.request.ID, Outcome: outcome, Reason: reason}
	if outcome == call.NotRun {
		a.RetryAfter = n.retryAfter(c)
	}
	return a
}

// choose returns the upstream for the next attempt, or the reason why there is
// none.
func (n *Node) choose(c *callState, now time.Time) (target string, reason call.Reason, ok bool) {
	if c.request.Keyed() {
		return n.chooseHome(c)
	}
	set := n.candidates(c.service, c.selector, c.route)
	if len(set.list) == 0 {
		return "", set.emptyReason(), false
	}
	i, ok := n.pick(c.service, set.list, c.tried, n.pickOptions(c, now), now)
	if !ok {
		return "", call.NoUpstream, false
	}
	return set.list[i].ID, "", true
}

// pick chooses among candidates, using Config.Choose if it is set.
func (n *Node) pick(s *config.Service, list []balance.Candidate, avoid []string, o balance.Options, now time.Time) (int, bool) {
	if n.cfg.Choose != nil {
		return n.cfg.Choose(list, avoid, now)
	}
	return n.picker(s).Pick(list, avoid, o, now)
}

// forward makes one attempt at the given instance.
func (n *Node) forward(c *callState, target string, now time.Time) []Command {
	record, ok := n.view.Lookup(target)
	if !ok {
		return n.giveUp(c, notRunOutcome(c.request), call.NoUpstream)
	}
	c.attemptsMade++
	c.tried = append(c.tried, target)
	c.open = append(c.open, attempt{number: c.attemptsMade, target: target, zone: record.AvailabilityZone, started: now})
	picker := n.picker(c.service)
	choice := picker.Choice(target, len(n.candidates(c.service, c.selector, c.route).list), n.expectedWork(c.request, now), now)
	picker.Started(target, now)
	forwarded := c.request
	forwarded.ID = c.request.ID + "-" + strconv.Itoa(c.attemptsMade)
	forwarded.Attempt = c.priorAttempts + c.attemptsMade - 1
	forwarded.UpstreamIncarnation = record.UpstreamIncarnation
	forwarded.WaitWhenSlow = c.waitWhenSlow || c.request.BodyBytes >= waitWhenSlowBytes
	f := Forward{
		ID: c.request.ID, Number: c.attemptsMade, To: record.Instance, Incarnation: n.daemonIncarnation(record), Request: forwarded,
	}
	f.Routes = n.routesRevision()
	f.Choice = choice
	out := []Command{f}
	if delay, ok := n.policy(c.service, now).HedgeAfter(n.retryState(c), now); ok && c.attemptsMade == 1 {
		out = append(out, HedgeAfter{ID: c.request.ID, Delay: delay})
	}
	return out
}

// attemptEnded records the result of an attempt, then answers the caller or
// tries again.
func (n *Node) attemptEnded(m AttemptEnded, now time.Time) []Command {
	c := n.calls[m.ID]
	if c == nil {
		return nil
	}
	a, ok := c.removeOpen(m.Number)
	if !ok {
		return nil
	}
	n.recordAttempt(c, a, m.Result, now)
	c.countAttempt(m.Result)
	c.noteShortage(m.Result, now)
	c.bodyConsumed = c.bodyConsumed || m.Result.BodyConsumed
	if m.Result.Outcome == call.NotRun && !m.Result.Answered {
		m.Result.Outcome = notRunOutcome(c.request)
	}
	if m.Result.Outcome == call.Unknown {
		c.unknown = true
	}
	failed := m.Result.Outcome == call.Run && isUpstreamFault(m.Result.Status)
	if m.Result.Outcome == call.Run && !failed {
		n.policy(c.service, now).ObserveLatency(m.Result.Latency)
		n.observeRouteTime(c.request.Route, m.Result.Latency, now)
		return n.deliver(c, m.Number, now)
	}
	if failed {
		c.faultyAttempt = m.Number
	}
	if m.Result.Reason == call.Evacuated {
		n.avoidZone(c, a.target)
	}
	if len(c.open) > 0 {
		// The other attempt may still return a good answer.
		return nil
	}
	if out, ok := n.tryAgain(c, m.Result, failed, now); ok {
		return out
	}
	if c.faultyAttempt > 0 {
		return n.deliver(c, c.faultyAttempt, now)
	}
	return n.giveUp(c, m.Result.Outcome, m.Result.Reason)
}

// tryAgain makes another attempt if the policy allows it and an upstream is
// left.
func (n *Node) tryAgain(c *callState, last Attempt, failed bool, now time.Time) ([]Command, bool) {
	state := n.retryState(c)
	state.LastOutcome, state.FailedResponse = last.Outcome, failed
	target, ok := n.chooseRetry(c, last, now)
	if !ok {
		return nil, false
	}
	policy := n.policy(c.service, now)
	verdict := policy.AllowRetry
	if last.neverReachedUpstream() && n.direct() {
		verdict = policy.AllowRedispatch
	}
	if !verdict(state, now).Allowed {
		return nil, false
	}
	return n.forward(c, target, now), true
}

// waitWhenSlowBytes is the body length from which a request is sent with
// WaitWhenSlow: sending the body again would cost more than waiting out a slow period.
const waitWhenSlowBytes = 16 << 10

// waitWhenSlowRefusals is the number of refusals by daemons after which the
// request is sent with WaitWhenSlow.
const waitWhenSlowRefusals = 2

// neverReachedUpstream reports whether the request got no further than a
// daemon, so that another attempt is the first that an upstream sees.
func (a Attempt) neverReachedUpstream() bool {
	return a.Outcome == call.NotRun && a.Reason != call.UpstreamShed && a.Reason != call.UpstreamReplaced
}

// countAttempt records whether an attempt reached an upstream.
func (c *callState) countAttempt(a Attempt) {
	if a.neverReachedUpstream() {
		c.refusals++
		return
	}
	c.reached++
}

// chooseRetry returns the upstream for a further attempt. A request during
// which an upstream has crashed is sent only to its trial upstream, and not
// again after a second crash.
func (n *Node) chooseRetry(c *callState, last Attempt, now time.Time) (string, bool) {
	if last.Reason == call.UpstreamCrashed {
		if c.crashed || !n.config.Allowed(config.Quarantine) {
			return "", false
		}
		c.crashed = true
		return n.trialUpstream(c.service, c.selector, c.route, c.request.Fingerprint)
	}
	if c.crashed {
		return "", false
	}
	c.waitWhenSlow = c.refusals >= waitWhenSlowRefusals
	target, _, ok := n.choose(c, now)
	if !ok && last.Reason == call.Slow {
		// All are slow: choose the one expected to finish first.
		c.tried, c.waitWhenSlow = nil, true
		target, _, ok = n.choose(c, now)
	}
	return target, ok
}

// recordAttempt updates the picker, the link delays and the route's work with
// the result of an attempt.
func (n *Node) recordAttempt(c *callState, a attempt, r Attempt, now time.Time) {
	picker := n.picker(c.service)
	if r.RemoteTime > 0 && a.target != n.self() {
		trip := r.Latency - r.RemoteTime
		n.links.observe(a.zone, trip)
		picker.ObserveLinkDelay(a.target, max(trip-n.links.minTrip(a.zone), 0), now)
	}
	if work := n.routeWork[c.request.Route].mean; r.Work > 0 && c.route != nil {
		if work > 0 {
			picker.ObserveSlowdown(a.target, float64(r.Work)/float64(work), now)
		}
		if a.target != n.self() {
			n.observeWork(c.request.Route, r.Work)
		}
	}
	n.recordInPicker(picker, a.target, r, now)
}

// recordInPicker updates a picker with the result of an attempt at an upstream.
func (n *Node) recordInPicker(picker *balance.Picker, target string, r Attempt, now time.Time) {
	if r.Unreachable {
		picker.MarkDown(target, now)
	}
	if r.HasLoad {
		picker.ObserveLoad(target, r.Load, now)
	}
	picker.Finished(target, balance.Result{
		Latency:   r.Latency,
		Failed:    r.Outcome == call.Unknown && r.Reason != call.Cancelled || r.Outcome == call.Run && isUpstreamFault(r.Status),
		NotRun:    r.Outcome == call.NotRun,
		Cancelled: r.Reason == call.Cancelled,
	}, now)
}

// hedgeDue sends a second copy of a slow call in parallel to the first.
func (n *Node) hedgeDue(m HedgeDue, now time.Time) []Command {
	c := n.calls[m.ID]
	if c == nil || len(c.open) != 1 || c.attemptsMade != 1 {
		return nil
	}
	list := n.candidates(c.service, c.selector, c.route).list
	options := n.pickOptions(c, now)
	options.NoTrial = true
	i, ok := n.pick(c.service, list, c.tried, options, now)
	if !ok || !n.policy(c.service, now).AllowHedge(n.retryState(c), now).Allowed {
		return nil
	}
	return n.forward(c, list[i].ID, now)
}

// callerLeft ends the attempts of a call whose caller no longer waits.
func (n *Node) callerLeft(m CallerLeft, now time.Time) []Command {
	c := n.calls[m.ID]
	if c == nil {
		return nil
	}
	delete(n.calls, m.ID)
	return n.cancelOpen(c, now)
}

// deliver ends a call with the answer of one attempt and cancels any other.
func (n *Node) deliver(c *callState, number int, now time.Time) []Command {
	delete(n.calls, c.request.ID)
	out := []Command{Deliver{ID: c.request.ID, Number: number}}
	return append(out, n.cancelOpen(c, now)...)
}

// giveUp ends a call without an answer from an upstream. A call of which any
// attempt may have run is unknown, whatever the last attempt proved.
func (n *Node) giveUp(c *callState, outcome call.Outcome, reason call.Reason) []Command {
	delete(n.calls, c.request.ID)
	if c.unknown {
		outcome = call.Unknown
	}
	return []Command{n.refusal(c, outcome, reason)}
}

// cancelOpen cancels every attempt in progress.
func (n *Node) cancelOpen(c *callState, now time.Time) []Command {
	var out []Command
	for _, a := range c.open {
		out = append(out, CancelForward{ID: c.request.ID, Number: a.number})
		n.picker(c.service).Finished(a.target, balance.Result{Cancelled: true, Latency: now.Sub(a.started)}, now)
	}
	return out
}

// retryState describes the call to the retry policy.
func (n *Node) retryState(c *callState) retry.CallState {
	state := retry.CallState{
		Idempotent:    c.request.Idempotent(),
		Replayable:    c.request.Replayable,
		BodyConsumed:  c.bodyConsumed,
		PriorAttempts: c.priorAttempts,
		AttemptsMade:  c.attemptsMade,
		Deadline:      c.request.Deadline,
	}
	if c.route != nil {
		state.AttemptsMade, state.Refusals, state.MaxAttempts = c.reached, c.refusals, c.route.MaxAttempts()
	}
	return state
}

// removeOpen removes an attempt from the open ones.
func (c *callState) removeOpen(number int) (attempt, bool) {
	for i, a := range c.open {
		if a.number == number {
			c.open = append(c.open[:i], c.open[i+1:]...)
			return a, true
		}
	}
	return attempt{}, false
}

// isUpstreamFault reports whether an HTTP status indicates a fault of the
// upstream rather than of the request.
func isUpstreamFault(status int) bool {
	return status >= 500 && status != 501 && status != 505
}
