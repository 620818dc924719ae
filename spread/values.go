package spread

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// assumedFallbackReaders is the number of daemons assumed to start fallback
// reads before the report that the platform answers has reached all others.
const assumedFallbackReaders = 16

// requestValues requests the wanted values at this daemon's share of the read
// rate. A value that has arrived from another daemon meanwhile is not read.
func (s *State) requestValues(actions []Action, now time.Time) []Action {
	r := &s.reading
	s.requeueOverdueValues(now)
	for len(r.queue) > 0 && len(r.inFlight) < maxValuesInFlight {
		key := r.queue[0]
		if s.alreadyRead(KeyVersion{key, r.wanted[key]}) {
			r.queue = r.queue[1:]
			delete(r.wanted, key)
			continue
		}
		if now.Before(r.nextValueAt) {
			break
		}
		r.queue = r.queue[1:]
		r.inFlight[key] = now.Add(readTimeout)
		r.nextValueAt = now.Add(s.valueInterval(now))
		actions = append(actions, Action{Kind: ReadPlatform, Read: Read{Kind: ReadValue, Key: key}})
	}
	return actions
}

// valueInterval returns a random interval between two reads of values, such that
// on average all reading daemons together use a quarter of
// Config.ReadsPerSecond.
func (s *State) valueInterval(now time.Time) time.Duration {
	readers := s.config.Readers()
	if !s.config.IsReader() {
		readers = assumedFallbackReaders
		if !s.connected(now) {
			readers = s.config.Live()
		}
	}
	average := seconds(float64(max(readers, 1)) / (0.25 * float64(s.config.ReadsPerSecond)))
	return average/2 + s.jitter(average)
}

func (s *State) requeueOverdueValues(now time.Time) {
	var overdue []string
	for key, due := range s.reading.inFlight {
		if !now.Before(due) {
			overdue = append(overdue, key)
		}
	}
	slices.Sort(overdue)
	for _, key := range overdue {
		s.requeueValue(key)
	}
}

func (s *State) requeueValue(key string) {
	r := &s.reading
	if _, ok := r.inFlight[key]; ok {
		delete(r.inFlight, key)
		r.queue = append(r.queue, key)
	}
}

// ValueRead handles a value read from the platform and the platform's version of
// it. A refused value is distributed under RefusedPrefix.
func (s *State) ValueRead(key string, version uint64, body []byte, now time.Time) []Action {
	s.notePlatformAnswer(now, now)
	r := &s.reading
	delete(r.inFlight, key)
	actions := s.accept(nil, s.documentItem(key, version, body), now, true)
	if r.wanted[key] > version {
		r.queue = append(r.queue, key)
		r.nextValueAt = now.Add(s.valueInterval(now) + backoffMin + s.jitter(backoffMin))
	} else {
		delete(r.wanted, key)
	}
	return append(actions, s.Tick(now)...)
}

func (s *State) documentItem(key string, version uint64, body []byte) Item {
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
	if len(body) > MaxBodyBytes {
		item.Body = nil
	}
	return item
}

// ReadFailed handles a read of the platform that failed.
func (s *State) ReadFailed(read Read, now time.Time) []Action {
	r := &s.reading
	switch read.Kind {
	case ReadIndex:
		s.fail(&r.index, now)
	case ReadInstances:
		s.fail(&r.instances, now)
	case ReadValue:
		s.requeueValue(read.Key)
		r.nextValueAt = now.Add(s.valueInterval(now) + backoffMin + s.jitter(backoffMin))
	}
	return nil
}
