package membership

import "time"

// Listing is one instance as the platform's store has it.
type Listing struct {
	Instance
	// Incarnation rises with each start of the upstream.
	Incarnation uint64
	State       State
}

// Replace takes in the whole list of a store that does not lag: what it lacks is
// gone at once. An instance that the list has twice, because its address passed
// from one upstream to another, is the one that started last. It reports whether
// anything changed.
func (v *View) Replace(list []Listing, now time.Time) bool {
	before := v.generation
	newest := map[string]Listing{}
	for _, l := range list {
		if held, ok := newest[l.ID]; !ok || l.Incarnation > held.Incarnation {
			newest[l.ID] = l
		}
	}
	v.replaceSelf(newest, now)
	for id, l := range newest {
		if id == v.config.Self.ID {
			continue
		}
		if m, ok := v.members[id]; ok && m.Record == l.record() {
			continue
		}
		v.store(l.record(), now)
	}
	for id, m := range v.members {
		if _, listed := newest[id]; !listed && id != v.config.Self.ID {
			v.remove(m)
		}
	}
	return v.generation != before
}

func (l Listing) record() Record {
	return Record{Instance: l.Instance, Incarnation: l.Incarnation, State: l.State}
}

// replaceSelf takes the daemon's own instance out of the list: its incarnation
// is the daemon's own, and a daemon that leaves does so for good. Another service
// at its address has taken the place of its upstream.
func (v *View) replaceSelf(newest map[string]Listing, now time.Time) {
	l, listed := newest[v.config.Self.ID]
	r := v.Self()
	r.State = Gone
	if listed && l.Service == r.Service {
		r.Upstream, r.Slots, r.ColdUntil, r.State = l.Upstream, l.Slots, l.ColdUntil, l.State
	}
	if v.ordered && r.State == Live {
		r.State = Leaving
	}
	if r != v.Self() {
		v.store(r, now)
	}
}
