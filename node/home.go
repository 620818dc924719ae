package node

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/once"
)

// beatsPerLease is how often heartbeats go out within one lease.
const beatsPerLease = 3

// chooseHome names the daemon that decides on the call's key. There is one
// only; when it has been tried there is nobody else to ask.
func (n *Node) chooseHome(c *callState) (string, call.Reason, bool) {
	home, ok, reason := once.Route(c.request.Key, n.members(c.service.Name()))
	switch {
	case !ok:
		return "", reason, false
	case slices.Contains(c.tried, home.ID):
		return "", call.KeyHomeGone, false
	}
	return home.ID, "", true
}

// members returns a service's instances in the words of package once.
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

// homeSet is a service's instances as of one state of the membership.
type homeSet struct {
	generation uint64
	members    []once.Member
}

// decide turns the actions of the book of keys into commands.
func (n *Node) decide(actions []once.Action, now time.Time) []Command {
	var out []Command
	for _, a := range actions {
		if a.Kind == once.Ask {
			out = append(out, n.send(a.Claim.To.ID, kindClaim, a.Claim)...)
			continue
		}
		run := n.runs[a.CallID]
		if run == nil {
			if a.Kind == once.Run {
				n.book.Finish(a.Key, call.NotRun, once.Answer{}, now)
			}
			continue
		}
		switch a.Kind {
		case once.Run:
			run.granted = true
			run.before = a.Until
			out = append(out, n.runKeyed(run, now)...)
		case once.Refuse:
			out = append(out, n.refuse(run, a.Outcome, a.Reason, now))
		case once.Replay:
			out = append(out, n.replay(run, a.Answer))
		}
	}
	return out
}

// runKeyed runs a keyed request on the own upstream, or on a sibling's where the
// selectors do not allow the own one.
func (n *Node) runKeyed(run *runState, now time.Time) []Command {
	if n.homeMayRun(run.request) {
		return n.arrive(run, now)
	}
	if c, ok := n.handOn(run, now); ok {
		return []Command{c}
	}
	return []Command{n.refuse(run, call.NotRun, call.NoUpstream, now)}
}

// replay answers a resend with what is kept of the one run.
func (n *Node) replay(run *runState, kept once.Answer) Command {
	delete(n.runs, run.request.ID)
	r := Refuse{ID: run.request.ID, Outcome: kept.Outcome, Reason: call.Replayed}
	if kept.Outcome == call.Run {
		r.Status, r.Body, r.Whole = kept.Status, kept.Body, kept.Whole
	}
	return r
}

// settle tells the book how the run of a key ended, and returns what may be told
// of it.
func (n *Node) settle(run *runState, m RunEnded, now time.Time) call.Outcome {
	if !run.granted {
		return m.Outcome
	}
	answer := once.Answer{Outcome: m.Outcome, Status: m.Status}
	if m.Outcome == call.Run && m.Body != nil {
		answer.Body, answer.Whole = slices.Clone(m.Body), true
	}
	return n.book.Finish(run.request.Key, m.Outcome, answer, now)
}

// settleEnded is settle for a request whose end the wiring already knows.
func (n *Node) settleEnded(run *runState, m RunEnded, now time.Time) []Command {
	outcome := n.settle(run, m, now)
	if outcome == m.Outcome {
		return nil
	}
	return []Command{Settled{ID: m.ID, Outcome: outcome}}
}

// keepBook does what is due for keys by time alone.
func (n *Node) keepBook(now time.Time) []Command {
	if generation := n.view.Generation(); generation != n.bookView {
		n.bookView = generation
		n.book.SetView(once.Group(n.members(n.cfg.Self.Service)), now)
	}
	out := n.decide(n.book.Tick(now), now)
	if now.Sub(n.lastBeat) < once.DefaultLease/beatsPerLease {
		return out
	}
	n.lastBeat = now
	audience := n.book.Audience()
	if len(audience) == 0 {
		return out
	}
	beat := n.book.Heartbeat(now)
	for _, id := range audience {
		out = append(out, n.send(id, kindHeartbeat, beat)...)
	}
	return out
}

// IssueKey returns a key that only this daemon lets run, or false once it is
// leaving.
func (n *Node) IssueKey(now time.Time) (string, bool) {
	if n.leaving() || n.view.Paused(now) || n.view.Superseded() {
		return "", false
	}
	return n.book.IssueKey(now)
}
