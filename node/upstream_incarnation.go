package node

import "time"

// Bounds of the delay between two queries to the store for the local upstream's
// incarnation. An upstream lists itself a moment after its start; the delay
// doubles while it is not listed.
const (
	minRereadDelay = 200 * time.Millisecond
	maxRereadDelay = 5 * time.Second
)

// noteUpstreamIncarnation records the incarnation that the local upstream
// reports. If it is not the listed one, the store is queried for it: until the
// list has it, requests for it are refused.
func (n *Node) noteUpstreamIncarnation(reported string, now time.Time) []Command {
	if reported == "" {
		return nil
	}
	listed := n.view.Self().UpstreamIncarnation
	if reported == listed || reported != n.reportedIncarnation {
		n.rereadDelay = 0
	}
	n.reportedIncarnation = reported
	if reported == listed || now.Sub(n.lastReread) < n.rereadDelay {
		return nil
	}
	n.lastReread = now
	n.rereadDelay = min(max(2*n.rereadDelay, minRereadDelay), maxRereadDelay)
	return []Command{
		LogEntry{Part: "membership", Text: "The upstream's incarnation is not the listed one. The store is queried again.", Fields: []any{"listed", listed, "told", reported}},
		RereadStore{},
	}
}

// targetIncarnation returns the incarnation of the local upstream that a
// request is for: the listed one, or the one that the sender has from the list
// if that is the current one. A sender with an older list means the same
// upstream.
func (n *Node) targetIncarnation(sender string) string {
	if sender == n.reportedIncarnation && sender != "" {
		return sender
	}
	return n.view.Self().UpstreamIncarnation
}
