package node

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/balance"
)

const (
	// paceChangeFactor is the factor by which the pace must change before it is
	// reported at once.
	paceChangeFactor = 1.4
	// smallZoneDaemons is the number of other daemons in a zone up to which all
	// receive load reports. In a larger zone only recent senders do: by the
	// time any other daemon sends a request, the pace is likely to have changed
	// again.
	smallZoneDaemons = 4
	// senderTTL is how long a daemon that sent requests receives load reports,
	// about two slow periods.
	senderTTL = 500 * time.Millisecond
	// maxSenders limits the number of recorded senders.
	maxSenders = 64
	// loadChangeCalls is the change in the number of calls that is reported
	// although the pace is the same, and minLoadInterval the minimum time
	// between two such reports.
	loadChangeCalls = 2
	minLoadInterval = 100 * time.Millisecond
	// minZoneInterval is the minimum time between any two load reports to the
	// zone.
	minZoneInterval = 2 * time.Millisecond
)

// sendLoadToZone reports the load to daemons of the same availability zone when
// the pace changes, and at intervals when only the load does. Other zones
// receive the load with their answers: links between zones are expensive, and a
// single daemon there sends requests less often than the pace changes.
func (n *Node) sendLoadToZone(now time.Time) []Command {
	pace, _ := n.gate.Pace()
	load := n.Load(now)
	since := now.Sub(n.zoneSentAt)
	calls := load.InFlight + load.Queued
	limited := n.gate.Limited(now)
	callsChanged := max(calls-n.sentCalls, n.sentCalls-calls) >= loadChangeCalls && since >= minLoadInterval
	if pace == 0 || since < minZoneInterval || similarPace(pace, n.sentPace) && !callsChanged && limited == n.cold.reported {
		return nil
	}
	n.sentPace, n.sentCalls, n.zoneSentAt = pace, calls, now
	n.cold.reported = limited
	message := loadMessage{Load: string(load.Append(nil))}
	var out []Command
	for _, id := range n.loadRecipients(now) {
		out = append(out, n.send(id, kindLoad, message)...)
	}
	return out
}

// loadRecipients returns the daemons to send load reports to: all in the same
// availability zone or, in a large zone, those that recently sent requests
// here.
func (n *Node) loadRecipients(now time.Time) []string {
	zone := n.view.ZonePeers()
	if len(zone) <= smallZoneDaemons {
		return zone
	}
	var recent []string
	for id, last := range n.senders {
		if _, inZone := slices.BinarySearch(zone, id); inZone && now.Sub(last) <= senderTTL {
			recent = append(recent, id)
		}
	}
	slices.Sort(recent)
	return recent
}

func similarPace(a, b int) bool {
	low, high := float64(min(a, b)), float64(max(a, b))
	return low > 0 && high < paceChangeFactor*low
}

// noteSender records a daemon that sends requests here.
func (n *Node) noteSender(from string, now time.Time) {
	if from == n.self() {
		return
	}
	if _, known := n.senders[from]; !known && len(n.senders) >= maxSenders {
		maps.DeleteFunc(n.senders, func(_ string, last time.Time) bool { return now.Sub(last) > senderTTL })
		if len(n.senders) >= maxSenders {
			return
		}
	}
	n.senders[from] = now
}

// receiveLoad records the load that another daemon reports for its upstream.
func (n *Node) receiveLoad(from string, body json.RawMessage, now time.Time) {
	var message loadMessage
	if json.Unmarshal(body, &message) != nil {
		return
	}
	load, err := balance.ParseLoad([]byte(message.Load))
	record, ok := n.view.Lookup(from)
	if err != nil || !ok {
		return
	}
	if service, ok := n.config.Service(record.Service); ok {
		n.picker(service).ObserveLoad(from, load, now)
	}
}
