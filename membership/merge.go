package membership

import "time"

// Merge takes in a record that another daemon passed on and reports whether
// anything changed. Records may come in any order and any number of times.
// After a change of the daemon's own record, Self must be passed on.
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

// mergeSelf takes in what others say of this daemon. A newer incarnation means
// that it has been replaced. Being called gone while it runs is refuted.
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
		v.ordered = true
	}
	if r.State == Gone {
		r.Sequence++
		r.State = self.State
	}
	r.Instance = v.config.Self
	v.store(r, now)
	return true
}

// Leave marks this daemon as leaving for good and reports whether that is new.
func (v *View) Leave(now time.Time) bool {
	v.ordered = true
	return v.raiseSelf(Leaving, now)
}

// Finish marks this daemon as gone, as its last word.
func (v *View) Finish(now time.Time) bool {
	v.ordered = true
	return v.raiseSelf(Gone, now)
}

// UpstreamLeaving marks this daemon as leaving on its own upstream's signal.
func (v *View) UpstreamLeaving(now time.Time) bool { return v.raiseSelf(Leaving, now) }

// UpstreamReturned makes this daemon live again after UpstreamLeaving. The
// caller must have proof of a new upstream process, as a load report that lags
// is none. It does nothing if the daemon was told to leave for good.
func (v *View) UpstreamReturned(now time.Time) bool {
	self := v.Self()
	if v.ordered || v.Superseded() || self.State != Leaving {
		return false
	}
	self.Sequence++
	self.State = Live
	v.store(self, now)
	return true
}

func (v *View) raiseSelf(state State, now time.Time) bool {
	self := v.Self()
	if v.Superseded() || self.State.rank() >= state.rank() {
		return false
	}
	self.State = state
	v.store(self, now)
	return true
}
