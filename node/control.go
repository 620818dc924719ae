package node

import (
	"encoding/json"
	"time"

	"pomelodoor.example/pomelodoor/once"
	"pomelodoor.example/pomelodoor/peer"
	"pomelodoor.example/pomelodoor/spread"
)

// peerMessage takes in a control message of another daemon. One that cannot be
// decoded, or that is meant for another instance, is dropped.
func (n *Node) peerMessage(m PeerMessage, now time.Time) []Command {
	e := m.Envelope
	if e.To != n.cfg.Self.ID || e.From == n.cfg.Self.ID {
		return nil
	}
	n.view.Heard(e.From, e.Incarnation, now)
	n.meet(e)
	if n.direct() && e.Kind != kindLoad && e.Kind != kindSuspects {
		return nil
	}
	switch e.Kind {
	case kindLoad:
		n.loadHeard(e.From, e.Body, now)
	case kindSuspects:
		n.suspectsHeard(e.Body, now)
	case kindSpread:
		var body spread.Message
		if json.Unmarshal(e.Body, &body) != nil || body.From != e.From {
			return nil
		}
		return n.spreadActions(n.spread.Receive(body, now), now)
	default:
		return n.keyMessage(e, now)
	}
	return nil
}

// keyMessage takes in a message between the homes of keys.
func (n *Node) keyMessage(e peer.Envelope, now time.Time) []Command {
	switch e.Kind {
	case kindHeartbeat:
		var body once.Heartbeat
		if json.Unmarshal(e.Body, &body) == nil {
			n.book.Hear(body, now)
		}
	case kindClaim:
		var body once.Claim
		if json.Unmarshal(e.Body, &body) == nil {
			return n.send(e.From, kindReply, n.book.Claim(body, now))
		}
	case kindReply:
		var body once.Reply
		if json.Unmarshal(e.Body, &body) == nil {
			return n.decide(n.book.Reply(body, now), now)
		}
	}
	return nil
}

// maxStrangers bounds the addresses of daemons that no record names yet.
const maxStrangers = 64

// meet remembers the address of a daemon that no record names yet, so that it
// can be answered: a daemon that starts while the platform is down knows nobody,
// but others know it.
func (n *Node) meet(e peer.Envelope) {
	_, known := n.view.Lookup(e.From)
	switch {
	case known:
		delete(n.strangers, e.From)
	case len(n.strangers) < maxStrangers:
		n.strangers[e.From] = e.Control
	}
}

const (
	// siblingCount bounds the daemons that hear of this upstream's load.
	siblingCount = 6
	// loadEvery is the least time between two such reports.
	loadEvery = 500 * time.Millisecond
	// loadAtLeast is the longest time between two of them.
	loadAtLeast = 5 * time.Second
)

// loadText is a load report as it travels by control message.
type loadText struct {
	Load string `json:"load"`
}

// tellSiblings reports this upstream's load to some daemons of its service,
// when it has changed or long been told.
func (n *Node) tellSiblings(now time.Time) []Command {
	since := now.Sub(n.loadTold)
	if since < loadEvery {
		return nil
	}
	load := n.Load(now)
	text := string(load.Append(nil))
	if text == n.loadLast && since < loadAtLeast {
		return nil
	}
	n.loadTold, n.loadLast = now, text
	var out []Command
	for _, r := range n.view.Siblings(siblingCount) {
		out = append(out, n.send(r.ID, kindLoad, loadText{Load: text})...)
	}
	return out
}
