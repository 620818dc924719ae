// Package once runs a non-idempotent request with an Idempotency-Key at most
// once, without a store shared between the daemons.
//
// Each key has a home, the one daemon that decides whether it runs. A key issued
// by a daemon names its home. For a key chosen by the caller, the home is found
// by rendezvous hashing, so it may change with the membership. The home therefore
// first queries every other daemon that may have run the key as its home;
// docs/design/once.md gives the reasoning. A Coordinator decides for one daemon
// on the keys whose home is that daemon.
//
// The outcome notRun covers all earlier sends of the same key: it is reported
// only if no daemon has run the key. A refusal that proves nothing about earlier
// sends is reported as unknown, and the caller may send the same key again.
//
//	coordinator := once.New(once.Config{Self: self, Started: now, Rand: rand.Uint64})
//	for _, action := range coordinator.Begin(request, now) {
//		switch action.Kind {
//		case once.Run: // run the request before action.Until, then call coordinator.Finish
//		case once.SendClaim: // send action.Claim to action.Claim.To
//		case once.Refuse, once.Replay: // answer the caller
//		}
//	}
//
// A Coordinator reads no clock and is not safe for concurrent use.
package once

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/times"
)

// Defaults of Config.
const (
	DefaultWindow              = 10 * time.Minute
	DefaultLease               = 9 * time.Second
	DefaultMaxListLag          = 30 * time.Second
	DefaultMaxSkew             = 2 * time.Second
	DefaultQueryTimeout        = time.Second
	DefaultMaxRecords          = 20000
	DefaultMaxAnswerBytes      = 4 << 10
	DefaultMaxTotalAnswerBytes = 8 << 20
)

// Config holds the settings of a Coordinator. The durations must be the same at all
// daemons of a service. Zero durations and bounds take the defaults.
type Config struct {
	// Self is the current incarnation of this daemon.
	Self Incarnation
	// Started is when Self started, with a monotonic clock reading.
	Started time.Time
	// Window is how long a key is valid; a caller must not send it later.
	Window time.Duration
	// Lease is how long a home may let keys run after it sent the last
	// heartbeat that a majority received. Heartbeats are sent at least three
	// times per Lease.
	Lease time.Duration
	// MaxListLag bounds how far a read of the platform's list lags behind the
	// actual state. A fleet in which every daemon is new waits this long before
	// it trusts the list.
	MaxListLag time.Duration
	// MaxSkew bounds the difference between any two wall clocks, including
	// those of the callers that create timed keys.
	MaxSkew time.Duration
	// QueryTimeout bounds the wait for replies to claims.
	QueryTimeout time.Duration
	// MaxRecords bounds the number of key records.
	MaxRecords int
	// MaxAnswerBytes bounds the body of one stored answer,
	// MaxTotalAnswerBytes the bodies of all of them.
	MaxAnswerBytes      int
	MaxTotalAnswerBytes int
	// Rand returns random numbers for the nonces of issued keys.
	Rand func() uint64
}

func (c Config) withDefaults() Config {
	setDefaultDuration(&c.Window, DefaultWindow)
	setDefaultDuration(&c.Lease, DefaultLease)
	setDefaultDuration(&c.MaxListLag, DefaultMaxListLag)
	setDefaultDuration(&c.MaxSkew, DefaultMaxSkew)
	setDefaultDuration(&c.QueryTimeout, DefaultQueryTimeout)
	setDefaultInt(&c.MaxRecords, DefaultMaxRecords)
	setDefaultInt(&c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefaultInt(&c.MaxTotalAnswerBytes, DefaultMaxTotalAnswerBytes)
	return c
}

func setDefaultDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func setDefaultInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}

// silenceLimit is how long an incarnation may be silent before it counts as
// stopped. It exceeds any lease that the incarnation may still hold.
func (c Config) silenceLimit() time.Duration { return 3 * c.Lease }

// retention is how long a record is kept after it was created or last granted.
func (c Config) retention() time.Duration { return c.Window + 2*c.Lease + c.QueryTimeout + c.MaxSkew }

// ActionKind is the kind of an Action.
type ActionKind string

// The kinds of actions.
const (
	// Run sends the request to the local upstream or to a sibling's, unless
	// Until has passed. Either way the outcome is reported with Finish.
	Run ActionKind = "run"
	// Refuse answers the caller with Outcome and Reason.
	Refuse ActionKind = "refuse"
	// Replay answers the caller with the StoredAnswer of the one run.
	Replay ActionKind = "replay"
	// SendClaim sends Claim to the home named in it.
	SendClaim ActionKind = "ask"
)

// Action is a step that the daemon has to carry out.
type Action struct {
	Kind   ActionKind
	CallID string
	Key    string
	// Until is the time before which a Run must reach the upstream.
	Until   time.Time
	Outcome call.Outcome
	Reason  call.Reason
	Answer  StoredAnswer
	Claim   Claim
}

// Coordinator is the coordinator for the keys whose home is this daemon. See the
// package documentation.
type Coordinator struct {
	config      Config
	records     records
	peers       peers
	lastAttempt uint64
	timeouts    []timeout
	sweptAt     time.Time
	leaving     bool
	superseded  bool
}

// New returns a Coordinator without peers or records.
func New(config Config) *Coordinator {
	config = config.withDefaults()
	return &Coordinator{
		config: config,
		records: records{
			byKey:             make(map[string]*record),
			maxRecords:        config.MaxRecords,
			maxBodyBytes:      config.MaxAnswerBytes,
			maxTotalBodyBytes: config.MaxTotalAnswerBytes,
		},
		peers: newPeers(),
	}
}

// IssueKey returns a key that only this incarnation may run, valid for
// Config.Window. It returns false once the daemon is leaving or superseded.
func (c *Coordinator) IssueKey(now time.Time) (string, bool) {
	if c.leaving || c.superseded {
		return "", false
	}
	expiry := now.Sub(c.config.Started) + c.config.Window
	return formatIssued(c.config.Self, expiry, c.config.Rand()), true
}

// Begin handles a keyed request: it decides on the request or queries other
// homes first. HandleReply and Tick may return further actions for the same call.
func (c *Coordinator) Begin(req call.Request, now time.Time) []Action {
	key, ok := ParseKey(req.Key)
	if !ok {
		return refuse(req, call.NotRun, call.BadRequest)
	}
	if r := c.records.get(req.Key, now); r != nil && (r.state != idle || r.fingerprint != req.Fingerprint) {
		return answerFromRecord(r, req)
	}
	if key.Kind == Issued {
		return c.beginIssued(key, req, now)
	}
	return c.beginCallerKey(key, req, now)
}

// answerFromRecord answers a request whose key has a record here.
func answerFromRecord(r *record, req call.Request) []Action {
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

// Finish records the end of an allowed run: Run with the answer, NotRun if it is
// proved that no upstream ran the request and none will, Unknown otherwise. A
// later Finish may correct an Unknown. Finish returns the outcome to report to
// the caller: Unknown in place of NotRun if another home may have run the key
// meanwhile.
func (c *Coordinator) Finish(key string, outcome call.Outcome, answer StoredAnswer, now time.Time) call.Outcome {
	r, ok := c.records.byKey[key]
	if !ok || !r.awaitsOutcome() {
		return call.Unknown
	}
	r.expiry = times.Later(r.expiry, c.expiry(key, now))
	switch outcome {
	case call.NotRun:
		r.state, r.attempt, r.answer = idle, nil, StoredAnswer{}
		if !c.isSoleRunner(r, now) {
			return call.Unknown
		}
	case call.Run:
		answer.Outcome = call.Run
		c.records.storeAnswer(r, answer)
	default:
		c.records.storeAnswer(r, unknownAnswer)
	}
	return outcome
}

// isSoleRunner reports whether no other home can have run a key since this
// daemon allowed it: while this daemon holds the lease, no home treats it as
// stopped.
func (c *Coordinator) isSoleRunner(r *record, now time.Time) bool {
	if key, _ := ParseKey(r.key); key.Kind == Issued {
		return true
	}
	return c.holdsLease(now) && !c.peers.leaseSince.After(r.allowedAt)
}

// awaitsOutcome reports whether the outcome of a run may still be reported.
func (r *record) awaitsOutcome() bool {
	return r.state == running || r.state == ended && r.answer.Outcome == call.Unknown
}

// Leave stops issuing keys and makes Begin refuse new runs.
func (c *Coordinator) Leave() { c.leaving = true }

// Tick abandons attempts whose replies are overdue and removes expired records
// and peers. It must be called several times per Config.QueryTimeout.
func (c *Coordinator) Tick(now time.Time) []Action {
	var actions []Action
	for len(c.timeouts) > 0 && !now.Before(c.timeouts[0].due) {
		oldest := c.timeouts[0]
		c.timeouts = c.timeouts[1:]
		if r := c.records.byKey[oldest.key]; r != nil && r.state == querying && r.attempt.number == oldest.attempt {
			actions = append(actions, c.abandon(r, call.KeyHomeGone)...)
		}
	}
	if now.Sub(c.sweptAt) >= c.config.Lease {
		c.sweptAt = now
		c.records.sweep(now)
		c.updateOutsideGroup(now)
		c.removeOldPeers(now)
		c.renewLease(now)
	}
	return actions
}

// Len returns the number of key records.
func (c *Coordinator) Len() int { return len(c.records.byKey) }

// timeout is when an attempt is abandoned. All attempts wait equally long, so
// Coordinator.timeouts is in order of due.
type timeout struct {
	due     time.Time
	key     string
	attempt uint64
}

func refuse(req call.Request, outcome call.Outcome, reason call.Reason) []Action {
	return []Action{{Kind: Refuse, CallID: req.ID, Key: req.Key, Outcome: outcome, Reason: reason}}
}
