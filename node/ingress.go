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
	// route is nil where there are no routes.
	route    *config.Route
	service  *config.Service
	selector *config.Selector
	// above is the attempt number that came with the request.
	above int
	made  int
	// reached counts the attempts that an upstream was sent, refused those that
	// a daemon turned away before.
	reached int
	refused int
	// patient is set when the request waits out a slow spell where it is.
	patient bool
	// tried names the upstreams that have had an attempt.
	tried []string
	// open holds the attempts under way.
	open []attempt
	// crashed is set once an upstream has crashed under an attempt.
	crashed bool
	// faulty is the number of the last attempt whose answer showed a fault of its
	// upstream, or 0. That answer is delivered when no better one comes.
	faulty int
	// unknown is set once an attempt may have run without an answer.
	unknown   bool
	bodyTaken bool
}

// attempt is one Forward under way.
type attempt struct {
	number int
	target string
	zone   string
	began  time.Time
}

// callerRequest finds the service and the selector, and makes the first
// attempt.
func (n *Node) callerRequest(m CallerRequest, now time.Time) []Command {
	c := &callState{request: m.Request, arrived: now, above: m.Request.Attempt}
	if reason, ok := n.route(c, now); !ok {
		return []Command{n.refusal(c, proved(m.Request), reason)}
	}
	service, ok := n.config.Service(c.request.Service)
	if !ok {
		return n.unknownService(c)
	}
	c.service = service
	if c.selector, ok = service.Select(m.Request.Caller); !ok {
		return []Command{n.refusal(c, proved(m.Request), call.NoSelector)}
	}
	if c.route == nil {
		c.request.Priority = service.Priority(m.Request.Caller)
	}
	c.bound(now.Add(service.Limits().Timeout()))
	n.calls[c.request.ID] = c
	n.policy(service, now).First(c.above)
	target, reason, ok := n.choose(c, now)
	if !ok {
		return n.giveUp(c, proved(c.request), reason)
	}
	return n.forward(c, target, now)
}

// unknownService tells a name that no document has from having no documents.
func (n *Node) unknownService(c *callState) []Command {
	reason := call.UnknownService
	if len(n.config.Documents()) == 0 {
		reason = call.NoConfiguration
	}
	return []Command{n.refusal(c, proved(c.request), reason)}
}

// comeBackAfter is when a caller is told to come back: later than the load of a
// moment lasts, and soon enough to be served in time.
const comeBackAfter = 100 * time.Millisecond

// refusal answers a call without an upstream's answer.
func (n *Node) refusal(c *callState, outcome call.Outcome, reason call.Reason) Command {
	a := Answer{ID: c.request.ID, Outcome: outcome, Reason: reason}
	if outcome == call.NotRun {
		a.ComeBack = comeBackAfter
	}
	return a
}

// choose names the upstream for the next attempt, or says why there is none.
func (n *Node) choose(c *callState, now time.Time) (target string, reason call.Reason, ok bool) {
	if c.request.Keyed() {
		return n.chooseHome(c)
	}
	list := n.candidates(c.service, c.selector).list
	i, ok := n.pick(c.service, list, c.tried, n.pickOptions(c, now), now)
	if !ok {
		return "", call.NoUpstream, false
	}
	return list[i].ID, "", true
}

// pick chooses among candidates, by Config.Choose where that is set.
func (n *Node) pick(s *config.Service, list []balance.Candidate, avoid []string, o balance.Options, now time.Time) (int, bool) {
	if n.cfg.Choose != nil {
		return n.cfg.Choose(list, avoid, now)
	}
	return n.picker(s).Pick(list, avoid, o, now)
}

// forward makes one attempt at the instance named.
func (n *Node) forward(c *callState, target string, now time.Time) []Command {
	record, ok := n.view.Lookup(target)
	if !ok {
		return n.giveUp(c, proved(c.request), call.NoUpstream)
	}
	c.made++
	c.tried = append(c.tried, target)
	c.open = append(c.open, attempt{number: c.made, target: target, zone: record.AvailabilityZone, began: now})
	picker := n.picker(c.service)
	choice := picker.Choice(target, len(n.candidates(c.service, c.selector).list), n.workOf(c.request, now), now)
	picker.Started(target, now)
	onward := c.request
	onward.ID = c.request.ID + "-" + strconv.Itoa(c.made)
	onward.Attempt = c.above + c.made - 1
	onward.Upstream = record.Upstream
	onward.Patient = c.patient || c.request.BodyBytes >= patientBytes
	f := Forward{
		ID: c.request.ID, Number: c.made, To: record.Instance, Incarnation: n.incarnation(record), Request: onward,
	}
	f.Routes = n.routesRevision()
	f.Choice = choice
	out := []Command{f}
	if delay, ok := n.policy(c.service, now).HedgeAfter(n.try(c), now); ok && c.made == 1 {
		out = append(out, HedgeAfter{ID: c.request.ID, Delay: delay})
	}
	return out
}

// attemptEnded learns from the end of an attempt, then answers the caller or
// tries again.
func (n *Node) attemptEnded(m AttemptEnded, now time.Time) []Command {
	c := n.calls[m.ID]
	if c == nil {
		return nil
	}
	a, ok := c.close(m.Number)
	if !ok {
		return nil
	}
	n.learn(c, a, m.Result, now)
	c.count(m.Result)
	c.bodyTaken = c.bodyTaken || m.Result.BodyTaken
	if m.Result.Outcome == call.NotRun && !m.Result.Answered {
		m.Result.Outcome = proved(c.request)
	}
	if m.Result.Outcome == call.Unknown {
		c.unknown = true
	}
	failed := m.Result.Outcome == call.Run && faulty(m.Result.Status)
	if m.Result.Outcome == call.Run && !failed {
		n.policy(c.service, now).Answered(m.Result.Latency)
		return n.deliver(c, m.Number, now)
	}
	if failed {
		c.faulty = m.Number
	}
	if len(c.open) > 0 {
		// The other attempt may still bring a good answer.
		return nil
	}
	if out, ok := n.again(c, m.Result, failed, now); ok {
		return out
	}
	if c.faulty > 0 {
		return n.deliver(c, c.faulty, now)
	}
	return n.giveUp(c, m.Result.Outcome, m.Result.Reason)
}

// again makes another attempt if the policy allows it and an upstream is left.
func (n *Node) again(c *callState, last Attempt, failed bool, now time.Time) ([]Command, bool) {
	t := n.try(c)
	t.Last, t.Failed = last.Outcome, failed
	target, ok := n.chooseAgain(c, last, now)
	if !ok {
		return nil, false
	}
	policy := n.policy(c.service, now)
	verdict := policy.Again
	if last.turnedAway() && n.direct() {
		verdict = policy.Elsewhere
	}
	if !verdict(t, now).Allowed {
		return nil, false
	}
	return n.forward(c, target, now), true
}

// patientBytes is the length of a body from which a request waits out a slow
// spell where it is: sending the body once more costs more.
const patientBytes = 16 << 10

// patientAfter is the number of daemons that may turn a request away before the
// next one is asked to keep it.
const patientAfter = 2

// turnedAway reports whether the request got no further than a daemon, so that
// another attempt is the first that an upstream sees.
func (a Attempt) turnedAway() bool {
	return a.Outcome == call.NotRun && a.Reason != call.UpstreamShed && a.Reason != call.UpstreamReplaced
}

// count notes how far an attempt has got.
func (c *callState) count(a Attempt) {
	if a.turnedAway() {
		c.refused++
		return
	}
	c.reached++
}

// chooseAgain names the upstream for a further attempt. A request under which
// an upstream has crashed is sent to its trial upstream only, and not again
// after a second crash.
func (n *Node) chooseAgain(c *callState, last Attempt, now time.Time) (string, bool) {
	if last.Reason == call.UpstreamCrashed {
		if c.crashed || !n.config.Allowed(config.Quarantine) {
			return "", false
		}
		c.crashed = true
		return n.trialUpstream(c.service, c.selector, c.request.Fingerprint)
	}
	if c.crashed {
		return "", false
	}
	c.patient = c.refused >= patientAfter
	target, _, ok := n.choose(c, now)
	if !ok && last.Reason == call.Slow {
		// All are slow: the one that is expected to be done first.
		c.tried, c.patient = nil, true
		target, _, ok = n.choose(c, now)
	}
	return target, ok
}

// learn tells the picker and the link times what an attempt has shown.
func (n *Node) learn(c *callState, a attempt, r Attempt, now time.Time) {
	picker := n.picker(c.service)
	if r.Spent > 0 && a.target != n.self() {
		trip := r.Latency - r.Spent
		n.links.observe(a.zone, trip)
		picker.Way(a.target, max(trip-n.links.least(a.zone), 0), now)
	}
	if work := n.work[c.request.Route]; r.Work > 0 && c.route != nil {
		if work > 0 {
			picker.Worked(a.target, float64(r.Work)/float64(work), now)
		}
		if a.target != n.self() {
			n.worked(c.request.Route, r.Work)
		}
	}
	n.learnFrom(picker, a.target, r, now)
}

// learnFrom tells a picker what an attempt at an upstream has shown.
func (n *Node) learnFrom(picker *balance.Picker, target string, r Attempt, now time.Time) {
	if r.Unreachable {
		picker.MarkDown(target, now)
	}
	if r.HasLoad {
		picker.Heard(target, r.Load, now)
	}
	picker.Finished(target, balance.Result{
		Latency:   r.Latency,
		Failed:    r.Outcome == call.Unknown && r.Reason != call.Cancelled || r.Outcome == call.Run && faulty(r.Status),
		NotRun:    r.Outcome == call.NotRun,
		Cancelled: r.Reason == call.Cancelled,
	}, now)
}

// hedgeDue sends a second copy of a slow call beside the first.
func (n *Node) hedgeDue(m HedgeDue, now time.Time) []Command {
	c := n.calls[m.ID]
	if c == nil || len(c.open) != 1 || c.made != 1 {
		return nil
	}
	list := n.candidates(c.service, c.selector).list
	options := n.pickOptions(c, now)
	options.NoTrial = true
	i, ok := n.pick(c.service, list, c.tried, options, now)
	if !ok || !n.policy(c.service, now).Hedge(n.try(c), now).Allowed {
		return nil
	}
	return n.forward(c, list[i].ID, now)
}

// callerLeft ends the attempts of a call that nobody waits for.
func (n *Node) callerLeft(m CallerLeft, now time.Time) []Command {
	c := n.calls[m.ID]
	if c == nil {
		return nil
	}
	delete(n.calls, m.ID)
	return n.cancelOpen(c, now)
}

// deliver ends a call with the answer of one attempt; any other is cancelled.
func (n *Node) deliver(c *callState, number int, now time.Time) []Command {
	delete(n.calls, c.request.ID)
	out := []Command{Deliver{ID: c.request.ID, Number: number}}
	return append(out, n.cancelOpen(c, now)...)
}

// giveUp ends a call with no answer from an upstream. A call of which any
// attempt may have run is unknown, whatever the last attempt proved.
func (n *Node) giveUp(c *callState, outcome call.Outcome, reason call.Reason) []Command {
	delete(n.calls, c.request.ID)
	if c.unknown {
		outcome = call.Unknown
	}
	return []Command{n.refusal(c, outcome, reason)}
}

// cancelOpen cancels every attempt still under way.
func (n *Node) cancelOpen(c *callState, now time.Time) []Command {
	var out []Command
	for _, a := range c.open {
		out = append(out, CancelForward{ID: c.request.ID, Number: a.number})
		n.picker(c.service).Finished(a.target, balance.Result{Cancelled: true, Latency: now.Sub(a.began)}, now)
	}
	return out
}

// try describes the call to the retry policy.
func (n *Node) try(c *callState) retry.Try {
	t := retry.Try{
		Idempotent: c.request.Idempotent(),
		Replayable: c.request.Replayable,
		BodyTaken:  c.bodyTaken,
		Above:      c.above,
		Made:       c.made,
		Deadline:   c.request.Deadline,
	}
	if c.route != nil {
		t.Made, t.Refused, t.Most = c.reached, c.refused, c.route.Attempts()
	}
	return t
}

// close takes an attempt off the open ones.
func (c *callState) close(number int) (attempt, bool) {
	for i, a := range c.open {
		if a.number == number {
			c.open = append(c.open[:i], c.open[i+1:]...)
			return a, true
		}
	}
	return attempt{}, false
}

// faulty reports whether a status shows a fault of the upstream rather than
// of the request.
func faulty(status int) bool {
	return status >= 500 && status != 501 && status != 505
}
