package node

import (
	"time"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
)

// runState is one request at this daemon's admission.
type runState struct {
	request call.Request
	from    string
	// started is zero while the request is queued.
	started time.Time
	// keyGranted is set once the coordinator for idempotency keys has allowed the
	// request to run; it must then be sent to the upstream before sendBefore.
	keyGranted bool
	sendBefore time.Time
	// pace is the upstream's pace at the start, in percent of nominal; 0 if not
	// known.
	pace int
	// countedByQuarantine is true while the quarantine counts the request as in
	// flight.
	countedByQuarantine bool
	// handedTo is the ID of the sibling that the request was handed on to.
	handedTo string
}

// peerRequest runs a request on the local upstream, or refuses it with proof
// that it did not run.
func (n *Node) peerRequest(m PeerRequest, now time.Time) []Command {
	id := m.Request.ID
	if reason, ok := n.acceptable(m, now); !ok {
		return []Command{Refuse{ID: id, Outcome: notRunOutcome(m.Request), Reason: reason}}
	}
	if n.runs[id] != nil {
		// The sender must not send the same attempt twice.
		return []Command{Refuse{ID: id, Outcome: call.Unknown, Reason: call.InProgress}}
	}
	run := &runState{request: m.Request, from: m.From}
	n.runs[id] = run
	n.noteSender(m.From, now)
	run.request.ExpectedWork = n.expectedWork(run.request, now)
	run.request.WorkSpread = n.workSpread(run.request)
	if run.request.Keyed() && !run.request.KeyGranted {
		return n.applyKeyActions(n.coordinator.Begin(m.Request, now), now)
	}
	return n.submitToGate(run, now)
}

// submitToGate passes a request that may run to the gate.
func (n *Node) submitToGate(run *runState, now time.Time) []Command {
	request := run.request
	if !run.sendBefore.IsZero() && run.sendBefore.Before(request.Deadline) {
		request.Deadline = run.sendBefore
	}
	if c, ok := n.quarantineCheck(run, now); !ok {
		return []Command{c}
	}
	return n.applyGateActions(n.gate.Arrive(request, now), now)
}

// refuseOrHandOn ends a request that the gate will not start, unless it can be
// handed on to a sibling.
func (n *Node) refuseOrHandOn(run *runState, reason call.Reason, now time.Time) Command {
	n.shortage.count(reason, run.request.Priority, now)
	if n.mayHandOn(run, reason) {
		if c, ok := n.handOn(run, now); ok {
			return c
		}
	}
	return n.refuse(run, call.NotRun, reason, now)
}

// mayHandOn reports whether a request refused for this reason may be handed on
// to a sibling.
func (n *Node) mayHandOn(run *runState, reason call.Reason) bool {
	if reason == call.Evacuated && run.keyGranted {
		// Its home alone knows about the key, so the sender has no other to try.
		return true
	}
	if !n.config.Allowed(config.HandOn) {
		return false
	}
	return reason == call.Overloaded || reason == call.Slow && n.direct()
}

// refuse ends a request that did not run here. If its idempotency key was
// granted, the grant is returned so that a resend may run.
func (n *Node) refuse(run *runState, outcome call.Outcome, reason call.Reason, now time.Time) Command {
	delete(n.runs, run.request.ID)
	outcome = n.resolve(run, RunEnded{Outcome: outcome, Reason: reason}, now)
	return Refuse{ID: run.request.ID, Outcome: outcome, Reason: reason}
}

// notRunOutcome returns the outcome of a request that was refused before its
// key, if it has one, was looked up. For a key, notRun would also cover earlier
// sends, which are not known here.
func notRunOutcome(r call.Request) call.Outcome {
	if r.Keyed() && !r.KeyGranted {
		return call.Unknown
	}
	return call.NotRun
}

// acceptable performs the checks that need only this daemon's own state.
func (n *Node) acceptable(m PeerRequest, now time.Time) (call.Reason, bool) {
	self := n.view.Self()
	switch {
	case m.Target != self.ID:
		return call.WrongIncarnation, false
	case m.Incarnation != 0 && m.Incarnation != n.cfg.Incarnation:
		return call.WrongIncarnation, false
	case m.Request.Service != self.Service:
		return call.WrongIncarnation, false
	case n.view.Superseded(), n.view.Stale(now):
		return call.Stale, false
	case n.leaving(), n.outlastsStop(m.Request, now):
		return call.Leaving, false
	case !n.runsInRegion(m.Request):
		return call.WrongRegion, false
	case !m.Request.Deadline.After(now):
		return call.DeadlineExceeded, false
	}
	return "", true
}

// applyGateActions turns the gate's actions into commands.
func (n *Node) applyGateActions(actions []admit.Action, now time.Time) []Command {
	var out []Command
	for _, a := range actions {
		if a.Kind == admit.Measure {
			out = append(out, n.measurePace(now)...)
			continue
		}
		if a.Kind == admit.Probe {
			out = append(out, n.probeWarmth(now)...)
			continue
		}
		run := n.runs[a.CallID]
		if run == nil {
			continue
		}
		switch a.Kind {
		case admit.Start:
			out = append(out, n.start(run, now)...)
		case admit.Refuse:
			out = append(out, n.refuseOrHandOn(run, a.Reason, now))
		case admit.Cancel:
			out = append(out, CancelRun{ID: a.CallID})
		}
	}
	return out
}

// start runs a request that holds a slot, unless it is a suspect that must wait
// for another suspect to end.
func (n *Node) start(run *runState, now time.Time) []Command {
	if !n.quarantineStart(run, now) {
		out := []Command{n.refuse(run, call.NotRun, call.Quarantined, now)}
		return append(out, n.applyGateActions(n.gate.Finish(run.request.ID, 0, now), now)...)
	}
	run.started = now
	run.pace, _ = n.gate.Pace()
	return []Command{Run{ID: run.request.ID, SendBefore: run.sendBefore, Pace: run.pace, UpstreamIncarnation: n.targetIncarnation(run.request.UpstreamIncarnation)}}
}

// runEnded frees the slot and lets the next request start.
func (n *Node) runEnded(m RunEnded, now time.Time) []Command {
	run := n.runs[m.ID]
	if run == nil {
		return nil
	}
	delete(n.runs, m.ID)
	if m.Crashed || m.Reason == call.UpstreamReplaced {
		n.gate.ForgetWarmth(now)
	}
	out := n.resolveEnded(run, m, now)
	out = append(out, n.quarantineEnd(run, m, now)...)
	failed := m.Outcome != call.Run || isUpstreamFault(m.Status)
	service := time.Duration(0)
	if !failed {
		service = n.learnWork(run, m.Latency)
		n.observeRouteTime(run.request.Route, m.Latency, now)
	}
	if m.Reason != call.Cancelled && m.Reason != call.Evacuated {
		// A run cancelled by the caller, or refused before it was sent, says nothing
		// about the upstream.
		n.localEstimate.Observe(m.Latency, failed, now)
	}
	out = append(out, n.applyGateActions(n.gate.Finish(m.ID, service, now), now)...)
	if m.HasReading {
		out = append(out, n.applyReading(m.Reading, now)...)
	}
	return out
}

// peerLeft drops a request whose sender no longer waits.
func (n *Node) peerLeft(m PeerLeft, now time.Time) []Command {
	run := n.runs[m.ID]
	if run == nil || run.request.Keyed() {
		// A keyed request runs to its end, so that its outcome can be reported
		// to a resend.
		return nil
	}
	return n.applyGateActions(n.gate.Cancel(m.ID, now), now)
}

// applyLimits sets the limits in force at the gate.
func (n *Node) applyLimits(now time.Time) []Command {
	service, ok := n.config.Service(n.view.Self().Service)
	if !ok {
		return nil
	}
	limits := n.gateLimits(service, now)
	if limits == n.gate.Limits() {
		return nil
	}
	return n.applyGateActions(n.gate.SetLimits(limits, now), now)
}

// Load returns the load report for the local upstream, as other daemons receive
// it.
func (n *Node) Load(now time.Time) balance.Load {
	l := n.gate.Load(now)
	load := balance.Load{
		State:       balance.Serving,
		InFlight:    l.InFlight,
		Queued:      l.Queued,
		Slots:       l.Slots,
		ServiceTime: l.ServiceTime,
		FailPercent: int(100 * n.localEstimate.FailShare(now)),
	}
	if pace, at := n.gate.Pace(); pace > 0 {
		load.Pace, load.Age = pace, now.Sub(at)
	}
	switch {
	case n.Evacuated():
		load.State = balance.Draining
	case n.awaitsUpstream():
		// Others may know of the upstream before this daemon does. They would not
		// send anything to one that drains for some time.
		load.State = balance.Cold
		if n.hasColdLimit() {
			// No slots distinguish it from a cold upstream that takes calls.
			load.Slots = 0
		}
	case l.Draining || n.leaving():
		load.State = balance.Draining
	case n.upstreamCold:
		load.State = balance.Cold
	case n.meter.Failures() >= downAfterFailures:
		load.State = balance.Down
	default:
		n.reportCold(&load, now)
	}
	return load
}

// downAfterFailures is the number of consecutive failed probes after which the
// upstream is reported as down.
const downAfterFailures = 3

// awaitsUpstream reports whether the daemon has started, and the local upstream has not
// been listed since.
func (n *Node) awaitsUpstream() bool {
	return n.direct() && !n.upstreamListed && !n.stopping && !n.closing
}

// leaving reports whether new work is refused, for good or until the upstream
// returns.
func (n *Node) leaving() bool {
	return n.closing || n.gate.Draining()
}

// madeByRun reports whether the request is a call that the local upstream makes while it
// runs another request. The parent must be a request that runs here, so that callers
// cannot claim it for others.
func (n *Node) madeByRun(r call.Request) bool {
	if r.ParentToken == "" {
		return false
	}
	for _, run := range n.runs {
		if !run.started.IsZero() && run.handedTo == "" && run.request.Token == r.ParentToken {
			return true
		}
	}
	return false
}
