package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelodoor.example/pomelodoor/times"
)

// Merge merges entries received from another daemon of the service. Entries may
// arrive in any order and more than once.
func (q *Quarantine) Merge(entries []Entry, now time.Time) {
	for _, received := range entries {
		if received.Fingerprint == 0 || q.stale(received) {
			continue
		}
		e := q.getOrCreate(received.Fingerprint, now)
		for _, evidence := range received.Evidence {
			e.addEvidence(evidence)
		}
		e.lastCrash = times.Later(e.lastCrash, timeFromAge(received.CrashedMs, now))
		e.lastAttempt = times.Later(e.lastAttempt, timeFromAge(received.TriedMs, now))
		if banned := timeFromAge(received.BannedMs, now); !banned.IsZero() && (e.bannedAt.IsZero() || banned.Before(e.bannedAt)) {
			e.bannedAt = banned
		}
		q.recordBan(e, now)
	}
}

// stale reports whether a received entry is too old to be merged.
func (q *Quarantine) stale(received Entry) bool {
	last := received.CrashedMs
	if received.TriedMs >= 0 {
		last = min(last, received.TriedMs)
	}
	limit := max(q.config.SuspectTTL, q.config.BanQuietPeriod)
	return time.Duration(last)*time.Millisecond >= limit
}

// Entries returns all unexpired entries. They are sent to a daemon that has just
// started and, periodically, to daemons that may have missed a message.
func (q *Quarantine) Entries(now time.Time) []Entry {
	var entries []Entry
	for _, e := range q.entries {
		if !q.expired(e, now) {
			entries = append(entries, e.toEntry(now))
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

// Digest returns a hash of what the daemon knows of all requests. If the digests of two
// daemons are equal, both decide alike on each request.
func (q *Quarantine) Digest(now time.Time) uint64 {
	var digest uint64
	for _, e := range q.entries {
		if !q.expired(e, now) {
			digest ^= e.digest()
		}
	}
	return digest
}

// digest hashes the part of an entry on which decisions depend.
func (e *entry) digest() uint64 {
	state := []byte{byte(min(e.unclearedCrashes(), banThreshold)), 0}
	if e.uncertain() {
		state[1] = 1
	}
	hash := xxhash.NewWithSeed(e.fingerprint)
	_, _ = hash.Write(state)
	return hash.Sum64()
}

// Expire drops expired entries. It should be called about once a minute.
func (q *Quarantine) Expire(now time.Time) {
	for fingerprint, e := range q.entries {
		if q.expired(e, now) {
			delete(q.entries, fingerprint)
		}
	}
}

// Suspects returns the number of suspects.
func (q *Quarantine) Suspects(now time.Time) int { return q.count(Trial, now) }

// Bans returns the number of banned requests.
func (q *Quarantine) Bans(now time.Time) int { return q.count(Banned, now) }

func (q *Quarantine) count(verdict Verdict, now time.Time) int {
	n := 0
	for fingerprint := range q.entries {
		if q.Check(fingerprint, now) == verdict {
			n++
		}
	}
	return n
}
