package membership

import (
	"slices"
	"strings"
	"time"
)

// Member is one instance of a service with what was heard of it.
type Member struct {
	Record
	// Known is when the present incarnation became known to this daemon.
	Known time.Time
	// Since is when the present state became known to this daemon.
	Since time.Time
	// LastHeard is the last direct word, or zero if there was none.
	LastHeard time.Time
}

// group is the instances of one service, sorted by ID.
type group struct {
	members []*member
	serving []Record
	dirty   bool
}

func compareMembers(a, b *member) int { return strings.Compare(a.ID, b.ID) }

func (g *group) add(m *member) {
	at, _ := slices.BinarySearchFunc(g.members, m, compareMembers)
	g.members = slices.Insert(g.members, at, m)
	g.dirty = true
}

func (g *group) remove(m *member) {
	at, ok := slices.BinarySearchFunc(g.members, m, compareMembers)
	if ok {
		g.members = slices.Delete(g.members, at, at+1)
	}
	g.dirty = true
}

// regroup keeps the groups true to a member that is about to take a record.
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
	g.dirty = true
}

// Serving returns the live instances of a service, sorted by ID. The slice is
// shared and must not be changed; a new one is made after a change.
func (v *View) Serving(service string) []Record {
	g, ok := v.groups[service]
	if !ok {
		return nil
	}
	if !g.dirty {
		return g.serving
	}
	g.dirty = false
	g.serving = make([]Record, 0, len(g.members))
	for _, m := range g.members {
		if m.State == Live {
			g.serving = append(g.serving, m.Record)
		}
	}
	return g.serving
}

// Group returns all instances of a service that are not forgotten, leaving and
// gone ones included, sorted by ID.
func (v *View) Group(service string) []Member {
	g, ok := v.groups[service]
	if !ok {
		return nil
	}
	members := make([]Member, len(g.members))
	for i, m := range g.members {
		members[i] = Member{Record: m.Record, Known: m.known, Since: m.since, LastHeard: m.heard}
	}
	return members
}

// All returns the records of all instances known, sorted by ID.
func (v *View) All() []Record { return records(v.all.members) }

func records(members []*member) []Record {
	list := make([]Record, len(members))
	for i, m := range members {
		list[i] = m.Record
	}
	return list
}

// Services returns the names of all services with a live instance, sorted.
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
