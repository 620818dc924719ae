// Package quarantine keeps a request that crashes upstreams from crashing more
// than two of them, through whichever daemons its caller sends it again.
//
// Every request in flight at a crash becomes a suspect. A suspect still runs,
// but only on trial: at one upstream chosen by its fingerprint, one suspect at a
// time there. If it completes it is cleared. If it is in flight at a second
// crash it is banned. Evidence is a set that only grows, so daemons exchange
// it in any order, any number of times (a grow-only set; Shapiro et al.,
// "Conflict-free Replicated Data Types", 2011).
//
//	q := quarantine.New(quarantine.Config{Self: "orders-1", Incarnation: 7})
//	switch q.Start(request.Fingerprint, now) {
//	case quarantine.Free, quarantine.Trial: // run it, then call q.End
//	case quarantine.Busy, quarantine.Banned: // answer notRun
//	}
//	send(q.Crashed(now)) // the upstream beside this daemon crashed
//
// A Quarantine reads no clock and is not safe for concurrent use.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of Config.
const (
	DefaultSuspectFor = 10 * time.Minute
	DefaultBanFor     = time.Hour
	DefaultMaxBan     = 24 * time.Hour
	DefaultShortBan   = 2 * time.Second
	DefaultMaxEntries = 1024
)

// banAt is the number of crashes after which a request is banned.
const banAt = 2

// Config holds the settings of a Quarantine. Zero values take the defaults.
type Config struct {
	// Self and Incarnation name this life of this daemon.
	Self        string
	Incarnation uint64
	// SuspectFor is how long a request stays a suspect after its last crash.
	SuspectFor time.Duration
	// BanFor is how long a banned request has to stay away before the ban
	// ends; each attempt to run it starts that time anew.
	BanFor time.Duration
	// MaxBan is how long a ban lasts at most, however often it is tried.
	MaxBan time.Duration
	// ShortBan is how long a request is banned that had lately completed and was
	// not on trial at any crash. A trial follows.
	ShortBan time.Duration
	// MaxEntries bounds the requests remembered.
	MaxEntries int
}

func (c Config) withDefaults() Config {
	c.SuspectFor = cmp.Or(c.SuspectFor, DefaultSuspectFor)
	c.BanFor = cmp.Or(c.BanFor, DefaultBanFor)
	c.MaxBan = cmp.Or(c.MaxBan, DefaultMaxBan)
	c.ShortBan = cmp.Or(c.ShortBan, DefaultShortBan)
	c.MaxEntries = cmp.Or(c.MaxEntries, DefaultMaxEntries)
	return c
}

// Verdict says whether a request may run.
type Verdict string

// The verdicts.
const (
	// Free: nothing is held against the request.
	Free Verdict = "free"
	// Trial: the request is a suspect and may run only at its trial upstream.
	Trial Verdict = "trial"
	// Busy: another suspect is in flight at this upstream.
	Busy Verdict = "busy"
	// Banned: the request was in flight at two crashes and does not run.
	Banned Verdict = "banned"
)

// Quarantine is what one daemon holds against requests to its service.
type Quarantine struct {
	config  Config
	entries map[uint64]*entry
	crashes uint64
	// inFlight counts the requests at this daemon's own upstream.
	inFlight map[uint64]int
	// trial is the fingerprint that started there on trial, or zero.
	trial  uint64
	lately lately
}

// New returns a Quarantine that holds nothing against any request.
func New(config Config) *Quarantine {
	return &Quarantine{config: config.withDefaults(), entries: make(map[uint64]*entry), inFlight: make(map[uint64]int)}
}

// Judge says whether a request may be sent to an upstream. It never returns
// Busy. Zero, the fingerprint of requests that have none, is always Free.
func (q *Quarantine) Judge(fingerprint uint64, now time.Time) Verdict {
	e, ok := q.entries[fingerprint]
	if !ok || fingerprint == 0 || q.expired(e, now) {
		return Free
	}
	switch open := e.open(); {
	case open >= banAt && e.doubtful() && now.Sub(e.crashed) >= q.config.ShortBan:
		return Trial
	case open >= banAt:
		return Banned
	case open > 0:
		return Trial
	}
	return Free
}

// Allowed reports whether a request may run at all.
func (q *Quarantine) Allowed(fingerprint uint64, now time.Time) bool {
	return q.Judge(fingerprint, now) != Banned
}

// TrialUpstream returns which of the live instances a suspect runs at, by
// rendezvous hashing, or false if there is none.
func TrialUpstream(fingerprint uint64, ids []string) (string, bool) {
	if len(ids) == 0 {
		return "", false
	}
	return slices.MaxFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(fingerprint, a), score(fingerprint, b)), cmp.Compare(a, b))
	}), true
}

func score(fingerprint uint64, id string) uint64 {
	digest := xxhash.NewWithSeed(fingerprint)
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// Start asks to run a request at this daemon's own upstream. After Free and
// Trial, End has to follow.
func (q *Quarantine) Start(fingerprint uint64, now time.Time) Verdict {
	verdict := q.Judge(fingerprint, now)
	switch {
	case verdict == Banned:
		q.entries[fingerprint].tried = now
		return Banned
	case verdict == Trial && q.suspectInFlight(now):
		return Busy
	case verdict == Trial:
		q.trial = fingerprint
	}
	q.inFlight[fingerprint]++
	return verdict
}

// suspectInFlight reports whether any suspect is at the upstream now, also one
// that started before it became a suspect. Two together would share the next
// crash.
func (q *Quarantine) suspectInFlight(now time.Time) bool {
	for fingerprint := range q.inFlight {
		if q.Judge(fingerprint, now) != Free {
			return true
		}
	}
	return false
}

// End tells that a request ended at this daemon's own upstream while that kept
// running. completed is true if there was a whole answer, of any status. It
// returns what the other daemons of the service need to hear. A run that began
// before its request became a suspect clears it too: one that crashes upstreams
// would not have completed.
func (q *Quarantine) End(fingerprint uint64, completed bool, now time.Time) []Entry {
	if q.inFlight[fingerprint]--; q.inFlight[fingerprint] <= 0 {
		delete(q.inFlight, fingerprint)
	}
	if q.trial == fingerprint {
		q.trial = 0
	}
	if completed {
		q.lately.add(fingerprint, now)
	}
	e, ok := q.entries[fingerprint]
	if !ok || !completed || q.expired(e, now) || e.open() == 0 {
		return nil
	}
	for i := range e.evidence {
		e.evidence[i].Cleared = true
	}
	return []Entry{e.message(now)}
}

// soleCulprit returns the request on trial if nothing else in flight is more
// likely to have crashed the upstream, and else zero. What has not completed
// lately is more likely than what has.
func (q *Quarantine) soleCulprit() uint64 {
	for fingerprint := range q.inFlight {
		if fingerprint != q.trial && !q.lately.has(fingerprint) {
			return 0
		}
	}
	return q.trial
}

// Crashed tells that this daemon's own upstream crashed, and with it all that
// was in flight; no End follows for that. It returns what the other daemons of
// the service need to hear.
func (q *Quarantine) Crashed(now time.Time) []Entry {
	q.crashes++
	trial := q.soleCulprit()
	q.trial = 0
	inFlight := slices.Sorted(maps.Keys(q.inFlight))
	clear(q.inFlight)
	evidence := Evidence{Instance: q.config.Self, Incarnation: q.config.Incarnation, Number: q.crashes}
	var changed []Entry
	for _, fingerprint := range inFlight {
		if fingerprint == 0 {
			continue
		}
		evidence.Completed, evidence.OnTrial = q.lately.has(fingerprint), fingerprint == trial
		e := q.entry(fingerprint, now)
		if e.add(evidence) {
			e.crashed = now
			q.markBan(e, now)
			changed = append(changed, e.message(now))
		}
	}
	return changed
}
