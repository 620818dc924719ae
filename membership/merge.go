package membership

import "time"

// Merge merges a record received from another daemon and reports whether
// anything changed. Records may arrive in any order and any number of times.
// After a change of the daemon's own record, the caller must announce Self.
func (v *View) Merge(r Record, now time.Time) bool {
	if !r.valid() {
		return false
	}
	if r.ID == v.config.Self.ID {
		return v.mergeSelf(r, now)
	}
	m, ok := v.members[r.ID]
	if !ok {
		v.store(r, now)
		return true
	}
	if !r.Newer(m.Record) {
		return false
	}
	refutes := m.State == Gone && r.State != Gone && m.Incarnation == r.Incarnation
	m = v.store(r, now)
	m.refuted = m.refuted || refutes
	return true
}

// mergeSelf merges a record of this daemon received from another one. A newer
// incarnation means that this daemon has been replaced. A report that it is
// gone is refuted while it runs.
func (v *View) mergeSelf(r Record, now time.Time) bool {
	self := v.Self()
	if !r.Newer(self) {
		return false
	}
	if r.Incarnation > self.Incarnation || self.State == Gone {
		v.store(r, now)
		return true
	}
	if r.State == Leaving {
		v.leaveOrdered = true
	}
	if r.State == Gone {
		r.Sequence++
		r.State = self.State
	}
	r.Instance = v.config.Self
	v.store(r, now)
	return true
}

// Leave marks this daemon as permanently leaving and reports whether its state
// changed.
func (v *View) Leave(now time.Time) bool {
	v.leaveOrdered = true
	return v.advanceSelf(Leaving, now)
}

// MarkGone marks this daemon as gone, which is final, and reports whether its
// state changed.
func (v *View) MarkGone(now time.Time) bool {
	v.leaveOrdered = true
	return v.advanceSelf(Gone, now)
}

// UpstreamLeaving marks this daemon as leaving after a signal of its local
// upstream and reports whether its state changed.
func (v *View) UpstreamLeaving(now time.Time) bool { return v.advanceSelf(Leaving, now) }

// UpstreamReturned makes this daemon live again after UpstreamLeaving and
// reports whether its state changed. The caller must have proof of a new
// upstream process; a load report is not enough, because it may lag. It does
// nothing if the daemon was ordered to leave permanently.
func (v *View) UpstreamReturned(now time.Time) bool {
	self := v.Self()
	if v.leaveOrdered || v.Superseded() || self.State != Leaving {
		return false
	}
	self.Sequence++
	self.State = Live
	v.store(self, now)
	return true
}

func (v *View) advanceSelf(state State, now time.Time) bool {
	self := v.Self()
	if v.Superseded() || self.State.rank() >= state.rank() {
		return false
	}
	self.State = state
	v.store(self, now)
	return true
}
