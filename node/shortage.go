package node

import (
	"maps"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

const (
	// shortageFor is how long a shortage lasts after the last refusal for lack of
	// capacity, as there are gaps between refusals within one.
	shortageFor = 5 * time.Second
	// maxRankCounted is the last rank that is counted separately. Later ranks are counted
	// with it.
	maxRankCounted = 15
)

// Shedding is what the gate of the local upstream has refused, as shown to operators.
type Shedding struct {
	// Shortage is true while requests are refused for lack of capacity.
	Shortage bool `json:"shortage"`
	// Refusals counts the requests that were refused or handed on, by reason and rank.
	Refusals map[call.Reason]map[int]uint64 `json:"refusals"`
	// Promoted counts the requests that went first because their route was served too
	// little.
	Promoted uint64 `json:"promoted"`
}

// shortage counts the requests that the gate of the local upstream refuses.
type shortage struct {
	refusals map[call.Reason]map[int]uint64
	// lastRefusal is the time of the last refusal for lack of capacity, and refused their
	// number since the shortage began.
	lastRefusal time.Time
	refused     uint64
	// logged is true while the log says that there is a shortage.
	logged bool
}

// count counts a refusal.
func (s *shortage) count(reason call.Reason, priority call.Priority, now time.Time) {
	if s.refusals == nil {
		s.refusals = make(map[call.Reason]map[int]uint64)
	}
	if s.refusals[reason] == nil {
		s.refusals[reason] = make(map[int]uint64)
	}
	s.refusals[reason][min(priority.Rank(), maxRankCounted)]++
	if reason == call.Overloaded {
		s.lastRefusal = now
		s.refused++
	}
}

// present reports whether requests are refused for lack of capacity.
func (s *shortage) present(now time.Time) bool {
	return !s.lastRefusal.IsZero() && now.Sub(s.lastRefusal) < shortageFor
}

// Shedding returns what the gate of the local upstream has refused.
func (n *Node) Shedding(now time.Time) Shedding {
	refusals := make(map[call.Reason]map[int]uint64, len(n.shortage.refusals))
	for reason, byRank := range n.shortage.refusals {
		refusals[reason] = maps.Clone(byRank)
	}
	return Shedding{Shortage: n.shortage.present(now), Refusals: refusals, Promoted: n.gate.Promoted()}
}

// logShortage logs when a shortage begins or ends.
func (n *Node) logShortage(now time.Time) []Command {
	present := n.shortage.present(now)
	if present == n.shortage.logged {
		return nil
	}
	n.shortage.logged = present
	load := n.gate.Load(now)
	fields := []any{
		"refused", n.shortage.refused, "running", load.InFlight,
		"queued", load.Queued, "slots", load.Slots, "wait", load.Wait,
	}
	if present {
		return []Command{LogEntry{Part: "admit", Text: "The upstream has too little capacity. Requests are refused.", Warn: true, Fields: fields}}
	}
	n.shortage.refused = 0
	return []Command{LogEntry{Part: "admit", Text: "The upstream has enough capacity again.", Fields: fields}}
}
