package membership

import (
	"slices"
	"time"
)

const sweepEvery = time.Minute

// Heard notes a direct word of an instance. It reports whether the word is of
// the incarnation known; a word of any other says nothing of it.
func (v *View) Heard(id string, incarnation uint64, now time.Time) bool {
	m, ok := v.members[id]
	if !ok || m.Incarnation != incarnation {
		return false
	}
	m.heard = now
	return true
}

// Silent reports whether an instance has said nothing for longer than
// Config.Silence, counted from when it was first known.
func (v *View) Silent(id string, now time.Time) bool {
	m, ok := v.members[id]
	return !ok || v.silent(m, now)
}

func (v *View) silent(m *member, now time.Time) bool {
	last := m.heard
	if last.Before(m.known) {
		last = m.known
	}
	return now.Sub(last) > v.config.Silence
}

// Doubt reports whether this daemon should suspect itself rather than others:
// most of its neighbours are silent, or most of the fleet left the list at
// once. While in doubt it must eject nobody on its own findings.
func (v *View) Doubt(now time.Time) bool {
	if v.held {
		return true
	}
	neighbours := v.Neighbours()
	silent := 0
	for _, r := range neighbours {
		if v.Silent(r.ID, now) {
			silent++
		}
	}
	return float64(silent) > v.config.DoubtShare*float64(len(neighbours))
}

// Tick must be called with the present time before any other event is handled.
// It forgets old tombstones. If the time since the last call shows that the
// process was paused it returns that time, and Paused holds from then on.
func (v *View) Tick(now time.Time) (gap time.Duration) {
	if !v.lastTick.IsZero() {
		gap = now.Sub(v.lastTick)
	}
	v.lastTick = now
	if now.Sub(v.lastSweep) >= sweepEvery {
		v.lastSweep = now
		v.forget(now)
	}
	if gap <= v.config.PauseLimit {
		return 0
	}
	v.paused, v.wokeAt = true, now
	return gap
}

// Fresh ends a pause. The caller must have an answer to a question that it
// asked after the process woke: words that waited in a queue are old.
func (v *View) Fresh() { v.paused = false }

// Paused reports whether the process has woken and knows nothing newer than
// its pause. It must start no work then. It ends by Fresh, after
// Config.WakeLimit, or when there is nobody to ask.
func (v *View) Paused(now time.Time) bool {
	if !v.paused || len(v.Neighbours()) == 0 {
		return false
	}
	return now.Sub(v.wokeAt) <= v.config.WakeLimit
}

// forget drops tombstones that are past their life and that the newest list no
// longer shows, so that neither an old list nor an old record revives them.
func (v *View) forget(now time.Time) {
	for _, m := range slices.Clone(v.all.members) {
		old := now.Sub(m.since) > v.config.TombstoneLife
		if m.State == Gone && old && !m.listed && m.ID != v.config.Self.ID {
			v.remove(m)
		}
	}
}
