package membership

import "time"

// ListEntry is one line of the platform's list.
type ListEntry struct {
	Instance
	State State `json:"state"`
}

// MergeList takes in the platform's list at a version and returns the records
// that changed. A list older than one seen before is ignored. The list may
// introduce an instance, mark it leaving, and by lasting absence mark it gone;
// it never makes a leaving or gone instance live.
func (v *View) MergeList(entries []ListEntry, version uint64, now time.Time) []Record {
	if version < v.listVersion {
		return nil
	}
	v.listVersion = version
	for _, m := range v.all.members {
		m.listed = false
	}
	var changed []Record
	for _, entry := range entries {
		if r, ok := v.mergeEntry(entry, now); ok {
			changed = append(changed, r)
		}
	}
	return append(changed, v.mergeAbsence(now)...)
}

func (v *View) mergeEntry(entry ListEntry, now time.Time) (Record, bool) {
	if entry.ID == "" || (entry.State != Live && entry.State != Leaving) {
		return Record{}, false
	}
	m, ok := v.members[entry.ID]
	if !ok {
		m = v.store(v.listRecord(entry), now)
		m.listed, m.listedLive = true, entry.State == Live
		return m.Record, true
	}
	believed := v.believed(m, now)
	m.listed, m.absent, m.refuted = true, time.Time{}, false
	m.listedLive = m.listedLive || entry.State == Live
	if m.State != Live {
		return Record{}, false
	}
	if entry.State == Leaving && believed {
		return v.mark(m, Leaving, now), true
	}
	if m.Incarnation == 0 && entry.Instance != m.Instance {
		v.store(v.listRecord(entry), now)
		return m.Record, true
	}
	return Record{}, false
}

func (v *View) listRecord(entry ListEntry) Record {
	return Record{Instance: entry.Instance, Sequence: v.listVersion, State: entry.State}
}

// believed reports whether the list can be speaking of the incarnation known,
// and not of an earlier life under the same ID.
func (v *View) believed(m *member, now time.Time) bool {
	if m.Incarnation == 0 || m.listedLive {
		return true
	}
	return v.listVersion > m.knownVersion && now.Sub(m.known) > v.config.ListLag
}

// mark moves a member's state on, at the incarnation and sequence it has.
func (v *View) mark(m *member, state State, now time.Time) Record {
	r := m.Record
	r.State = state
	if m.ID == v.config.Self.ID {
		v.ordered = true
	}
	v.store(r, now)
	return r
}

// mergeAbsence marks instances gone that the list has lacked for longer than
// its lag and that have been silent as long. If too many would go at once, it
// marks none: a list that lost most of the fleet is likelier wrong than right.
func (v *View) mergeAbsence(now time.Time) []Record {
	var lost []*member
	live, lostLive := 0, 0
	for _, m := range v.all.members {
		if m.State == Live {
			live++
		}
		if !v.lost(m, now) {
			continue
		}
		lost = append(lost, m)
		if m.State == Live {
			lostLive++
		}
	}
	v.held = lostLive > 1 && float64(lostLive) > v.config.DoubtShare*float64(live)
	if v.held {
		return nil
	}
	var changed []Record
	for _, m := range lost {
		changed = append(changed, v.mark(m, Gone, now))
	}
	return changed
}

func (v *View) lost(m *member, now time.Time) bool {
	if m.listed || m.State == Gone || m.ID == v.config.Self.ID {
		return false
	}
	if m.absent.IsZero() {
		if v.believed(m, now) {
			m.absent = now
		}
		return false
	}
	if m.refuted && m.heard.IsZero() {
		return false
	}
	lag := v.config.ListLag
	return now.Sub(m.absent) > lag && now.Sub(m.heard) > lag
}
