package node

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/once"
)

// heartbeatsPerLease is the number of heartbeats sent within one lease.
const heartbeatsPerLease = 3

// chooseHome returns the daemon that decides on the call's key. There is only
// one; once it has been tried there is no alternative.
func (n *Node) chooseHome(c *callState) (string, call.Reason, bool) {
	home, ok, reason := once.Route(c.request.Key, n.members(c.service.Name()))
	switch {
	case !ok:
		return "", reason, false
	case slices.Contains(c.tried, home.ID):
		return "", call.KeyHomeGone, false
	}
	if record, _ := n.view.Lookup(home.ID); !allowsRegion(c.route, record.Region) {
		return "", call.WrongRegion, false
	}
	return home.ID, "", true
}

// members returns a service's instances as members of package once.
func (n *Node) members(service string) []once.Member {
	generation := n.view.Generation()
	if set := n.homes[service]; set != nil && set.generation == generation {
		return set.members
	}
	set := &homeSet{generation: generation}
	for _, m := range n.view.Group(service) {
		set.members = append(set.members, once.Member{
			Incarnation: once.Incarnation{ID: m.ID, Number: m.Incarnation},
			Live:        m.State == membership.Live,
		})
	}
	n.homes[service] = set
	return set.members
}

// homeSet is a service's instances at one generation of the membership.
type homeSet struct {
	generation uint64
	members    []once.Member
}

// applyKeyActions turns the coordinator's actions into commands.
func (n *Node) applyKeyActions(actions []once.Action, now time.Time) []Command {
	var out []Command
	for _, a := range actions {
		if a.Kind == once.SendClaim {
			out = append(out, n.send(a.Claim.To.ID, kindClaim, a.Claim)...)
			continue
		}
		run := n.runs[a.CallID]
		if run == nil {
			if a.Kind == once.Run {
				n.coordinator.Finish(a.Key, call.NotRun, once.StoredAnswer{}, now)
			}
			continue
		}
		switch a.Kind {
		case once.Run:
			run.keyGranted = true
			run.sendBefore = a.Until
			out = append(out, n.runKeyed(run, now)...)
		case once.Refuse:
			out = append(out, n.refuse(run, a.Outcome, a.Reason, now))
		case once.Replay:
			out = append(out, n.replay(run, a.Answer))
		}
	}
	return out
}

// runKeyed runs a keyed request on the local upstream, or hands it on to a
// sibling if the selectors do not allow the local one.
func (n *Node) runKeyed(run *runState, now time.Time) []Command {
	if n.homeMayRun(run.request) {
		return n.submitToGate(run, now)
	}
	if c, ok := n.handOn(run, now); ok {
		return []Command{c}
	}
	return []Command{n.refuse(run, call.NotRun, call.NoUpstream, now)}
}

// replay answers a resend with the stored result of the only run.
func (n *Node) replay(run *runState, stored once.StoredAnswer) Command {
	delete(n.runs, run.request.ID)
	r := Refuse{ID: run.request.ID, Outcome: stored.Outcome, Reason: call.Replayed}
	if stored.Outcome == call.Run {
		r.Status, r.Body, r.BodyComplete = stored.Status, stored.Body, stored.BodyComplete
	}
	return r
}

// resolve reports the end of a key's run to the coordinator, and returns the
// outcome that may be reported to the sender.
func (n *Node) resolve(run *runState, m RunEnded, now time.Time) call.Outcome {
	if !run.keyGranted {
		return m.Outcome
	}
	answer := once.StoredAnswer{Outcome: m.Outcome, Status: m.Status}
	if m.Outcome == call.Run && m.Body != nil {
		answer.Body, answer.BodyComplete = slices.Clone(m.Body), true
	}
	return n.coordinator.Finish(run.request.Key, m.Outcome, answer, now)
}

// resolveEnded is resolve for a request whose end the caller of Update already
// knows.
func (n *Node) resolveEnded(run *runState, m RunEnded, now time.Time) []Command {
	outcome := n.resolve(run, m, now)
	if outcome == m.Outcome {
		return nil
	}
	return []Command{CorrectOutcome{ID: m.ID, Outcome: outcome}}
}

// tickCoordinator does the periodic work for keys: membership changes, timeouts
// and heartbeats.
func (n *Node) tickCoordinator(now time.Time) []Command {
	if generation := n.view.Generation(); generation != n.coordinatorGeneration {
		n.coordinatorGeneration = generation
		n.coordinator.SetGroup(once.Group(n.members(n.cfg.Self.Service)), now)
	}
	out := n.applyKeyActions(n.coordinator.Tick(now), now)
	if now.Sub(n.lastHeartbeat) < once.DefaultLease/heartbeatsPerLease {
		return out
	}
	n.lastHeartbeat = now
	recipients := n.coordinator.Recipients()
	if len(recipients) == 0 {
		return out
	}
	heartbeat := n.coordinator.Heartbeat(now)
	for _, id := range recipients {
		out = append(out, n.send(id, kindHeartbeat, heartbeat)...)
	}
	return out
}

// IssueKey returns a key that only this daemon may allow to run, or false once
// it is leaving.
func (n *Node) IssueKey(now time.Time) (string, bool) {
	if n.leaving() || n.view.Stale(now) || n.view.Superseded() {
		return "", false
	}
	return n.coordinator.IssueKey(now)
}
