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

// Kinds of control message.
const (
	kindSpread    = "spread"
	kindLoad      = "load"
	kindHeartbeat = "once.heartbeat"
	kindClaim     = "once.claim"
	kindReply     = "once.reply"
)

// readersPerZone is the number of daemons in each availability zone that watch
// the platform.
const readersPerZone = 2

// newSpread connects the spreading of items to membership and configuration.
func (n *Node) newSpread(now time.Time) *spread.State {
	return spread.New(spread.Config{
		Self:        n.cfg.Self.ID,
		Incarnation: n.cfg.Incarnation,
		Neighbours:  n.view.NeighbourIDs,
		RandomPeer:  n.randomPeer,
		Peers:       n.view.PeerCount,
		Live:        n.view.LiveCount,
		IsReader:    func() bool { return n.view.IsReader(readersPerZone) },
		Readers:     func() int { return readersPerZone * n.view.ZoneCount() },
		Rand:        n.cfg.Rand,
		MaxFleet:    n.cfg.FleetSize,
		Version:     n.documentVersion,
	}, now)
}

// randomPeer returns the ID of a random other instance, or "" if there is none.
func (n *Node) randomPeer() string {
	r, _ := n.view.RandomPeer(n.cfg.Rand())
	return r.ID
}

// documentVersion orders documents as config.Newer does. A conflicting document
// of the same revision that loses to the one in force is not spread further, so
// it is recorded here.
func (n *Node) documentVersion(key string, body []byte) (spread.Version, error) {
	d, err := config.ParseKey("platform:"+key, key, body)
	if err != nil {
		return spread.Version{}, fmt.Errorf("parse document: %w", err)
	}
	if held, ok := n.config.Document(key); ok && held.Revision() == d.Revision() && !config.Newer(d, held) {
		n.config.Apply(d)
	}
	major, minor := d.Version()
	return spread.Version{Major: major, Minor: minor}, nil
}

// applySpreadActions turns the actions of package spread into commands.
func (n *Node) applySpreadActions(actions []spread.Action, now time.Time) []Command {
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

// send addresses a control message to an instance, if its address is known.
func (n *Node) send(to, kind string, body any) []Command {
	address := n.unlisted[to]
	if r, ok := n.view.Lookup(to); ok {
		address = r.Control
	}
	if address == "" {
		return nil
	}
	text, err := json.Marshal(body)
	if err != nil {
		return []Command{LogEntry{Part: "node", Text: "A control message could not be encoded. " + err.Error(), Warn: true}}
	}
	return []Command{Send{Address: address, Envelope: peer.Envelope{
		Kind: kind, From: n.cfg.Self.ID, Incarnation: n.cfg.Incarnation,
		Control: n.cfg.Self.Control, To: to, Body: text,
	}}}
}

// deliverItem applies an item that is newer than any before it.
func (n *Node) deliverItem(item spread.Item, now time.Time) []Command {
	switch {
	case item.IsRecord():
		return n.mergeRecord(item, now)
	case strings.HasPrefix(item.Key, spread.RefusedPrefix):
		key := strings.TrimPrefix(item.Key, spread.RefusedPrefix)
		_, err := config.ParseKey("platform:"+key, key, item.Body)
		return n.rejectDocument(key, err, now)
	}
	d, err := config.ParseKey("platform:"+item.Key, item.Key, item.Body)
	if err != nil {
		return n.rejectDocument(item.Key, err, now)
	}
	return n.applyDocument(d, now)
}

func (n *Node) refuseItem(item spread.Item, err error, now time.Time) []Command {
	if item.IsRecord() {
		return nil
	}
	return n.rejectDocument(item.Key, err, now)
}

// rejectDocument records why a document was refused. The last valid document
// stays in force.
func (n *Node) rejectDocument(key string, err error, now time.Time) []Command {
	if err == nil {
		return nil
	}
	n.config.Reject(key, "platform:"+key, err, now)
	return []Command{LogEntry{Part: "config", Text: "A document was refused: " + key + ". " + err.Error(), Warn: true}}
}

// mergeRecord merges a membership record received by spread.
func (n *Node) mergeRecord(item spread.Item, now time.Time) []Command {
	r, err := item.Record()
	if err != nil {
		return []Command{LogEntry{Part: "membership", Text: "A membership record could not be decoded. " + err.Error(), Warn: true}}
	}
	self := n.view.Self()
	if n.view.Merge(r, now) && n.view.Self() != self {
		n.announceSelf(now)
	}
	return nil
}

// announceSelf spreads this daemon's own record.
func (n *Node) announceSelf(now time.Time) {
	if !n.direct() {
		n.spreadRecord(n.view.Self(), now)
	}
}

// spreadTick spreads what is due.
func (n *Node) spreadTick(now time.Time) []Command {
	if n.direct() {
		return nil
	}
	return n.applySpreadActions(n.spread.Tick(now), now)
}

// spreadRecord spreads a record that this daemon found to have changed.
func (n *Node) spreadRecord(r membership.Record, now time.Time) {
	if item, err := spread.RecordItem(r); err == nil {
		_ = n.spread.Put(item, now)
	}
}

// instancesRead merges the platform's list and spreads the resulting changes.
func (n *Node) instancesRead(m InstancesRead, now time.Time) []Command {
	for _, r := range n.view.MergeList(m.Entries, m.Version, now) {
		n.spreadRecord(r, now)
	}
	return n.applySpreadActions(n.spread.InstancesRead(m.Version, now), now)
}

// updateConfirmation enables automatic actions once this daemon is known to
// hold the fleet's state, and disables them while it is not.
func (n *Node) updateConfirmation(now time.Time) {
	if n.spread.AnyMatch() {
		n.view.EndPause()
	}
	switch confirmed := n.spread.Confirmed(now); {
	case confirmed && !n.config.Confirmed():
		n.config.Confirm()
	case !confirmed && n.config.Confirmed():
		n.config.Unconfirm()
	}
}
