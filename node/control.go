package node

import (
	"encoding/json"
	"time"

	"pomelodoor.example/pomelodoor/once"
	"pomelodoor.example/pomelodoor/peer"
	"pomelodoor.example/pomelodoor/spread"
)

// peerMessage handles a control message from another daemon. A message that
// cannot be decoded, or that is addressed to another instance, is dropped.
func (n *Node) peerMessage(m PeerMessage, now time.Time) []Command {
	e := m.Envelope
	if e.To != n.cfg.Self.ID || e.From == n.cfg.Self.ID {
		return nil
	}
	n.view.NoteReceived(e.From, e.Incarnation, now)
	n.noteUnlisted(e)
	switch e.Kind {
	case kindLoad:
		n.receiveLoad(e.From, e.Body, now)
		return nil
	case kindSuspects:
		n.receiveSuspects(e.Body, now)
		return nil
	case kindSuspectsRequest:
		return n.replySuspects(e.From, e.Body, now)
	case kindSuspectsReply:
		return n.receiveSuspectsReply(e.From, e.Body, now)
	}
	if n.direct() {
		return nil
	}
	return n.fleetMessage(e, now)
}

// fleetMessage handles a message between daemons that spread documents and membership
// themselves.
func (n *Node) fleetMessage(e peer.Envelope, now time.Time) []Command {
	switch e.Kind {
	case kindSpread:
		var body spread.Message
		if json.Unmarshal(e.Body, &body) != nil || body.From != e.From {
			return nil
		}
		return n.applySpreadActions(n.spread.Receive(body, now), now)
	}
	return n.keyMessage(e, now)
}

// keyMessage handles a message between the homes of keys.
func (n *Node) keyMessage(e peer.Envelope, now time.Time) []Command {
	switch e.Kind {
	case kindHeartbeat:
		var body once.Heartbeat
		if json.Unmarshal(e.Body, &body) == nil {
			n.coordinator.HandleHeartbeat(body, now)
		}
	case kindClaim:
		var body once.Claim
		if json.Unmarshal(e.Body, &body) == nil {
			return n.send(e.From, kindReply, n.coordinator.HandleClaim(body, now))
		}
	case kindReply:
		var body once.Reply
		if json.Unmarshal(e.Body, &body) == nil {
			return n.applyKeyActions(n.coordinator.HandleReply(body, now), now)
		}
	}
	return nil
}

// maxUnlisted limits the number of addresses kept for daemons that have no
// membership record yet.
const maxUnlisted = 64

// noteUnlisted keeps the address of a daemon that has no membership record yet,
// so that it can be answered: a daemon that starts while the platform is down
// knows no others, but others know it.
func (n *Node) noteUnlisted(e peer.Envelope) {
	_, known := n.view.Lookup(e.From)
	switch {
	case known:
		delete(n.unlisted, e.From)
	case len(n.unlisted) < maxUnlisted:
		n.unlisted[e.From] = e.Control
	}
}

const (
	// siblingCount limits the number of daemons that receive this upstream's
	// load reports.
	siblingCount = 6
	// minSiblingInterval is the minimum time between two such reports.
	minSiblingInterval = 500 * time.Millisecond
	// maxSiblingInterval is the maximum time between two of them.
	maxSiblingInterval = 5 * time.Second
)

// loadMessage is the body of a load report sent as a control message.
type loadMessage struct {
	Load string `json:"load"`
}

// sendLoadToSiblings reports this upstream's load to some daemons of its
// service when it has changed or the last report is maxSiblingInterval old.
func (n *Node) sendLoadToSiblings(now time.Time) []Command {
	since := now.Sub(n.loadSentAt)
	if since < minSiblingInterval {
		return nil
	}
	load := n.Load(now)
	text := string(load.Append(nil))
	if text == n.lastLoad && since < maxSiblingInterval {
		return nil
	}
	n.loadSentAt, n.lastLoad = now, text
	var out []Command
	for _, r := range n.view.Siblings(siblingCount) {
		out = append(out, n.send(r.ID, kindLoad, loadMessage{Load: text})...)
	}
	return out
}
