package membership

import "time"

// StoreEntry is one instance as recorded in the platform's store.
type StoreEntry struct {
	Instance
	// Incarnation increases with each start of the upstream.
	Incarnation uint64
	State       State
	// Revision is the store's revision of the entry.
	Revision uint64
}

// ReplaceAll merges the complete list of a store that does not lag: instances
// missing from it are removed immediately. If an instance is listed twice,
// because its address passed from one upstream to another, the upstream that
// started last is used. It reports whether anything changed.
func (v *View) ReplaceAll(list []StoreEntry, now time.Time) bool {
	before := v.generation
	newest := map[string]StoreEntry{}
	for _, entry := range list {
		if previous, ok := newest[entry.ID]; !ok || entry.Incarnation > previous.Incarnation {
			newest[entry.ID] = entry
		}
	}
	v.replaceSelf(newest, now)
	for id, entry := range newest {
		if id == v.config.Self.ID {
			continue
		}
		if m, ok := v.members[id]; ok && m.Record == entry.record() {
			continue
		}
		v.store(entry.record(), now)
	}
	for id, m := range v.members {
		if _, listed := newest[id]; !listed && id != v.config.Self.ID {
			v.remove(m)
		}
	}
	return v.generation != before
}

func (e StoreEntry) record() Record {
	return Record{Instance: e.Instance, Incarnation: e.Incarnation, State: e.State}
}

// replaceSelf updates the daemon's own record from the list. It keeps the
// daemon's own incarnation, and a daemon that was ordered to leave does not
// become live again. If the daemon is not listed, or is listed with another
// service because its upstream was replaced, the record becomes gone.
func (v *View) replaceSelf(newest map[string]StoreEntry, now time.Time) {
	entry, listed := newest[v.config.Self.ID]
	r := v.Self()
	r.State = Gone
	if listed && entry.Service == r.Service {
		r.UpstreamIncarnation, r.Slots, r.ColdUntil, r.State = entry.UpstreamIncarnation, entry.Slots, entry.ColdUntil, entry.State
	}
	if v.leaveOrdered && r.State == Live {
		r.State = Leaving
	}
	if r != v.Self() {
		v.store(r, now)
	}
}
