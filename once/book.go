// Package once lets a non-idempotent request with an Idempotency-Key run at
// most once, with no store shared by the daemons.
//
// Each key has a home, the one daemon that decides whether it runs. A key that
// a daemon issued names its home in its text. For a key of the caller's own the
// home is found by rendezvous hashing, and a home first asks every other home
// that may have run the key before; docs/design/once.md gives the argument.
// A Book is the part of one daemon that is home of keys.
//
// The outcome notRun covers all earlier sends of the same key: it is told only
// when no daemon has run the key. A refusal that proves nothing of earlier sends
// is unknown, and the caller may send the same key again.
//
//	book := once.New(once.Config{Self: self, Started: now, Rand: rand.Uint64})
//	for _, action := range book.Begin(request, now) {
//		switch action.Kind {
//		case once.Run: // run it before action.Until, then call book.Finish
//		case once.Ask: // send action.Claim to action.Claim.To
//		case once.Refuse, once.Replay: // answer the caller
//		}
//	}
//
// A Book reads no clock and is not safe for concurrent use.
package once

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// Defaults of Config.
const (
	DefaultWindow         = 10 * time.Minute
	DefaultLease          = 9 * time.Second
	DefaultSettle         = 30 * time.Second
	DefaultSkew           = 2 * time.Second
	DefaultAskTimeout     = time.Second
	DefaultMaxRecords     = 20000
	DefaultMaxAnswerBytes = 4 << 10
	DefaultMaxBytes       = 8 << 20
)

// Config holds the settings of a Book, the durations of which have to be the
// same at all daemons of a service. Zero values take the defaults.
type Config struct {
	// Self is this life of this daemon.
	Self Incarnation
	// Started is when it began, with a monotonic clock reading.
	Started time.Time
	// Window is how long a key is good for; a caller must not send it later.
	Window time.Duration
	// Lease is how long a home may let keys run after it sent the last
	// heartbeat that a majority received. Heartbeats go out at least three
	// times as often.
	Lease time.Duration
	// Settle bounds how far a read of the platform's list trails the truth. A
	// fleet that is new as a whole waits this long before it trusts the list.
	Settle time.Duration
	// Skew bounds the difference of any two wall clocks, the makers of timed
	// keys included.
	Skew time.Duration
	// AskTimeout bounds the wait for replies to claims.
	AskTimeout time.Duration
	// MaxRecords bounds the keys remembered.
	MaxRecords int
	// MaxAnswerBytes bounds one kept answer, MaxBytes all of them.
	MaxAnswerBytes int
	MaxBytes       int
	// Rand returns random numbers for the nonces of issued keys.
	Rand func() uint64
}

func (c Config) withDefaults() Config {
	setDuration(&c.Window, DefaultWindow)
	setDuration(&c.Lease, DefaultLease)
	setDuration(&c.Settle, DefaultSettle)
	setDuration(&c.Skew, DefaultSkew)
	setDuration(&c.AskTimeout, DefaultAskTimeout)
	setInt(&c.MaxRecords, DefaultMaxRecords)
	setInt(&c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setInt(&c.MaxBytes, DefaultMaxBytes)
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func setInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}

// silence is how long an incarnation may say nothing to anyone before it
// counts as stopped; it exceeds the lease that it may still hold.
func (c Config) silence() time.Duration { return 3 * c.Lease }

// keep is how long a record outlives the moment it was made or last granted.
func (c Config) keep() time.Duration { return c.Window + 2*c.Lease + c.AskTimeout + c.Skew }

// ActionKind says what an Action asks for.
type ActionKind string

// The kinds of action.
const (
	// Run hands the request to an upstream, here or at a sibling, unless
	// Until has passed by then; Finish tells the end either way.
	Run ActionKind = "run"
	// Refuse answers with Outcome and Reason.
	Refuse ActionKind = "refuse"
	// Replay answers with the kept Answer of the one run.
	Replay ActionKind = "replay"
	// Ask sends Claim to the home that it names.
	Ask ActionKind = "ask"
)

// Action is one thing to be done.
type Action struct {
	Kind   ActionKind
	CallID string
	Key    string
	// Until bounds the moment at which a Run reaches the upstream.
	Until   time.Time
	Outcome call.Outcome
	Reason  call.Reason
	Answer  Answer
	Claim   Claim
}

// Book is the memory and the judgement of one home. See the package's
// documentation.
type Book struct {
	config     Config
	records    records
	peers      peers
	attempts   uint64
	asking     []timeout
	swept      time.Time
	leaving    bool
	superseded bool
}

// New returns a Book that knows of no other home and holds no record.
func New(config Config) *Book {
	config = config.withDefaults()
	return &Book{
		config: config,
		records: records{
			byKey:      make(map[string]*record),
			maxRecords: config.MaxRecords,
			maxBody:    config.MaxAnswerBytes,
			maxBodies:  config.MaxBytes,
		},
		peers: newPeers(),
	}
}

// IssueKey returns a key that only this incarnation lets run, good for the
// window. It reports false once the daemon is leaving.
func (b *Book) IssueKey(now time.Time) (string, bool) {
	if b.leaving || b.superseded {
		return "", false
	}
	expiry := now.Sub(b.config.Started) + b.config.Window
	return formatIssued(b.config.Self, expiry, b.config.Rand()), true
}

// Begin takes in a keyed request and decides on it, or asks other homes first.
// More actions for the same call may follow from Reply and Tick.
func (b *Book) Begin(req call.Request, now time.Time) []Action {
	key, ok := ParseKey(req.Key)
	if !ok {
		return refuse(req, call.NotRun, call.BadRequest)
	}
	if r := b.records.get(req.Key, now); r != nil && (r.state != idle || r.fingerprint != req.Fingerprint) {
		return known(r, req)
	}
	if key.Kind == Issued {
		return b.beginIssued(key, req, now)
	}
	return b.beginOwn(key, req, now)
}

// known answers a request whose key this Book remembers.
func known(r *record, req call.Request) []Action {
	switch {
	case r.fingerprint != req.Fingerprint && r.state == ended && r.answer.Outcome == call.Run:
		return refuse(req, call.NotRun, call.KeyReused)
	case r.fingerprint != req.Fingerprint:
		return refuse(req, call.Unknown, call.KeyReused)
	case r.state == ended && r.answer.Outcome == call.Run:
		return []Action{{Kind: Replay, CallID: req.ID, Key: req.Key, Outcome: call.Run, Reason: call.Replayed, Answer: r.answer}}
	case r.state == ended:
		return refuse(req, call.Unknown, call.Replayed)
	}
	return refuse(req, call.Unknown, call.InProgress)
}

// Finish tells the end of a run that this Book allowed: Run with the answer,
// NotRun if it is proved that no upstream ran it and none will, Unknown if the
// end is not known. An Unknown may later be corrected by another Finish. It
// returns the outcome that the caller may be told: Unknown in place of NotRun
// if another home may have run the key meanwhile.
func (b *Book) Finish(key string, outcome call.Outcome, answer Answer, now time.Time) call.Outcome {
	r, ok := b.records.byKey[key]
	if !ok || !r.open() {
		return call.Unknown
	}
	r.expiry = later(r.expiry, b.expiry(key, now))
	switch outcome {
	case call.NotRun:
		r.state, r.attempt, r.answer = idle, nil, Answer{}
		if !b.alone(r, now) {
			return call.Unknown
		}
	case call.Run:
		answer.Outcome = call.Run
		b.records.end(r, answer)
	default:
		b.records.end(r, unknownAnswer)
	}
	return outcome
}

// alone reports whether no other home can have run a key since this Book
// allowed it: nobody takes it for stopped while it holds the lease.
func (b *Book) alone(r *record, now time.Time) bool {
	if key, _ := ParseKey(r.key); key.Kind == Issued {
		return true
	}
	return b.holdsLease(now) && !b.peers.leaseSince.After(r.begun)
}

// open reports whether the end of a run may still be told.
func (r *record) open() bool {
	return r.state == running || r.state == ended && r.answer.Outcome == call.Unknown
}

// Leave stops the issuing of keys and all runs that have not begun.
func (b *Book) Leave() { b.leaving = true }

// Tick ends the attempts whose replies did not come and forgets what has
// served its time. It is due several times per AskTimeout.
func (b *Book) Tick(now time.Time) []Action {
	var actions []Action
	for len(b.asking) > 0 && !now.Before(b.asking[0].due) {
		due := b.asking[0]
		b.asking = b.asking[1:]
		if r := b.records.byKey[due.key]; r != nil && r.state == asking && r.attempt.number == due.attempt {
			actions = append(actions, b.abandon(r, call.KeyHomeGone)...)
		}
	}
	if now.Sub(b.swept) >= b.config.Lease {
		b.swept = now
		b.records.sweep(now)
		b.placeSelf(now)
		b.forget(now)
		b.renewLease(now)
	}
	return actions
}

// Len returns the number of keys remembered.
func (b *Book) Len() int { return len(b.records.byKey) }

// timeout says when an attempt is given up. All wait equally long, so the
// oldest comes first.
type timeout struct {
	due     time.Time
	key     string
	attempt uint64
}

func refuse(req call.Request, outcome call.Outcome, reason call.Reason) []Action {
	return []Action{{Kind: Refuse, CallID: req.ID, Key: req.Key, Outcome: outcome, Reason: reason}}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
