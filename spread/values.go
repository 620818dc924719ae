package spread

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// connectedVolunteers is how many daemons may start reading before the news
// that the platform answers has reached all others.
const connectedVolunteers = 16

// readValues asks for wanted values at this daemon's pace. A value that came
// by another daemon meanwhile is not read.
func (s *State) readValues(actions []Action, now time.Time) []Action {
	r := &s.reading
	s.retryOverdue(now)
	for len(r.queue) > 0 && len(r.inFlight) < maxValuesInFlight {
		key := r.queue[0]
		if s.holds(KeyVersion{key, r.wanted[key]}) {
			r.queue = r.queue[1:]
			delete(r.wanted, key)
			continue
		}
		if now.Before(r.valueAt) {
			break
		}
		r.queue = r.queue[1:]
		r.inFlight[key] = now.Add(readTimeout)
		r.valueAt = now.Add(s.valueGap(now))
		actions = append(actions, Action{Kind: ReadPlatform, Read: Read{Kind: ReadValue, Key: key}})
	}
	return actions
}

// valueGap is the pause between two values, so that all daemons that read take
// a quarter of the share together.
func (s *State) valueGap(now time.Time) time.Duration {
	readers := s.config.Readers()
	if !s.config.Reader() {
		readers = connectedVolunteers
		if !s.connected(now) {
			readers = s.config.Live()
		}
	}
	gap := seconds(float64(max(readers, 1)) / (0.25 * float64(s.config.ReadShare)))
	return gap/2 + s.jitter(gap)
}

func (s *State) retryOverdue(now time.Time) {
	var overdue []string
	for key, due := range s.reading.inFlight {
		if !now.Before(due) {
			overdue = append(overdue, key)
		}
	}
	slices.Sort(overdue)
	for _, key := range overdue {
		s.retryValue(key)
	}
}

func (s *State) retryValue(key string) {
	r := &s.reading
	if _, ok := r.inFlight[key]; ok {
		delete(r.inFlight, key)
		r.queue = append(r.queue, key)
	}
}

// Value takes in a value of the platform with the platform's version of it. A
// refused one is passed on under RefusedPrefix.
func (s *State) Value(key string, version uint64, body []byte, now time.Time) []Action {
	s.touch(now, now)
	r := &s.reading
	delete(r.inFlight, key)
	actions := s.take(nil, s.document(key, version, body), now, true)
	if r.wanted[key] > version {
		r.queue = append(r.queue, key)
		r.valueAt = now.Add(s.valueGap(now) + backoffMin + s.jitter(backoffMin))
	} else {
		delete(r.wanted, key)
	}
	return append(actions, s.Tick(now)...)
}

func (s *State) document(key string, version uint64, body []byte) Item {
	item := Item{Key: key, Body: body, Source: version}
	err := item.check()
	if err == nil {
		item.Version, err = s.config.Version(key, body)
	}
	if err == nil {
		return item
	}
	item.Key = RefusedPrefix + key
	item.Version = Version{Major: version, Minor: xxhash.Sum64(body)}
	if len(body) > MaxBody {
		item.Body = nil
	}
	return item
}

// Failed notes that a read was not answered.
func (s *State) Failed(read Read, now time.Time) []Action {
	r := &s.reading
	switch read.Kind {
	case ReadIndex:
		s.fail(&r.index, now)
	case ReadInstances:
		s.fail(&r.instances, now)
	case ReadValue:
		s.retryValue(read.Key)
		r.valueAt = now.Add(s.valueGap(now) + backoffMin + s.jitter(backoffMin))
	}
	return nil
}
