package node

import (
	"encoding/json"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/quarantine"
)

// kindSuspects is the kind of control message that carries quarantine entries.
const kindSuspects = "quarantine"

// suspectsInterval is how often all entries are sent to a random sibling, with the
// times of the last attempts, on which the ends of bans depend.
const suspectsInterval = 5 * time.Second

// quarantineCheck decides, by the evidence in the quarantine, whether a request may
// wait for a slot here. If ok is false, the command ends the request here.
func (n *Node) quarantineCheck(run *runState, now time.Time) (c Command, ok bool) {
	if !n.config.Allowed(config.Quarantine) {
		return nil, true
	}
	switch n.suspects.Check(run.request.Fingerprint, now) {
	case quarantine.Banned:
		return n.refuse(run, call.NotRun, call.Quarantined, now), false
	case quarantine.Trial:
		return n.sendToTrial(run, now)
	}
	return nil, true
}

// sendToTrial lets a suspect run here only if this is its trial upstream.
// Otherwise it is handed on to that upstream once, or refused.
func (n *Node) sendToTrial(run *runState, now time.Time) (Command, bool) {
	service, selector, ok := n.selectorFor(run.request)
	if !ok {
		return n.refuse(run, call.NotRun, call.NoSelector, now), false
	}
	target, ok := n.trialUpstream(service, selector, n.routeOf(run.request), run.request.Fingerprint)
	if ok && target == n.self() {
		return nil, true
	}
	if ok && run.request.Hops == 0 {
		if c, sent := n.handOnTo(run, service, target, now); sent {
			return c, false
		}
	}
	return n.refuse(run, call.NotRun, call.Quarantined, now), false
}

// trialUpstream returns the ID of the only upstream at which a suspect may run.
func (n *Node) trialUpstream(service *config.Service, selector *config.Selector, route *config.Route, fingerprint uint64) (string, bool) {
	var ids []string
	for _, c := range n.candidates(service, selector, route).list {
		ids = append(ids, c.ID)
	}
	return quarantine.TrialUpstream(fingerprint, ids)
}

// quarantineStart registers a request with the quarantine when it is about to
// start, and reports whether it may run.
func (n *Node) quarantineStart(run *runState, now time.Time) bool {
	if !n.config.Allowed(config.Quarantine) {
		return true
	}
	switch n.suspects.Start(run.request.Fingerprint, now) {
	case quarantine.Busy, quarantine.Banned:
		return false
	}
	run.countedByQuarantine = true
	return true
}

// quarantineEnd reports the end of a request to the quarantine. The first
// request to end in a crash of the upstream accounts for all that were in
// flight.
func (n *Node) quarantineEnd(run *runState, m RunEnded, now time.Time) []Command {
	if !run.countedByQuarantine {
		return nil
	}
	if !m.Crashed {
		return n.sendSuspects(n.suspects.End(run.request.Fingerprint, m.Outcome == call.Run, now))
	}
	for _, other := range n.runs {
		other.countedByQuarantine = false
	}
	logEntry := LogEntry{Part: "quarantine", Text: "The upstream has crashed.", Warn: true}
	return append(n.sendSuspects(n.suspects.Crashed(now)), logEntry)
}

// sendSuspects sends entries to every other daemon of the service.
func (n *Node) sendSuspects(entries []quarantine.Entry) []Command {
	if len(entries) == 0 {
		return nil
	}
	var out []Command
	for _, r := range n.view.Serving(n.cfg.Self.Service) {
		if r.ID != n.self() {
			out = append(out, n.send(r.ID, kindSuspects, entries)...)
		}
	}
	return out
}

// receiveSuspects merges entries of another daemon of the service.
func (n *Node) receiveSuspects(body json.RawMessage, now time.Time) {
	var entries []quarantine.Entry
	if json.Unmarshal(body, &entries) == nil {
		n.suspects.Merge(entries, now)
	}
}

// tickSuspects drops expired entries and sends the rest to one random sibling.
func (n *Node) tickSuspects(now time.Time) []Command {
	if now.Sub(n.suspectsSentAt) < suspectsInterval {
		return nil
	}
	n.suspectsSentAt = now
	n.suspects.Expire(now)
	entries := n.suspects.Entries(now)
	siblings := n.view.Siblings(siblingCount)
	if len(entries) == 0 || len(siblings) == 0 {
		return nil
	}
	to := siblings[n.cfg.Rand()%uint64(len(siblings))]
	return n.send(to.ID, kindSuspects, entries)
}
