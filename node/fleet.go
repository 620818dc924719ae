package node

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/peer"
	"pomelodoor.example/pomelodoor/spread"
)

// The kinds of control message.
const (
	kindSpread    = "spread"
	kindLoad      = "load"
	kindHeartbeat = "once.heartbeat"
	kindClaim     = "once.claim"
	kindReply     = "once.reply"
)

// readersPerZone is how many daemons of each availability zone watch the
// platform.
const readersPerZone = 2

// newSpread joins the spreading of items to membership and configuration.
func (n *Node) newSpread(now time.Time) *spread.State {
	return spread.New(spread.Config{
		Self:        n.cfg.Self.ID,
		Incarnation: n.cfg.Incarnation,
		Neighbours:  n.view.NeighbourIDs,
		Other:       n.anyOther,
		Peers:       n.view.PeerCount,
		Live:        n.view.LiveCount,
		Reader:      func() bool { return n.view.Reader(readersPerZone) },
		Readers:     func() int { return readersPerZone * n.view.ZoneCount() },
		Rand:        n.cfg.Rand,
		MaxFleet:    n.cfg.FleetSize,
		Version:     n.documentVersion,
	}, now)
}

// anyOther returns some instance other than this one, or "".
func (n *Node) anyOther() string {
	r, _ := n.view.Other(n.cfg.Rand())
	return r.ID
}

// documentVersion orders documents as config.Newer does. A rival with the
// revision in force that loses goes no further than this daemon, so it is noted
// here.
func (n *Node) documentVersion(key string, body []byte) (spread.Version, error) {
	d, err := config.ParseKey("platform:"+key, key, body)
	if err != nil {
		return spread.Version{}, fmt.Errorf("read a document: %w", err)
	}
	if held, ok := n.config.Document(key); ok && held.Revision() == d.Revision() && !config.Newer(d, held) {
		n.config.Apply(d)
	}
	major, minor := d.Order()
	return spread.Version{Major: major, Minor: minor}, nil
}

// spreadActions turns what spread asks for into commands.
func (n *Node) spreadActions(actions []spread.Action, now time.Time) []Command {
	var out []Command
	for _, a := range actions {
		switch a.Kind {
		case spread.Send:
			out = append(out, n.send(a.To, kindSpread, a.Message)...)
		case spread.ReadPlatform:
			out = append(out, ReadPlatform{Read: a.Read})
		case spread.Deliver:
			out = append(out, n.deliverItem(a.Item, now)...)
		case spread.Refuse:
			out = append(out, n.refuseItem(a.Item, a.Err, now)...)
		}
	}
	return out
}

// send addresses a control message to an instance, if it is known.
func (n *Node) send(to, kind string, body any) []Command {
	address := n.strangers[to]
	if r, ok := n.view.Lookup(to); ok {
		address = r.Control
	}
	if address == "" {
		return nil
	}
	text, err := json.Marshal(body)
	if err != nil {
		return []Command{Note{Part: "node", Text: "A control message could not be encoded. " + err.Error(), Warn: true}}
	}
	return []Command{Send{Address: address, Envelope: peer.Envelope{
		Kind: kind, From: n.cfg.Self.ID, Incarnation: n.cfg.Incarnation,
		Control: n.cfg.Self.Control, To: to, Body: text,
	}}}
}

// deliverItem takes in an item that is newer than any before it.
func (n *Node) deliverItem(item spread.Item, now time.Time) []Command {
	switch {
	case item.IsRecord():
		return n.mergeRecord(item, now)
	case strings.HasPrefix(item.Key, spread.RefusedPrefix):
		key := strings.TrimPrefix(item.Key, spread.RefusedPrefix)
		_, err := config.ParseKey("platform:"+key, key, item.Body)
		return n.rejectDocument(key, err, now)
	}
	return n.takeDocument("platform:"+item.Key, item.Key, item.Body, now)
}

func (n *Node) refuseItem(item spread.Item, err error, now time.Time) []Command {
	if item.IsRecord() {
		return nil
	}
	return n.rejectDocument(item.Key, err, now)
}

// rejectDocument keeps the last good document in force and remembers why.
func (n *Node) rejectDocument(key string, err error, now time.Time) []Command {
	if err == nil {
		return nil
	}
	n.config.Reject(key, "platform:"+key, err, now)
	return []Command{Note{Part: "config", Text: "A document was refused: " + key + ". " + err.Error(), Warn: true}}
}

// mergeRecord takes in a membership record that came by spread.
func (n *Node) mergeRecord(item spread.Item, now time.Time) []Command {
	r, err := item.Record()
	if err != nil {
		return []Command{Note{Part: "membership", Text: "A record could not be read. " + err.Error(), Warn: true}}
	}
	self := n.view.Self()
	if n.view.Merge(r, now) && n.view.Self() != self {
		n.announce(now)
	}
	return nil
}

// announce tells the other daemons of this one's own record.
func (n *Node) announce(now time.Time) {
	if !n.direct() {
		n.putRecord(n.view.Self(), now)
	}
}

// spreadTick spreads what is due.
func (n *Node) spreadTick(now time.Time) []Command {
	if n.direct() {
		return nil
	}
	return n.spreadActions(n.spread.Tick(now), now)
}

// putRecord spreads a record that this daemon found changed.
func (n *Node) putRecord(r membership.Record, now time.Time) {
	if item, err := spread.RecordItem(r); err == nil {
		_ = n.spread.Put(item, now)
	}
}

// instancesRead takes in the platform's list and spreads what it changes.
func (n *Node) instancesRead(m InstancesRead, now time.Time) []Command {
	for _, r := range n.view.MergeList(m.Entries, m.Version, now) {
		n.putRecord(r, now)
	}
	return n.spreadActions(n.spread.Instances(m.Version, now), now)
}

// confirm lets automatic actions begin once this daemon knows what the fleet
// knows, and stops them while it does not.
func (n *Node) confirm(now time.Time) {
	if n.spread.Answered() {
		n.view.Fresh()
	}
	switch confirmed := n.spread.Confirmed(now); {
	case confirmed && !n.config.Confirmed():
		n.config.Confirm()
	case !confirmed && n.config.Confirmed():
		n.config.Doubt()
	}
}
