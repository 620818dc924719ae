package once

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// state is the state of a key at this daemon.
type state string

const (
	// idle: not run here; other homes may have been granted the key.
	idle state = "idle"
	// querying: replies to claims are pending; nothing has run.
	querying state = "asking"
	// running: allowed to run; the outcome is not known yet.
	running state = "running"
	// ended: ran or may have run; never runs again.
	ended state = "ended"
)

// record is what is stored about one key.
type record struct {
	key         string
	fingerprint uint64
	state       state
	expiry      time.Time
	// grantees are the homes that were granted the key here.
	grantees []Incarnation
	answer   StoredAnswer
	attempt  *attempt
	// handedAnswer is the answer that a retired home handed over during the
	// attempt.
	handedAnswer *StoredAnswer
	// allowedAt is when the last run was allowed.
	allowedAt time.Time
}

// attempt is one attempt to get a key granted by all homes that may have run it.
type attempt struct {
	number      uint64
	callID      string
	windowStart time.Time
	deadline    time.Time
	queried     map[Incarnation]bool // homes queried; true once they granted
	// attested are the incarnations for which a grant attested.
	attested map[Incarnation]bool
}

func (r *record) addGrantee(grantee Incarnation) {
	for _, g := range r.grantees {
		if g == grantee {
			return
		}
	}
	r.grantees = append(r.grantees, grantee)
}

// records stores a bounded number of records. No live record is ever evicted.
type records struct {
	byKey             map[string]*record
	bodyBytes         int
	maxRecords        int
	maxBodyBytes      int
	maxTotalBodyBytes int
}

func (s *records) get(key string, now time.Time) *record {
	r, ok := s.byKey[key]
	if !ok || s.expired(r, now) {
		return nil
	}
	return r
}

// expired reports whether a record has expired. One whose key is running or
// being queried for has not.
func (s *records) expired(r *record, now time.Time) bool {
	return r.state != running && r.state != querying && !now.Before(r.expiry)
}

// add adds a record, in place of an expired one if there is one. It returns
// false if there is no capacity.
func (s *records) add(key string, fingerprint uint64, expiry time.Time) (*record, bool) {
	if r, ok := s.byKey[key]; ok {
		s.remove(r)
	}
	if len(s.byKey) >= s.maxRecords {
		return nil, false
	}
	r := &record{key: key, fingerprint: fingerprint, state: idle, expiry: expiry}
	s.byKey[key] = r
	return r, true
}

func (s *records) remove(r *record) {
	s.bodyBytes -= len(r.answer.Body)
	delete(s.byKey, r.key)
}

func (s *records) sweep(now time.Time) {
	for _, r := range s.byKey {
		if s.expired(r, now) {
			s.remove(r)
		}
	}
}

// storeAnswer ends a key with the answer of its run. The body is stored only if
// it is within the bounds.
func (s *records) storeAnswer(r *record, answer StoredAnswer) {
	s.bodyBytes -= len(r.answer.Body)
	if len(answer.Body) > s.maxBodyBytes || s.bodyBytes+len(answer.Body) > s.maxTotalBodyBytes {
		answer.Body, answer.BodyComplete = nil, false
	}
	s.bodyBytes += len(answer.Body)
	r.state, r.answer, r.attempt = ended, answer, nil
}

// unknownAnswer is the answer of a run whose outcome is not known.
var unknownAnswer = StoredAnswer{Outcome: call.Unknown}
