package node

import (
	"encoding/json"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/quarantine"
)

// kindSuspects carries what a daemon holds against requests.
const kindSuspects = "quarantine"

// retellEvery is how often some other daemon of the service is told all that
// is held, in case it missed a message or has just started.
const retellEvery = 5 * time.Second

// judge says what a quarantine lets a request do here before it may wait for a
// slot. ok is true when it may go on; otherwise the command ends it here.
func (n *Node) judge(run *runState, now time.Time) (c Command, ok bool) {
	if !n.config.Allowed(config.Quarantine) {
		return nil, true
	}
	switch n.suspects.Judge(run.request.Fingerprint, now) {
	case quarantine.Banned:
		return n.refuse(run, call.NotRun, call.Quarantined, now), false
	case quarantine.Trial:
		return n.sendToTrial(run, now)
	}
	return nil, true
}

// sendToTrial lets a suspect run here only if this is its trial upstream.
func (n *Node) sendToTrial(run *runState, now time.Time) (Command, bool) {
	service, selector, ok := n.allowedFor(run.request)
	if !ok {
		return n.refuse(run, call.NotRun, call.NoSelector, now), false
	}
	target, ok := n.trialUpstream(service, selector, run.request.Fingerprint)
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

// trialUpstream names the one upstream at which a suspect may run.
func (n *Node) trialUpstream(service *config.Service, selector *config.Selector, fingerprint uint64) (string, bool) {
	var ids []string
	for _, c := range n.candidates(service, selector).list {
		ids = append(ids, c.ID)
	}
	return quarantine.TrialUpstream(fingerprint, ids)
}

// startTrial asks the quarantine at the moment at which a request would start.
func (n *Node) startTrial(run *runState, now time.Time) bool {
	if !n.config.Allowed(config.Quarantine) {
		return true
	}
	switch n.suspects.Start(run.request.Fingerprint, now) {
	case quarantine.Busy, quarantine.Banned:
		return false
	}
	run.watched = true
	return true
}

// endTrial tells the quarantine how a request ended. The first one to end by a
// crash of the upstream stands for all that were in flight.
func (n *Node) endTrial(run *runState, m RunEnded, now time.Time) []Command {
	if !run.watched {
		return nil
	}
	if !m.Crashed {
		return n.tellSuspects(n.suspects.End(run.request.Fingerprint, m.Outcome == call.Run, now))
	}
	for _, other := range n.runs {
		other.watched = false
	}
	note := Note{Part: "quarantine", Text: "The upstream has crashed.", Warn: true}
	return append(n.tellSuspects(n.suspects.Crashed(now)), note)
}

// tellSuspects tells every other daemon of the service.
func (n *Node) tellSuspects(entries []quarantine.Entry) []Command {
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

// suspectsHeard takes in what another daemon of the service holds.
func (n *Node) suspectsHeard(body json.RawMessage, now time.Time) {
	var entries []quarantine.Entry
	if json.Unmarshal(body, &entries) == nil {
		n.suspects.Merge(entries, now)
	}
}

// keepSuspects forgets what has expired, and retells one sibling in turn.
func (n *Node) keepSuspects(now time.Time) []Command {
	if now.Sub(n.lastRetold) < retellEvery {
		return nil
	}
	n.lastRetold = now
	n.suspects.Tick(now)
	entries := n.suspects.Entries(now)
	siblings := n.view.Siblings(siblingCount)
	if len(entries) == 0 || len(siblings) == 0 {
		return nil
	}
	to := siblings[n.cfg.Rand()%uint64(len(siblings))]
	return n.send(to.ID, kindSuspects, entries)
}
