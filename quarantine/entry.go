package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxEvidence bounds the crashes remembered for one request. More than banAt
// are kept so that a late clearing of one crash does not free a request that
// was in flight at two others.
const maxEvidence = 4

// Evidence names one crash of an upstream, by the daemon beside it.
type Evidence struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Number      uint64 `json:"number"`
	// Completed is true if the request had lately completed at that upstream,
	// as a popular innocent one has.
	Completed bool `json:"completed,omitempty"`
	// OnTrial is true if the request was on trial there, with neither another
	// suspect in flight nor one that had not completed lately.
	OnTrial bool `json:"onTrial,omitempty"`
	// Cleared is true once the request has completed on trial after this
	// crash was known.
	Cleared bool `json:"cleared,omitempty"`
}

// same reports whether both name one crash.
func (e Evidence) same(other Evidence) bool {
	return e.Instance == other.Instance && e.Incarnation == other.Incarnation && e.Number == other.Number
}

// Entry is what daemons tell each other of one request. Times are ages by the
// sender's clock in milliseconds.
type Entry struct {
	Fingerprint uint64     `json:"fingerprint"`
	Evidence    []Evidence `json:"evidence"`
	CrashedMs   int64      `json:"crashedMs"`
	// TriedMs is the last attempt to run it while banned, BannedMs the start
	// of the ban; both are -1 if there was none.
	TriedMs  int64 `json:"triedMs"`
	BannedMs int64 `json:"bannedMs"`
}

// entry is what a Quarantine holds against one request.
type entry struct {
	fingerprint uint64
	evidence    []Evidence
	crashed     time.Time
	tried       time.Time
	banned      time.Time
}

// open counts the crashes that the request has not been cleared of.
func (e *entry) open() int {
	n := 0
	for _, evidence := range e.evidence {
		if !evidence.Cleared {
			n++
		}
	}
	return n
}

// doubtful reports whether a ban may have hit an innocent request: it had lately
// completed, and it was never the most likely cause.
func (e *entry) doubtful() bool {
	completed := false
	for _, evidence := range e.evidence {
		if evidence.OnTrial && !evidence.Cleared {
			return false
		}
		completed = completed || evidence.Completed
	}
	return completed
}

// add takes in evidence and reports whether it was new. Clearing wins over its
// absence. When there is no room, cleared evidence makes way.
func (e *entry) add(evidence Evidence) bool {
	for i, known := range e.evidence {
		if known.same(evidence) {
			changed := evidence.Cleared && !known.Cleared
			e.evidence[i].Cleared = known.Cleared || evidence.Cleared
			return changed
		}
	}
	if len(e.evidence) >= maxEvidence {
		at := slices.IndexFunc(e.evidence, func(x Evidence) bool { return x.Cleared })
		if at < 0 || evidence.Cleared {
			return false
		}
		e.evidence = slices.Delete(e.evidence, at, at+1)
	}
	e.evidence = append(e.evidence, evidence)
	return true
}

func (e *entry) message(now time.Time) Entry {
	return Entry{
		Fingerprint: e.fingerprint,
		Evidence:    slices.Clone(e.evidence),
		CrashedMs:   ageMs(e.crashed, now),
		TriedMs:     ageMs(e.tried, now),
		BannedMs:    ageMs(e.banned, now),
	}
}

func ageMs(t, now time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return max(now.Sub(t).Milliseconds(), 0)
}

func timeOf(ageMs int64, now time.Time) time.Time {
	if ageMs < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}

// expired reports whether a suspicion or a ban has come to its end.
func (q *Quarantine) expired(e *entry, now time.Time) bool {
	if e.open() < banAt {
		return now.Sub(e.crashed) >= q.config.SuspectFor
	}
	last := e.crashed
	if e.tried.After(last) {
		last = e.tried
	}
	return now.Sub(last) >= q.config.BanFor || now.Sub(e.banned) >= q.config.MaxBan
}

// markBan notes when a request came to be banned.
func (q *Quarantine) markBan(e *entry, now time.Time) {
	if e.open() >= banAt && e.banned.IsZero() {
		e.banned = now
	}
}

// entry returns the entry of a request, new if there is none or it has expired.
func (q *Quarantine) entry(fingerprint uint64, now time.Time) *entry {
	e, ok := q.entries[fingerprint]
	if ok && !q.expired(e, now) {
		return e
	}
	if !ok && len(q.entries) >= q.config.MaxEntries {
		q.makeRoom(now)
	}
	e = &entry{fingerprint: fingerprint}
	q.entries[fingerprint] = e
	return e
}

// makeRoom drops the entry that matters least: an expired one, then one that is
// not banned, then the one whose crash is oldest.
func (q *Quarantine) makeRoom(now time.Time) {
	var least *entry
	for _, e := range q.entries {
		if least == nil || q.weigh(e, least, now) < 0 {
			least = e
		}
	}
	delete(q.entries, least.fingerprint)
}

func (q *Quarantine) weigh(a, b *entry, now time.Time) int {
	return cmp.Or(
		-compareBools(q.expired(a, now), q.expired(b, now)),
		compareBools(a.open() >= banAt, b.open() >= banAt),
		a.crashed.Compare(b.crashed),
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
