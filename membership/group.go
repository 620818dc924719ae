package membership

import (
	"slices"
	"strings"
	"time"
)

// Member is one instance of a service with the times at which this daemon
// learned about it.
type Member struct {
	Record
	// KnownSince is when this daemon learned of the current incarnation, or of
	// its return to live.
	KnownSince time.Time
	// StateSince is when this daemon learned of the current state.
	StateSince time.Time
	// LastReceived is the time of the last direct message, or zero if there was
	// none.
	LastReceived time.Time
}

// group holds instances, those of one service or all, sorted by ID.
type group struct {
	members      []*member
	serving      []Record
	servingStale bool
}

func compareMemberIDs(a, b *member) int { return strings.Compare(a.ID, b.ID) }

func (g *group) add(m *member) {
	at, _ := slices.BinarySearchFunc(g.members, m, compareMemberIDs)
	g.members = slices.Insert(g.members, at, m)
	g.servingStale = true
}

func (g *group) remove(m *member) {
	at, ok := slices.BinarySearchFunc(g.members, m, compareMemberIDs)
	if ok {
		g.members = slices.Delete(g.members, at, at+1)
	}
	g.servingStale = true
}

// regroup updates the groups before r replaces the record of m. present is false
// if m is new.
func (v *View) regroup(m *member, r Record, present bool) {
	if present && m.Service != r.Service {
		v.groups[m.Service].remove(m)
	}
	g, ok := v.groups[r.Service]
	if !ok {
		g = &group{}
		v.groups[r.Service] = g
	}
	if !present || m.Service != r.Service {
		g.add(m)
	}
	g.servingStale = true
}

// Serving returns the live instances of a service, sorted by ID. The slice is
// shared and must not be modified; it is reallocated after a change.
func (v *View) Serving(service string) []Record {
	g, ok := v.groups[service]
	if !ok {
		return nil
	}
	if !g.servingStale {
		return g.serving
	}
	g.servingStale = false
	g.serving = make([]Record, 0, len(g.members))
	for _, m := range g.members {
		if m.State == Live {
			g.serving = append(g.serving, m.Record)
		}
	}
	return g.serving
}

// Group returns all known instances of a service, including leaving and gone
// ones, sorted by ID.
func (v *View) Group(service string) []Member {
	g, ok := v.groups[service]
	if !ok {
		return nil
	}
	members := make([]Member, len(g.members))
	for i, m := range g.members {
		members[i] = Member{Record: m.Record, KnownSince: m.knownSince, StateSince: m.stateSince, LastReceived: m.lastReceived}
	}
	return members
}

// All returns the records of all known instances, sorted by ID.
func (v *View) All() []Record { return records(v.all.members) }

func records(members []*member) []Record {
	list := make([]Record, len(members))
	for i, m := range members {
		list[i] = m.Record
	}
	return list
}

// Services returns the sorted names of all services with a live instance.
func (v *View) Services() []string {
	var names []string
	for name := range v.groups {
		if len(v.Serving(name)) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
