package node

import (
	"fmt"
	"time"

	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/membership"
)

// direct reports whether this daemon reads the store itself, which then leaves
// nothing for daemons to tell each other of documents and instances.
func (n *Node) direct() bool { return n.spread == nil }

// instancesListed takes in the store's list of instances.
func (n *Node) instancesListed(m InstancesListed, now time.Time) []Command {
	n.view.Fresh()
	before := n.upstreamState()
	old := n.recordsByLife()
	if !n.view.Replace(m.List, now) {
		return nil
	}
	n.forgetGone()
	out := n.noteChanges(old, m.Revision)
	return append(out, n.followOwn(before, now)...)
}

// recordsByLife returns what is known of each instance, by the life of its
// upstream.
func (n *Node) recordsByLife() map[string]membership.Record {
	all := map[string]membership.Record{}
	for _, r := range n.view.All() {
		all[r.ID+" "+r.Upstream] = r
	}
	return all
}

// noteChanges tells the log what has changed since old.
func (n *Node) noteChanges(old map[string]membership.Record, revision uint64) []Command {
	var out []Command
	changes := 0
	note := func(text string, r membership.Record) {
		if changes++; changes > maxNotes {
			return
		}
		out = append(out, Note{Part: "membership", Text: text, Fields: []any{
			"instance", r.ID, "upstream", r.Upstream, "service", r.Service, "state", r.State, "storeRevision", revision,
		}})
	}
	for key, r := range n.recordsByLife() {
		was, known := old[key]
		delete(old, key)
		switch {
		case !known:
			note("An upstream is listed.", r)
		case was.State != r.State:
			note("An upstream has changed its state.", r)
		}
	}
	for _, r := range old {
		note("An upstream is gone from the list.", r)
	}
	if changes > maxNotes {
		out = append(out, Note{Part: "membership", Text: "More upstreams have changed.", Fields: []any{
			"more", changes - maxNotes, "listed", len(n.view.All()), "storeRevision", revision,
		}})
	}
	return out
}

// maxNotes bounds the log lines on one reading of the list.
const maxNotes = 16

// upstreamState is the life and the state of the own upstream.
type upstreamState struct {
	life  string
	state membership.State
}

func (n *Node) upstreamState() upstreamState {
	self := n.view.Self()
	return upstreamState{self.Upstream, self.State}
}

// followOwn opens and closes the gate as the own upstream comes and goes.
func (n *Node) followOwn(before upstreamState, now time.Time) []Command {
	after := n.upstreamState()
	if after == before || n.closing {
		return nil
	}
	out := n.limits(now)
	switch {
	case after.state == membership.Live && n.gate.Draining():
		n.gate.Open()
		out = append(out, Note{Part: "admit", Text: "The upstream serves.", Fields: []any{"upstream", after.life}})
	case after.state != membership.Live && !n.gate.Draining():
		out = append(out, n.admit(n.gate.Drain(now), now)...)
		out = append(out, Note{
			Part: "admit", Text: "The upstream is leaving. No new work is accepted.", Warn: true,
			Fields: []any{"upstream", after.life, "state", after.state},
		})
	}
	return out
}

// forgetGone drops what was learned of instances that are no longer listed.
func (n *Node) forgetGone() {
	for _, p := range n.pickers {
		p.Retain(func(id string) bool {
			_, ok := n.view.Lookup(id)
			return ok
		})
	}
}

// documentRead puts a document of the store in force, or keeps the last good
// one.
func (n *Node) documentRead(m DocumentRead, now time.Time) []Command {
	if m.Err != nil {
		return n.rejectDocument(m.Key, m.Err, now)
	}
	return n.takeDocument("store:"+m.Key, m.Key, m.Body, now)
}

// takeDocument puts a document in force if it can be read and is newer than the
// one held.
func (n *Node) takeDocument(file, key string, body []byte, now time.Time) []Command {
	d, err := config.ParseKey(file, key, body)
	if err != nil {
		return n.rejectDocument(key, err, now)
	}
	changed, conflict := n.config.Apply(d)
	out := []Command{}
	fields := []any{"key", d.Key(), "revision", d.Revision(), "digest", d.Digest()}
	if conflict {
		out = append(out, Note{Part: "config", Text: "Two documents carry one revision.", Warn: true, Fields: fields})
	}
	if changed {
		out = append(out, Note{Part: "config", Text: "A document is in force.", Fields: fields})
		out = append(out, n.limits(now)...)
	}
	return out
}

// documentsComplete lets automatic actions begin: every document of the store
// has been read once, the switches among them.
func (n *Node) documentsComplete(now time.Time) []Command {
	if n.config.Confirmed() {
		return nil
	}
	n.config.Confirm()
	text := fmt.Sprintf("All documents have been read, %d are in force.", len(n.config.Documents()))
	out := []Command{Note{Part: "config", Text: text}}
	return append(out, n.limits(now)...)
}

// Others returns how many other daemons are known.
func (n *Node) Others() int { return n.view.PeerCount() }

// Lender returns a daemon whose copy of the store may be newer, or false if no
// other is known. Every second one is from anywhere: a whole zone may have lost
// the store.
func (n *Node) Lender(try int) (membership.Instance, bool) {
	near := n.view.Neighbours()
	if try%2 == 0 && len(near) > 0 {
		return near[n.cfg.Rand()%uint64(len(near))].Instance, true
	}
	r, ok := n.view.Other(n.cfg.Rand())
	return r.Instance, ok
}
