package membership

import "time"

// ListEntry is one entry of the platform's list.
type ListEntry struct {
	Instance
	State State `json:"state"`
}

// MergeList merges the platform's list at a version and returns the records
// that changed. A list older than the newest one merged is ignored. The list
// may introduce an instance, mark it leaving and, by prolonged absence, mark it
// gone; it never makes a leaving or gone instance live.
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
	applies := v.listApplies(m, now)
	m.listed, m.absentSince, m.refuted = true, time.Time{}, false
	m.listedLive = m.listedLive || entry.State == Live
	if m.State != Live {
		return Record{}, false
	}
	if entry.State == Leaving && applies {
		return v.setState(m, Leaving, now), true
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

// listApplies reports whether the list can refer to the known incarnation
// rather than to an earlier one with the same ID.
func (v *View) listApplies(m *member, now time.Time) bool {
	if m.Incarnation == 0 || m.listedLive {
		return true
	}
	return v.listVersion > m.knownListVersion && now.Sub(m.knownSince) > v.config.ListLag
}

// setState changes a member's state and keeps its incarnation and sequence.
func (v *View) setState(m *member, state State, now time.Time) Record {
	r := m.Record
	r.State = state
	if m.ID == v.config.Self.ID {
		v.leaveOrdered = true
	}
	v.store(r, now)
	return r
}

// mergeAbsence marks instances gone that have been missing from the list and
// silent for longer than Config.ListLag. If it would mark too many live ones at
// once, it marks none: a list that lost most of the fleet is more likely wrong
// than right.
func (v *View) mergeAbsence(now time.Time) []Record {
	var lost []*member
	live, lostLive := 0, 0
	for _, m := range v.all.members {
		if m.State == Live {
			live++
		}
		if !v.absentTooLong(m, now) {
			continue
		}
		lost = append(lost, m)
		if m.State == Live {
			lostLive++
		}
	}
	v.listImplausible = lostLive > 1 && float64(lostLive) > v.config.MaxLostShare*float64(live)
	if v.listImplausible {
		return nil
	}
	var changed []Record
	for _, m := range lost {
		changed = append(changed, v.setState(m, Gone, now))
	}
	return changed
}

func (v *View) absentTooLong(m *member, now time.Time) bool {
	if m.listed || m.State == Gone || m.ID == v.config.Self.ID {
		return false
	}
	if m.absentSince.IsZero() {
		if v.listApplies(m, now) {
			m.absentSince = now
		}
		return false
	}
	if m.refuted && m.lastReceived.IsZero() {
		return false
	}
	lag := v.config.ListLag
	return now.Sub(m.absentSince) > lag && now.Sub(m.lastReceived) > lag
}
