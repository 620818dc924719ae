// Package quarantine prevents a request that crashes upstreams from crashing more
// than two of them, whichever daemons its caller resends it through.
//
// Every request in flight at a crash becomes a suspect. A suspect runs only on
// trial: at a single upstream chosen by its fingerprint, which runs one suspect at
// a time. If it completes, it is cleared. If it is in flight at a second crash, it
// is banned. Evidence forms a grow-only set, so daemons can exchange it in any
// order and any number of times (Shapiro et al., "Conflict-free Replicated Data
// Types", 2011).
//
//	q := quarantine.New(quarantine.Config{Self: "orders-1", Incarnation: 7})
//	switch q.Start(request.Fingerprint, now) {
//	case quarantine.Free, quarantine.Trial: // run it, then call q.End
//	case quarantine.Busy, quarantine.Banned: // answer notRun
//	}
//	send(q.Crashed(now)) // the local upstream crashed
//
// A Quarantine does not read the clock and is not safe for concurrent use.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Default values of Config.
const (
	DefaultSuspectTTL     = 10 * time.Minute
	DefaultBanQuietPeriod = time.Hour
	DefaultMaxBan         = 24 * time.Hour
	DefaultShortBan       = 2 * time.Second
	DefaultMaxEntries     = 1024
)

// banThreshold is the number of crashes after which a request is banned.
const banThreshold = 2

// Config holds the settings of a Quarantine. Zero durations and a zero MaxEntries
// are replaced by the defaults.
type Config struct {
	// Self and Incarnation identify the instance and incarnation of this daemon.
	Self        string
	Incarnation uint64
	// SuspectTTL is how long a request remains a suspect after its last crash.
	SuspectTTL time.Duration
	// BanQuietPeriod is how long a banned request must not be attempted before
	// the ban ends. Each attempt restarts the period.
	BanQuietPeriod time.Duration
	// MaxBan is the maximum duration of a ban, regardless of attempts.
	MaxBan time.Duration
	// ShortBan is the duration of the ban of a request that had recently
	// completed and was not on trial at any uncleared crash. Trial runs follow.
	ShortBan time.Duration
	// MaxEntries is the maximum number of requests with an entry.
	MaxEntries int
}

func (c Config) withDefaults() Config {
	c.SuspectTTL = cmp.Or(c.SuspectTTL, DefaultSuspectTTL)
	c.BanQuietPeriod = cmp.Or(c.BanQuietPeriod, DefaultBanQuietPeriod)
	c.MaxBan = cmp.Or(c.MaxBan, DefaultMaxBan)
	c.ShortBan = cmp.Or(c.ShortBan, DefaultShortBan)
	c.MaxEntries = cmp.Or(c.MaxEntries, DefaultMaxEntries)
	return c
}

// Verdict is the decision whether a request may run.
type Verdict string

// Verdicts.
const (
	// Free means that the request is neither a suspect nor banned.
	Free Verdict = "free"
	// Trial means that the request is a suspect and may run only at its trial
	// upstream.
	Trial Verdict = "trial"
	// Busy means that a suspect is already in flight at this upstream.
	Busy Verdict = "busy"
	// Banned means that the request was in flight at two crashes and must not
	// run.
	Banned Verdict = "banned"
)

// Quarantine tracks the suspect and banned requests of one daemon's service.
type Quarantine struct {
	config  Config
	entries map[uint64]*entry
	crashes uint64
	// inFlight counts the requests in flight at the local upstream, by
	// fingerprint.
	inFlight map[uint64]int
	// onTrial is the fingerprint of the request on trial there, or zero.
	onTrial     uint64
	completions recentCompletions
}

// New returns a Quarantine without suspects or bans.
func New(config Config) *Quarantine {
	return &Quarantine{config: config.withDefaults(), entries: make(map[uint64]*entry), inFlight: make(map[uint64]int)}
}

// Check decides whether a request may be sent to an upstream. It never returns
// Busy. Fingerprint zero, which stands for requests without a fingerprint, is
// always Free.
func (q *Quarantine) Check(fingerprint uint64, now time.Time) Verdict {
	e, ok := q.entries[fingerprint]
	if !ok || fingerprint == 0 || q.expired(e, now) {
		return Free
	}
	switch uncleared := e.unclearedCrashes(); {
	case uncleared >= banThreshold && e.uncertain() && now.Sub(e.lastCrash) >= q.config.ShortBan:
		return Trial
	case uncleared >= banThreshold:
		return Banned
	case uncleared > 0:
		return Trial
	}
	return Free
}

// Allowed reports whether a request is not banned.
func (q *Quarantine) Allowed(fingerprint uint64, now time.Time) bool {
	return q.Check(fingerprint, now) != Banned
}

// TrialUpstream returns the instance at which a suspect runs, chosen from the
// live instances by rendezvous hashing, or false if ids is empty.
func TrialUpstream(fingerprint uint64, ids []string) (string, bool) {
	if len(ids) == 0 {
		return "", false
	}
	return slices.MaxFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousScore(fingerprint, a), rendezvousScore(fingerprint, b)), cmp.Compare(a, b))
	}), true
}

func rendezvousScore(fingerprint uint64, id string) uint64 {
	digest := xxhash.NewWithSeed(fingerprint)
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// Start decides whether a request may run at the local upstream. If it returns
// Free or Trial, the caller must call End when the request ends, unless the
// upstream crashes.
func (q *Quarantine) Start(fingerprint uint64, now time.Time) Verdict {
	verdict := q.Check(fingerprint, now)
	switch {
	case verdict == Banned:
		q.entries[fingerprint].lastAttempt = now
		return Banned
	case verdict == Trial && q.suspectInFlight(now):
		return Busy
	case verdict == Trial:
		q.onTrial = fingerprint
	}
	q.inFlight[fingerprint]++
	return verdict
}

// suspectInFlight reports whether a suspect is in flight at the local upstream,
// including one that started before it became a suspect. Two suspects in flight
// together would both be blamed for the next crash.
func (q *Quarantine) suspectInFlight(now time.Time) bool {
	for fingerprint := range q.inFlight {
		if q.Check(fingerprint, now) != Free {
			return true
		}
	}
	return false
}

// End records that a request ended at the local upstream without a crash.
// completed is true if the answer was complete, with any status. End returns the
// entries to send to the other daemons of the service. A request that started
// before it became a suspect is cleared as well, since a request that crashes
// upstreams would not have completed.
func (q *Quarantine) End(fingerprint uint64, completed bool, now time.Time) []Entry {
	if q.inFlight[fingerprint]--; q.inFlight[fingerprint] <= 0 {
		delete(q.inFlight, fingerprint)
	}
	if q.onTrial == fingerprint {
		q.onTrial = 0
	}
	if completed {
		q.completions.add(fingerprint, now)
	}
	e, ok := q.entries[fingerprint]
	if !ok || !completed || q.expired(e, now) || e.unclearedCrashes() == 0 {
		return nil
	}
	for i := range e.evidence {
		e.evidence[i].Cleared = true
	}
	return []Entry{e.toEntry(now)}
}

// likelyCulprit returns the request on trial, or zero if another request in
// flight has not completed recently. Such a request is a more likely cause of a
// crash than one that has.
func (q *Quarantine) likelyCulprit() uint64 {
	for fingerprint := range q.inFlight {
		if fingerprint != q.onTrial && !q.completions.has(fingerprint) {
			return 0
		}
	}
	return q.onTrial
}

// Crashed records a crash of the local upstream, which ends all requests in
// flight; End must not be called for them. It returns the entries to send to the
// other daemons of the service.
func (q *Quarantine) Crashed(now time.Time) []Entry {
	q.crashes++
	culprit := q.likelyCulprit()
	q.onTrial = 0
	inFlight := slices.Sorted(maps.Keys(q.inFlight))
	clear(q.inFlight)
	evidence := Evidence{Instance: q.config.Self, Incarnation: q.config.Incarnation, Number: q.crashes}
	var changed []Entry
	for _, fingerprint := range inFlight {
		if fingerprint == 0 {
			continue
		}
		evidence.Completed, evidence.OnTrial = q.completions.has(fingerprint), fingerprint == culprit
		e := q.getOrCreate(fingerprint, now)
		if e.addEvidence(evidence) {
			e.lastCrash = now
			q.recordBan(e, now)
			changed = append(changed, e.toEntry(now))
		}
	}
	return changed
}
