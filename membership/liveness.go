package membership

import (
	"slices"
	"time"
)

const sweepInterval = time.Minute

// NoteReceived records the receipt of a direct message from an instance. It reports
// whether the message is from the known incarnation; a message from any other
// one is ignored.
func (v *View) NoteReceived(id string, incarnation uint64, now time.Time) bool {
	m, ok := v.members[id]
	if !ok || m.Incarnation != incarnation {
		return false
	}
	m.lastReceived = now
	return true
}

// Silent reports whether an instance is unknown or has sent no message for
// longer than Config.SilenceTimeout since it became known.
func (v *View) Silent(id string, now time.Time) bool {
	m, ok := v.members[id]
	return !ok || v.silent(m, now)
}

func (v *View) silent(m *member, now time.Time) bool {
	last := m.lastReceived
	if last.Before(m.knownSince) {
		last = m.knownSince
	}
	return now.Sub(last) > v.config.SilenceTimeout
}

// Uncertain reports whether this daemon's own view is unreliable: most of its
// neighbours are silent, or most of the fleet left the list at once. The daemon
// must then eject no instance on its own observations.
func (v *View) Uncertain(now time.Time) bool {
	if v.listImplausible {
		return true
	}
	neighbours := v.Neighbours()
	silent := 0
	for _, r := range neighbours {
		if v.Silent(r.ID, now) {
			silent++
		}
	}
	return float64(silent) > v.config.MaxLostShare*float64(len(neighbours))
}

// Tick must be called with the current time before any other event is handled.
// It removes expired tombstones. If the time since the last call exceeds
// Config.PauseLimit, the process was paused: Tick returns that time, and the view
// is stale; see Stale. Otherwise Tick returns 0.
func (v *View) Tick(now time.Time) (gap time.Duration) {
	if !v.lastTick.IsZero() {
		gap = now.Sub(v.lastTick)
	}
	v.lastTick = now
	if now.Sub(v.lastSweep) >= sweepInterval {
		v.lastSweep = now
		v.expireTombstones(now)
	}
	if gap <= v.config.PauseLimit {
		return 0
	}
	v.paused, v.resumedAt = true, now
	return gap
}

// EndPause ends a pause. The caller must have received an answer to a query that
// it sent after the process resumed: messages that waited in a queue are
// outdated.
func (v *View) EndPause() { v.paused = false }

// Stale reports whether the process has resumed after a pause and has no newer
// information yet. It must then start no work. The state ends with EndPause, after
// Config.ResumeTimeout, or when there is no neighbour to query.
func (v *View) Stale(now time.Time) bool {
	if !v.paused || len(v.Neighbours()) == 0 {
		return false
	}
	return now.Sub(v.resumedAt) <= v.config.ResumeTimeout
}

// expireTombstones removes tombstones that are past their TTL and missing from
// the newest list, so that neither an old list nor an old record revives an
// instance.
func (v *View) expireTombstones(now time.Time) {
	for _, m := range slices.Clone(v.all.members) {
		expired := now.Sub(m.stateSince) > v.config.TombstoneTTL
		if m.State == Gone && expired && !m.listed && m.ID != v.config.Self.ID {
			v.remove(m)
		}
	}
}
