package node

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/membership"
)

const (
	// paceChange is the factor by which the pace must change before other
	// daemons are told at once.
	paceChange = 1.4
	// smallZone is the number of other daemons in a zone up to which all are told
	// of the load. In a larger one those are told that sent a request lately: what
	// the others send next is as likely to come when the pace has changed again.
	smallZone = 4
	// callerLife is how long a daemon that sent requests is told of the load,
	// about two slow spells.
	callerLife = 500 * time.Millisecond
	// maxCallers bounds the daemons that are remembered.
	maxCallers = 64
	// loadChange is the number of calls more or less, and loadGather the least
	// time, after which the load is told though the pace is the same.
	loadChange = 2
	loadGather = 100 * time.Millisecond
	// minTold is the least time between two reports of the load to others.
	minTold = 2 * time.Millisecond
)

// tellZone tells the daemons of its availability zone when the pace changes, and
// now and then when the load does. The others are told with their answers: links
// between zones are dear, and one daemon there sends less often than the pace
// changes.
func (n *Node) tellZone(now time.Time) []Command {
	pace, _ := n.gate.Pace()
	load := n.Load(now)
	since := now.Sub(n.paceToldAt)
	calls := load.InFlight + load.Queued
	moved := max(calls-n.callsTold, n.callsTold-calls) >= loadChange && since >= loadGather
	if pace == 0 || since < minTold || similar(pace, n.paceTold) && !moved {
		return nil
	}
	n.paceTold, n.callsTold, n.paceToldAt = pace, calls, now
	text := loadText{Load: string(load.Append(nil))}
	var out []Command
	for _, id := range n.listeners(now) {
		out = append(out, n.send(id, kindLoad, text)...)
	}
	return out
}

// listeners returns the daemons to tell: all of the own availability zone or, in
// a large one, those that lately sent requests here.
func (n *Node) listeners(now time.Time) []string {
	var zone []string
	for _, r := range n.view.All() {
		if r.ID != n.self() && r.AvailabilityZone == n.cfg.Self.AvailabilityZone && r.State != membership.Gone {
			zone = append(zone, r.ID)
		}
	}
	if len(zone) <= smallZone {
		return zone
	}
	return slices.DeleteFunc(zone, func(id string) bool {
		last, known := n.callers[id]
		return !known || now.Sub(last) > callerLife
	})
}

func similar(a, b int) bool {
	low, high := float64(min(a, b)), float64(max(a, b))
	return low > 0 && high < paceChange*low
}

// remember notes a daemon that sends requests here.
func (n *Node) remember(from string, now time.Time) {
	if from == n.self() {
		return
	}
	if _, known := n.callers[from]; !known && len(n.callers) >= maxCallers {
		maps.DeleteFunc(n.callers, func(_ string, last time.Time) bool { return now.Sub(last) > callerLife })
		if len(n.callers) >= maxCallers {
			return
		}
	}
	n.callers[from] = now
}

// loadHeard takes in the load that another daemon tells of its upstream.
func (n *Node) loadHeard(from string, body json.RawMessage, now time.Time) {
	var text loadText
	if json.Unmarshal(body, &text) != nil {
		return
	}
	load, err := balance.ParseLoad([]byte(text.Load))
	record, ok := n.view.Lookup(from)
	if err != nil || !ok {
		return
	}
	if service, ok := n.config.Service(record.Service); ok {
		n.picker(service).Heard(from, load, now)
	}
}
