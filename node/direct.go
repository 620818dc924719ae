package node

import (
	"fmt"
	"time"

	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/membership"
)

// direct reports whether this daemon reads the store itself. Daemons then do
// not exchange documents and instances.
func (n *Node) direct() bool { return n.spread == nil }

// instancesListed applies the store's list of instances.
func (n *Node) instancesListed(m InstancesListed, now time.Time) []Command {
	n.view.EndPause()
	n.instancesKnown = true
	before := n.upstreamState()
	old := n.recordsByIncarnation()
	list, out := n.withoutReturned(m, now)
	if !n.view.ReplaceAll(list, now) {
		return out
	}
	n.forgetGone()
	out = append(out, n.logChanges(old, m.Revision)...)
	return append(out, n.followUpstream(before, now)...)
}

// withoutReturned returns the list without the upstreams that came back with an older copy of
// the store, and logs how many these are when that changes.
func (n *Node) withoutReturned(m InstancesListed, now time.Time) ([]membership.StoreEntry, []Command) {
	before := n.eraFilter.HeldBack()
	list := n.eraFilter.Filter(m.List, m.Era, m.Revision, now)
	if after := n.eraFilter.HeldBack(); after != before {
		return list, []Command{LogEntry{
			Part:   "membership",
			Text:   "Upstreams that were leaving or gone when the store returned stay so.",
			Fields: []any{"upstreams", after, "era", m.Era, "storeRevision", m.Revision},
		}}
	}
	return list, nil
}

// recordsByIncarnation returns the record of each instance, keyed by its ID and
// the incarnation of its upstream.
func (n *Node) recordsByIncarnation() map[string]membership.Record {
	all := map[string]membership.Record{}
	for _, r := range n.view.All() {
		all[r.ID+" "+r.UpstreamIncarnation] = r
	}
	return all
}

// logChanges logs the differences between old and the present records.
func (n *Node) logChanges(old map[string]membership.Record, revision uint64) []Command {
	var out []Command
	changes := 0
	add := func(text string, r membership.Record) {
		if changes++; changes > maxChangeEntries {
			return
		}
		out = append(out, LogEntry{Part: "membership", Text: text, Fields: []any{
			"instance", r.ID, "upstream", r.UpstreamIncarnation, "service", r.Service, "state", r.State, "storeRevision", revision,
		}})
	}
	for key, r := range n.recordsByIncarnation() {
		previous, known := old[key]
		delete(old, key)
		switch {
		case !known:
			add("An upstream was added to the list.", r)
		case previous.State != r.State:
			add("An upstream changed state.", r)
		}
	}
	for _, r := range old {
		add("An upstream was removed from the list.", r)
	}
	if changes > maxChangeEntries {
		out = append(out, LogEntry{Part: "membership", Text: "More upstreams changed than are logged.", Fields: []any{
			"more", changes - maxChangeEntries, "listed", len(n.view.All()), "storeRevision", revision,
		}})
	}
	return out
}

// maxChangeEntries limits the log lines per reading of the list.
const maxChangeEntries = 16

// upstreamState is the incarnation and state of the local upstream.
type upstreamState struct {
	incarnation string
	state       membership.State
}

func (n *Node) upstreamState() upstreamState {
	self := n.view.Self()
	return upstreamState{self.UpstreamIncarnation, self.State}
}

// followUpstream opens and closes the gate as the local upstream arrives and
// leaves.
func (n *Node) followUpstream(before upstreamState, now time.Time) []Command {
	after := n.upstreamState()
	n.noteColdIncarnation(after.incarnation, now)
	if after == before || n.closing {
		return nil
	}
	n.upstreamListed = n.upstreamListed || after.state != membership.Gone
	out := n.applyLimits(now)
	switch {
	case after.state == membership.Live && n.gate.Draining():
		n.gate.Open()
		out = append(out, LogEntry{Part: "admit", Text: "The upstream is serving. New work is accepted.", Fields: []any{"upstream", after.incarnation}})
	case after.state != membership.Live && !n.gate.Draining():
		out = append(out, n.applyGateActions(n.gate.Drain(now), now)...)
		out = append(out, LogEntry{
			Part: "admit", Text: "The upstream is leaving. No new work is accepted.", Warn: true,
			Fields: []any{"upstream", after.incarnation, "state", after.state},
		})
	}
	return out
}

// forgetGone drops the statistics of instances that are no longer listed.
func (n *Node) forgetGone() {
	for _, p := range n.pickers {
		p.Retain(func(id string) bool {
			_, ok := n.view.Lookup(id)
			return ok
		})
	}
}

// documentRead applies a document of the store, or keeps the last valid one.
func (n *Node) documentRead(m DocumentRead, now time.Time) []Command {
	if m.Err != nil {
		return n.rejectDocument(m.Key, m.Err, now)
	}
	return n.applyDocument(m.Document, now)
}

// applyDocument puts a document in force if it is newer than the one held.
func (n *Node) applyDocument(d config.Document, now time.Time) []Command {
	changed, conflict := n.config.Apply(d)
	out := []Command{}
	fields := []any{"key", d.Key(), "revision", d.Revision(), "digest", d.Digest()}
	if conflict {
		out = append(out, LogEntry{Part: "config", Text: "Two different documents have the same revision.", Warn: true, Fields: fields})
	}
	if changed {
		out = append(out, LogEntry{Part: "config", Text: "A document is in force.", Fields: fields})
		out = append(out, n.applyLimits(now)...)
		out = append(out, n.applyEvacuations(now)...)
		out = append(out, n.logRegions(d)...)
	}
	return out
}

// documentsComplete enables automatic actions: every document of the store,
// including the switches, has been read once.
func (n *Node) documentsComplete(now time.Time) []Command {
	if n.config.Confirmed() {
		return nil
	}
	n.config.Confirm()
	text := fmt.Sprintf("All documents have been read, %d are in force.", len(n.config.Documents()))
	out := []Command{LogEntry{Part: "config", Text: text}}
	return append(out, n.applyLimits(now)...)
}

// PeerCount returns the number of other known daemons.
func (n *Node) PeerCount() int { return n.view.PeerCount() }

// minSharedZone is the number of live daemons in an availability zone from which on a
// few read the store for all. In a smaller zone each reads for itself: that saves the
// detour, and costs few calls.
const minSharedZone = 9

// storeReadersPerZone is the number of daemons of a zone that others poll. The first of
// them reads the store, and each of the others once those before it are lost.
const storeReadersPerZone = 3

// StoreReaders returns the daemons of the availability zone that read the store for
// this one, in order of preference. Without any, this daemon reads for itself. shared
// is true if it is one of those that others poll.
func (n *Node) StoreReaders() (readers []membership.Instance, shared bool) {
	chosen, zoneLive := n.view.Readers(storeReadersPerZone)
	if zoneLive < minSharedZone {
		return nil, false
	}
	for _, r := range chosen {
		if r.ID == n.self() {
			return readers, true
		}
		readers = append(readers, r.Instance)
	}
	if n.cfg.Incarnation%2 == 1 {
		// Half of the daemons prefer the second reader, to which the first passes on
		// what it reads.
		readers[0], readers[1] = readers[1], readers[0]
	}
	return readers, false
}

// CopyLender returns a daemon that may have a newer copy of the store, or false if
// no other is known. Every second one is chosen from the whole fleet, because
// an entire zone may have lost the store.
func (n *Node) CopyLender(try int) (membership.Instance, bool) {
	neighbours := n.view.Neighbours()
	if try%2 == 0 && len(neighbours) > 0 {
		return neighbours[n.cfg.Rand()%uint64(len(neighbours))].Instance, true
	}
	r, ok := n.view.RandomPeer(n.cfg.Rand())
	return r.Instance, ok
}
