package node

import "time"

// The pause between two questions to the store about the life of the own upstream,
// which lists itself a moment after its start, doubles while it is not listed.
const (
	firstReread = 200 * time.Millisecond
	lastReread  = 5 * time.Second
)

// noteLife takes in the life that the own upstream tells of itself. One that the
// list does not have yet is asked for: until then requests are refused there.
func (n *Node) noteLife(told string, now time.Time) []Command {
	if told == "" {
		return nil
	}
	listed := n.view.Self().Upstream
	if told == listed || told != n.present {
		n.rereadPause = 0
	}
	n.present = told
	if told == listed || now.Sub(n.rereadAt) < n.rereadPause {
		return nil
	}
	n.rereadAt = now
	n.rereadPause = min(max(2*n.rereadPause, firstReread), lastReread)
	return []Command{
		Note{Part: "membership", Text: "The upstream is another than the one listed. The store is asked.", Fields: []any{"listed", listed, "told", told}},
		RereadStore{},
	}
}

// life names the life of the own upstream that a request is for: the one listed,
// or the one that its sender has from the list, where that is the present one. A
// sender whose list is older means the same upstream.
func (n *Node) life(sender string) string {
	if sender == n.present && sender != "" {
		return sender
	}
	return n.view.Self().Upstream
}
