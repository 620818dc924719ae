package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxEvidence is the maximum number of crashes recorded for one request. It
// exceeds banThreshold so that clearing one crash late does not lift the ban of a
// request that was in flight at two others.
const maxEvidence = 4

// Evidence links a request to one crash of an upstream. The instance, incarnation
// and crash number of the daemon next to the upstream identify the crash.
type Evidence struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Number      uint64 `json:"number"`
	// Completed is true if the request had recently completed at that upstream,
	// which is typical of a frequent, harmless request.
	Completed bool `json:"completed,omitempty"`
	// OnTrial is true if the request was on trial there and every other request
	// in flight had recently completed.
	OnTrial bool `json:"onTrial,omitempty"`
	// Cleared is true once the request has completed after this crash was known.
	Cleared bool `json:"cleared,omitempty"`
}

// sameCrash reports whether both refer to the same crash.
func (e Evidence) sameCrash(other Evidence) bool {
	return e.Instance == other.Instance && e.Incarnation == other.Incarnation && e.Number == other.Number
}

// Entry is the message in which daemons exchange the state of one request. Times
// are sent as ages in milliseconds, measured by the sender's clock.
type Entry struct {
	Fingerprint uint64     `json:"fingerprint"`
	Evidence    []Evidence `json:"evidence"`
	CrashedMs   int64      `json:"crashedMs"`
	// TriedMs is the age of the last attempt to run the request while banned,
	// BannedMs the age of the start of the ban. Both are -1 if there was none.
	TriedMs  int64 `json:"triedMs"`
	BannedMs int64 `json:"bannedMs"`
}

// entry is the state of one request in a Quarantine.
type entry struct {
	fingerprint uint64
	evidence    []Evidence
	lastCrash   time.Time
	lastAttempt time.Time
	bannedAt    time.Time
}

// unclearedCrashes returns the number of crashes of which the request has not
// been cleared.
func (e *entry) unclearedCrashes() int {
	n := 0
	for _, evidence := range e.evidence {
		if !evidence.Cleared {
			n++
		}
	}
	return n
}

// uncertain reports whether a ban may affect a harmless request: it had recently
// completed before a crash and was the likely culprit of no uncleared crash.
func (e *entry) uncertain() bool {
	completed := false
	for _, evidence := range e.evidence {
		if evidence.OnTrial && !evidence.Cleared {
			return false
		}
		completed = completed || evidence.Completed
	}
	return completed
}

// addEvidence adds evidence and reports whether it changed the entry. For a known
// crash only the transition to cleared counts. If the entry is full, uncleared
// evidence replaces cleared evidence, and any other is dropped.
func (e *entry) addEvidence(evidence Evidence) bool {
	for i, known := range e.evidence {
		if known.sameCrash(evidence) {
			changed := evidence.Cleared && !known.Cleared
			e.evidence[i].Cleared = known.Cleared || evidence.Cleared
			return changed
		}
	}
	if len(e.evidence) >= maxEvidence {
		cleared := slices.IndexFunc(e.evidence, func(x Evidence) bool { return x.Cleared })
		if cleared < 0 || evidence.Cleared {
			return false
		}
		e.evidence = slices.Delete(e.evidence, cleared, cleared+1)
	}
	e.evidence = append(e.evidence, evidence)
	return true
}

func (e *entry) toEntry(now time.Time) Entry {
	return Entry{
		Fingerprint: e.fingerprint,
		Evidence:    slices.Clone(e.evidence),
		CrashedMs:   ageMs(e.lastCrash, now),
		TriedMs:     ageMs(e.lastAttempt, now),
		BannedMs:    ageMs(e.bannedAt, now),
	}
}

func ageMs(t, now time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return max(now.Sub(t).Milliseconds(), 0)
}

func timeFromAge(ageMs int64, now time.Time) time.Time {
	if ageMs < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}

// expired reports whether the suspicion or ban has expired.
func (q *Quarantine) expired(e *entry, now time.Time) bool {
	if e.unclearedCrashes() < banThreshold {
		return now.Sub(e.lastCrash) >= q.config.SuspectTTL
	}
	last := e.lastCrash
	if e.lastAttempt.After(last) {
		last = e.lastAttempt
	}
	return now.Sub(last) >= q.config.BanQuietPeriod || now.Sub(e.bannedAt) >= q.config.MaxBan
}

// recordBan sets the start of the ban once the request has reached banThreshold.
func (q *Quarantine) recordBan(e *entry, now time.Time) {
	if e.unclearedCrashes() >= banThreshold && e.bannedAt.IsZero() {
		e.bannedAt = now
	}
}

// getOrCreate returns the entry of a request. It creates one if there is none or
// the existing one has expired.
func (q *Quarantine) getOrCreate(fingerprint uint64, now time.Time) *entry {
	e, ok := q.entries[fingerprint]
	if ok && !q.expired(e, now) {
		return e
	}
	if !ok && len(q.entries) >= q.config.MaxEntries {
		q.evict(now)
	}
	e = &entry{fingerprint: fingerprint}
	q.entries[fingerprint] = e
	return e
}

// evict drops one entry: expired entries first, then entries that are not banned,
// then the one whose last crash is oldest.
func (q *Quarantine) evict(now time.Time) {
	var victim *entry
	for _, e := range q.entries {
		if victim == nil || q.compareForEviction(e, victim, now) < 0 {
			victim = e
		}
	}
	delete(q.entries, victim.fingerprint)
}

func (q *Quarantine) compareForEviction(a, b *entry, now time.Time) int {
	return cmp.Or(
		-compareBools(q.expired(a, now), q.expired(b, now)),
		compareBools(a.unclearedCrashes() >= banThreshold, b.unclearedCrashes() >= banThreshold),
		a.lastCrash.Compare(b.lastCrash),
		cmp.Compare(a.fingerprint, b.fingerprint),
	)
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
