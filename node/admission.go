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
	// started is zero while the request waits.
	started time.Time
	// granted is set once the book of keys has let the request run, which it
	// must do before the time before.
	granted bool
	before  time.Time
	// pace is the upstream's pace at the start, in percent; 0 when not known.
	pace int
	// watched is true while the quarantine counts the request as in flight.
	watched bool
	// handedTo names the sibling that was given the request.
	handedTo string
}

// peerRequest lets a request run on the own upstream, or proves that it did
// not.
func (n *Node) peerRequest(m PeerRequest, now time.Time) []Command {
	id := m.Request.ID
	if reason, ok := n.acceptable(m, now); !ok {
		return []Command{Refuse{ID: id, Outcome: proved(m.Request), Reason: reason}}
	}
	if n.runs[id] != nil {
		// The same attempt twice is a fault of the sender.
		return []Command{Refuse{ID: id, Outcome: call.Unknown, Reason: call.InProgress}}
	}
	run := &runState{request: m.Request, from: m.From}
	n.runs[id] = run
	n.remember(m.From, now)
	run.request.Work = n.workOf(run.request, now)
	if run.request.Keyed() && !run.request.Granted {
		return n.decide(n.book.Begin(m.Request, now), now)
	}
	return n.arrive(run, now)
}

// arrive brings a request that may run to the gate.
func (n *Node) arrive(run *runState, now time.Time) []Command {
	request := run.request
	if !run.before.IsZero() && run.before.Before(request.Deadline) {
		request.Deadline = run.before
	}
	if c, ok := n.judge(run, now); !ok {
		return []Command{c}
	}
	return n.admit(n.gate.Arrive(request, now), now)
}

// refuseOrHandOn ends a request that the gate will not start, unless a sibling
// may take it.
func (n *Node) refuseOrHandOn(run *runState, reason call.Reason, now time.Time) Command {
	if n.mayHandOn(reason) {
		if c, ok := n.handOn(run, now); ok {
			return c
		}
	}
	return n.refuse(run, call.NotRun, reason, now)
}

// mayHandOn reports whether a request that is turned away for the reason may be
// passed to a sibling.
func (n *Node) mayHandOn(reason call.Reason) bool {
	if !n.config.Allowed(config.HandOn) {
		return false
	}
	return reason == call.Overloaded || reason == call.Slow && n.direct()
}

// refuse ends a request that did not run here. A key that was let run is given
// back, so that a resend may run.
func (n *Node) refuse(run *runState, outcome call.Outcome, reason call.Reason, now time.Time) Command {
	delete(n.runs, run.request.ID)
	outcome = n.settle(run, RunEnded{Outcome: outcome, Reason: reason}, now)
	return Refuse{ID: run.request.ID, Outcome: outcome, Reason: reason}
}

// proved is the outcome of a request that was turned away before its key, if it
// has one, was looked up. For a key notRun would cover earlier sends, of which
// nothing is known here.
func proved(r call.Request) call.Outcome {
	if r.Keyed() && !r.Granted {
		return call.Unknown
	}
	return call.NotRun
}

// acceptable makes the checks that need nothing but this daemon's own state.
func (n *Node) acceptable(m PeerRequest, now time.Time) (call.Reason, bool) {
	self := n.view.Self()
	switch {
	case m.Target != self.ID:
		return call.WrongIncarnation, false
	case m.Incarnation != 0 && m.Incarnation != n.cfg.Incarnation:
		return call.WrongIncarnation, false
	case m.Request.Service != self.Service:
		return call.WrongIncarnation, false
	case n.view.Superseded(), n.view.Paused(now):
		return call.Stale, false
	case n.leaving():
		return call.Leaving, false
	case !m.Request.Deadline.After(now):
		return call.DeadlineExceeded, false
	}
	return "", true
}

// admit turns the gate's actions into commands.
func (n *Node) admit(actions []admit.Action, now time.Time) []Command {
	var out []Command
	for _, a := range actions {
		if a.Kind == admit.Measure {
			out = append(out, n.measureNow(now)...)
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

// start runs a request that has its slot, unless it is a suspect that must wait
// for another.
func (n *Node) start(run *runState, now time.Time) []Command {
	if !n.startTrial(run, now) {
		out := []Command{n.refuse(run, call.NotRun, call.Quarantined, now)}
		return append(out, n.admit(n.gate.Finish(run.request.ID, 0, now), now)...)
	}
	run.started = now
	run.pace, _ = n.gate.Pace()
	return []Command{Run{ID: run.request.ID, Before: run.before, Pace: run.pace, Upstream: n.life(run.request.Upstream)}}
}

// runEnded frees the slot and lets the next request start.
func (n *Node) runEnded(m RunEnded, now time.Time) []Command {
	run := n.runs[m.ID]
	if run == nil {
		return nil
	}
	delete(n.runs, m.ID)
	out := n.settleEnded(run, m, now)
	out = append(out, n.endTrial(run, m, now)...)
	failed := m.Outcome != call.Run || faulty(m.Status)
	service := time.Duration(0)
	if !failed {
		service = n.learnWork(run, m.Latency)
	}
	if m.Reason != call.Cancelled {
		// What the caller cancelled shows nothing of the upstream.
		n.own.Observe(m.Latency, failed, now)
	}
	out = append(out, n.admit(n.gate.Finish(m.ID, service, now), now)...)
	if m.HasReading {
		out = append(out, n.heardOwn(m.Reading, now)...)
	}
	return out
}

// peerLeft drops a request that nobody waits for.
func (n *Node) peerLeft(m PeerLeft, now time.Time) []Command {
	run := n.runs[m.ID]
	if run == nil || run.request.Keyed() {
		// What a key allows to run goes on to its end, so that a resend can
		// be told how it ended.
		return nil
	}
	return n.admit(n.gate.Leave(m.ID, now), now)
}

// limits puts the limits in force at the gate.
func (n *Node) limits(now time.Time) []Command {
	service, ok := n.config.Service(n.view.Self().Service)
	if !ok {
		return nil
	}
	want := n.gateLimits(service, now)
	if want == n.gate.Limits() {
		return nil
	}
	return n.admit(n.gate.Resize(want, now), now)
}

// Load reports this daemon's own upstream, as other daemons receive it.
func (n *Node) Load(now time.Time) balance.Load {
	l := n.gate.Load(now)
	load := balance.Load{
		State:       balance.Serving,
		InFlight:    l.InFlight,
		Queued:      l.Queued,
		Slots:       l.Slots,
		ServiceTime: l.ServiceTime,
		FailPercent: int(100 * n.own.FailShare(now)),
	}
	if pace, at := n.gate.Pace(); pace > 0 {
		load.Pace, load.Age = pace, now.Sub(at)
	}
	switch {
	case l.Draining || n.leaving():
		load.State = balance.Draining
	case n.upstreamCold:
		load.State = balance.Cold
	case n.meter.Failures() >= downAfterFailures:
		load.State = balance.Down
	}
	return load
}

// downAfterFailures is the number of probes in a row that must fail before the
// upstream is reported as down.
const downAfterFailures = 3

// leaving reports whether new work is refused for good or until the upstream
// returns.
func (n *Node) leaving() bool {
	return n.closing || n.gate.Draining()
}
