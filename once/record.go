package once

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// state is where a key stands at one Book.
type state string

const (
	// idle: not run here. Others may hold a grant.
	idle state = "idle"
	// asking: claims are under way; nothing has run.
	asking state = "asking"
	// running: handed to an upstream, end not known yet.
	running state = "running"
	// ended: ran, or may have run; never runs again.
	ended state = "ended"
)

// record is a Book's memory of one key.
type record struct {
	key         string
	fingerprint uint64
	state       state
	expiry      time.Time
	// holders were granted the key by this Book.
	holders []Incarnation
	answer  Answer
	attempt *attempt
	// left is what a retired home told of the key during the attempt.
	left *Answer
	// begun is when the last run was allowed.
	begun time.Time
}

// attempt is one try to get a key granted by all that may have run it.
type attempt struct {
	number uint64
	callID string
	ws     time.Time
	until  time.Time
	asked  map[Incarnation]bool // true once granted
	// vouched are the incarnations that a grant spoke for.
	vouched map[Incarnation]bool
}

func (r *record) addHolder(holder Incarnation) {
	for _, h := range r.holders {
		if h == holder {
			return
		}
	}
	r.holders = append(r.holders, holder)
}

// records is the bounded memory of a Book. Nothing live is ever dropped from
// it to make room.
type records struct {
	byKey      map[string]*record
	bodyBytes  int
	maxRecords int
	maxBody    int
	maxBodies  int
}

func (s *records) get(key string, now time.Time) *record {
	r, ok := s.byKey[key]
	if !ok || s.dead(r, now) {
		return nil
	}
	return r
}

// dead reports whether a record has served its time. One that runs has not.
func (s *records) dead(r *record, now time.Time) bool {
	return r.state != running && r.state != asking && !now.Before(r.expiry)
}

// add makes a record in place of any dead one, or reports false when there is
// no room.
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
		if s.dead(r, now) {
			s.remove(r)
		}
	}
}

// end keeps the answer of a run, its body only within the bounds.
func (s *records) end(r *record, answer Answer) {
	s.bodyBytes -= len(r.answer.Body)
	if len(answer.Body) > s.maxBody || s.bodyBytes+len(answer.Body) > s.maxBodies {
		answer.Body, answer.Whole = nil, false
	}
	s.bodyBytes += len(answer.Body)
	r.state, r.answer, r.attempt = ended, answer, nil
}

// unknownAnswer stands for a run whose end is not known.
var unknownAnswer = Answer{Outcome: call.Unknown}
