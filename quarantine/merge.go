package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Merge takes in what another daemon of the service told. Entries may come in
// any order and any number of times.
func (q *Quarantine) Merge(entries []Entry, now time.Time) {
	for _, told := range entries {
		if told.Fingerprint == 0 || q.stale(told) {
			continue
		}
		e := q.entry(told.Fingerprint, now)
		for _, evidence := range told.Evidence {
			e.add(evidence)
		}
		e.crashed = later(e.crashed, timeOf(told.CrashedMs, now))
		e.tried = later(e.tried, timeOf(told.TriedMs, now))
		if banned := timeOf(told.BannedMs, now); !banned.IsZero() && (e.banned.IsZero() || banned.Before(e.banned)) {
			e.banned = banned
		}
		q.markBan(e, now)
	}
}

// stale reports whether an entry is too old to be taken in.
func (q *Quarantine) stale(told Entry) bool {
	last := told.CrashedMs
	if told.TriedMs >= 0 {
		last = min(last, told.TriedMs)
	}
	limit := max(q.config.SuspectFor, q.config.BanFor)
	return time.Duration(last)*time.Millisecond >= limit
}

// Entries returns all that is held, for a daemon that has just started and,
// now and then, for those that may have missed a message.
func (q *Quarantine) Entries(now time.Time) []Entry {
	var entries []Entry
	for _, e := range q.entries {
		if !q.expired(e, now) {
			entries = append(entries, e.message(now))
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

// Tick forgets what has expired. It is due every minute or so.
func (q *Quarantine) Tick(now time.Time) {
	for fingerprint, e := range q.entries {
		if q.expired(e, now) {
			delete(q.entries, fingerprint)
		}
	}
}

// Suspects and Bans count what is held.
func (q *Quarantine) Suspects(now time.Time) int { return q.count(Trial, now) }

// Bans returns the number of banned requests.
func (q *Quarantine) Bans(now time.Time) int { return q.count(Banned, now) }

func (q *Quarantine) count(verdict Verdict, now time.Time) int {
	n := 0
	for fingerprint := range q.entries {
		if q.Judge(fingerprint, now) == verdict {
			n++
		}
	}
	return n
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
