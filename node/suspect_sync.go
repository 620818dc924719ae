package node

import (
	"encoding/json"
	"time"

	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/quarantine"
)

// A daemon that has just started, or was cut off from the others, does not know of the
// requests that they have banned meanwhile. Each daemon therefore compares what it knows
// with a random sibling about once per second, and requests the sibling's entries if they
// differ.

// Kinds of control message by which daemons compare their quarantine entries.
const (
	kindSuspectsRequest = "quarantineRequest"
	kindSuspectsReply   = "quarantineReply"
)

const (
	// suspectsRequestInterval is the interval between two requests to siblings.
	suspectsRequestInterval = time.Second
	// startingRequestInterval is the same while this daemon is starting.
	startingRequestInterval = 100 * time.Millisecond
	// startingReplies is how many siblings a starting daemon hears before it is ready:
	// one of them may have started just now, too.
	startingReplies = 3
	// maxStartingWait limits how long a starting daemon that could serve is not ready
	// because it waits for replies.
	maxStartingWait = 300 * time.Millisecond
)

// suspectsRequest asks a sibling for its quarantine entries unless its digest is the same.
type suspectsRequest struct {
	Digest uint64 `json:"digest"`
}

// suspectsReply is the response to a suspectsRequest. Without entries, both daemons know
// the same.
type suspectsReply struct {
	Entries []quarantine.Entry `json:"entries,omitempty"`
}

// suspectSync is the state of comparing quarantine entries with siblings.
type suspectSync struct {
	// replied holds the siblings that have replied since the start of this daemon; nil
	// once it has started.
	replied map[string]bool
	// startBy is when a starting daemon stops waiting for replies; zero until it waits.
	startBy       time.Time
	nextRequestAt time.Time
}

func newSuspectSync() suspectSync { return suspectSync{replied: map[string]bool{}} }

// starting reports whether the daemon still waits for the first replies.
func (s *suspectSync) starting() bool { return s.replied != nil }

// finishStart ends the wait for the first replies once enough of the siblings have replied
// or the time is up.
func (s *suspectSync) finishStart(siblings int, now time.Time) {
	if s.startBy.IsZero() {
		s.startBy = now.Add(maxStartingWait)
	}
	if len(s.replied) >= min(siblings, startingReplies) || !now.Before(s.startBy) {
		s.replied = nil
	}
}

// awaitsSuspects reports whether this daemon has just started and waits for the quarantine
// entries of its siblings.
func (n *Node) awaitsSuspects() bool {
	return n.config.Allowed(config.Quarantine) && n.suspectSync.starting()
}

// tickSuspectSync requests the quarantine entries of siblings if that is due.
func (n *Node) tickSuspectSync(now time.Time) []Command {
	s := &n.suspectSync
	if now.Before(s.nextRequestAt) || !n.configured() || !n.siblingsKnown() {
		return nil
	}
	if !n.config.Allowed(config.Quarantine) {
		// The daemon stays ready if operators allow it later.
		s.replied = nil
		return nil
	}
	siblings := n.view.Siblings(siblingCount)
	if s.starting() {
		s.finishStart(len(siblings), now)
	}
	if len(siblings) == 0 {
		return nil
	}
	if s.starting() {
		s.nextRequestAt = now.Add(startingRequestInterval)
		return n.requestSuspects(siblings[:min(len(siblings), startingReplies)], now)
	}
	s.nextRequestAt = now.Add(suspectsRequestInterval)
	i := n.cfg.Rand() % uint64(len(siblings))
	return n.requestSuspects(siblings[i:i+1], now)
}

// siblingsKnown reports whether this daemon has read which other instances there are. One
// that does not read the store learns of them while it confirms its documents.
func (n *Node) siblingsKnown() bool { return n.instancesKnown || !n.direct() }

// requestSuspects requests the quarantine entries of siblings that differ from those here.
func (n *Node) requestSuspects(siblings []membership.Record, now time.Time) []Command {
	request := suspectsRequest{Digest: n.suspects.Digest(now)}
	var out []Command
	for _, r := range siblings {
		out = append(out, n.send(r.ID, kindSuspectsRequest, request)...)
	}
	return out
}

// replySuspects responds to a sibling that compares its quarantine entries with those here.
func (n *Node) replySuspects(to string, body json.RawMessage, now time.Time) []Command {
	var request suspectsRequest
	if json.Unmarshal(body, &request) != nil {
		return nil
	}
	var reply suspectsReply
	if request.Digest != n.suspects.Digest(now) {
		reply.Entries = n.suspects.Entries(now)
	}
	return n.send(to, kindSuspectsReply, reply)
}

// receiveSuspectsReply merges the entries of a sibling, and logs if it knew more. If it knows
// only less, the next request waits for longer: this daemon's own entries reach the sibling
// by the sibling's request.
func (n *Node) receiveSuspectsReply(from string, body json.RawMessage, now time.Time) []Command {
	var reply suspectsReply
	if json.Unmarshal(body, &reply) != nil {
		return nil
	}
	s := &n.suspectSync
	if s.starting() {
		s.replied[from] = true
		s.finishStart(len(n.view.Siblings(siblingCount)), now)
	}
	before := n.suspects.Digest(now)
	n.suspects.Merge(reply.Entries, now)
	if n.suspects.Digest(now) != before {
		return []Command{LogEntry{
			Part: "quarantine", Text: "A sibling knew of other requests that crash upstreams.",
			Fields: []any{"from", from, "suspects", n.suspects.Suspects(now), "banned", n.suspects.Bans(now)},
		}}
	}
	if len(reply.Entries) > 0 && !s.starting() {
		s.nextRequestAt = now.Add(suspectsInterval)
	}
	return nil
}
