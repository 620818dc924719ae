package spread

import (
	"slices"
	"time"
)

// ReadKind says what is read from the platform.
type ReadKind string

// The kinds of Read.
const (
	ReadIndex     ReadKind = "index"
	ReadValue     ReadKind = "value"
	ReadInstances ReadKind = "instances"
)

// Read is one read of the platform. It must be answered by one call of Index,
// Value, Instances or Failed.
type Read struct {
	Kind ReadKind
	// Key names the value.
	Key string
	// After and Wait make a read of the index or of the instances a watch.
	After uint64
	Wait  time.Duration
}

// KeyVersion is one line of the platform's index.
type KeyVersion struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

const (
	// pollGap is the least pause between two watches of one kind.
	pollGap = 200 * time.Millisecond
	// backoffMin and backoffMax bound the pause after a failed read.
	backoffMin = 500 * time.Millisecond
	backoffMax = 4 * time.Second
	// readTimeout is when a read that was not answered is taken for failed.
	readTimeout = 10 * time.Second
	// bareWait is how long a fresh reader leaves documents to other daemons.
	bareWait = 5 * time.Second
	// volunteerMin is the least pause between two reads of a daemon that is no
	// reader.
	volunteerMin = 2 * time.Second
	// behindLimit is how long the platform may be behind what was read before
	// the whole index is read again.
	behindLimit = 30 * time.Second
	// maxValuesInFlight bounds the values read at the same time.
	maxValuesInFlight = 4
)

// watch is the reading of the index or of the instances.
type watch struct {
	after    uint64
	inFlight bool
	// due is when to read next, or when a read in flight is overdue.
	due     time.Time
	backoff time.Duration
}

// reading is what a daemon knows and wants of the platform.
type reading struct {
	// contact is the last answer of the platform that any daemon is known to
	// have had; stale tells that it is too long ago.
	contact time.Time
	stale   bool
	// listed is true once this daemon has read the list itself.
	listed bool

	index     watch
	instances watch

	// known holds the platform's version of each key that was read here or at
	// another daemon.
	known map[string]uint64
	// behind is when the platform's index was first seen to be older than what
	// was read before, or zero.
	behind time.Time

	// wanted holds the platform's version to read of each key, queue their
	// order.
	wanted   map[string]uint64
	queue    []string
	inFlight map[string]time.Time
	valueAt  time.Time

	// volunteerAt is when this daemon, though no reader, reads once.
	volunteerAt time.Time
}

// startReading sets when a fresh daemon reads the list for the first time. It
// cannot know the size of the fleet yet, and all of it may be starting.
func (s *State) startReading(now time.Time) {
	s.reading = reading{
		known:    map[string]uint64{},
		wanted:   map[string]uint64{},
		inFlight: map[string]time.Time{},
	}
	s.reading.volunteerAt = now.Add(s.jitter(s.startWindow()))
	s.reading.instances.due = now
}

func (s *State) rereadAfterPause(now time.Time) {
	r := &s.reading
	r.index.inFlight, r.instances.inFlight = false, false
	r.index.due = now.Add(s.jitter(time.Second))
	r.instances.due = now.Add(s.jitter(time.Second))
	clear(r.inFlight)
	r.volunteerAt = time.Time{}
	if !s.listed() {
		// It knows nobody to hear from, so it reads as a fresh daemon does.
		r.volunteerAt = now.Add(s.jitter(s.startWindow()))
	}
}

// listed reports whether other instances can be known, from the platform or
// from a daemon.
func (s *State) listed() bool { return s.reading.listed || s.config.Peers() > 0 }

// readDue returns when read has something to do next.
func (s *State) readDue() time.Time {
	r := &s.reading
	due := r.volunteerAt
	if due.IsZero() {
		due = s.compareAt
	}
	if s.config.Reader() && s.listed() {
		due = earlier(due, earlier(r.index.due, r.instances.due))
	}
	if len(r.queue) > 0 && len(r.inFlight) < maxValuesInFlight {
		due = earlier(due, r.valueAt)
	}
	return due
}

// read asks for the reads of the platform that are due.
func (s *State) read(actions []Action, now time.Time) []Action {
	r := &s.reading
	if s.listed() && s.config.Reader() {
		r.volunteerAt = time.Time{}
		actions = s.watch(actions, &r.index, ReadIndex, s.config.WatchWait, now)
		actions = s.watch(actions, &r.instances, ReadInstances, s.config.WatchWait, now)
	} else {
		actions = s.volunteer(actions, now)
	}
	return s.readValues(actions, now)
}

func (s *State) watch(actions []Action, w *watch, kind ReadKind, wait time.Duration, now time.Time) []Action {
	if now.Before(w.due) {
		return actions
	}
	if w.after == 0 {
		wait = 0
	}
	w.inFlight = true
	w.due = now.Add(wait + readTimeout)
	return append(actions, Action{Kind: ReadPlatform, Read: Read{Kind: kind, After: w.after, Wait: wait}})
}

// succeed ends a watch that was answered.
func (w *watch) succeed(version uint64, now time.Time) {
	w.inFlight = false
	w.backoff = 0
	w.after = max(w.after, version)
	w.due = now.Add(pollGap)
}

func (s *State) fail(w *watch, now time.Time) {
	w.inFlight = false
	w.backoff = min(max(2*w.backoff, backoffMin), backoffMax)
	w.due = now.Add(w.backoff/2 + s.jitter(w.backoff))
}

// Index takes in the platform's index of keys changed.
func (s *State) Index(version uint64, keys []KeyVersion, now time.Time) []Action {
	s.touch(now, now)
	r := &s.reading
	s.noteIndex(version, now)
	r.index.succeed(version, now)
	for _, key := range keys {
		if s.holds(key) || r.wanted[key.Key] >= key.Version {
			continue
		}
		if _, ok := r.wanted[key.Key]; !ok {
			r.queue = slices.Insert(r.queue, s.placeInQueue(key.Key), key.Key)
		}
		r.wanted[key.Key] = key.Version
	}
	return s.Tick(now)
}

// placeInQueue is random, so that readers begin with different keys.
func (s *State) placeInQueue(key string) int {
	if key == s.config.First || len(s.reading.queue) == 0 {
		return 0
	}
	return 1 + int(s.config.Rand()%uint64(len(s.reading.queue)))
}

func (s *State) holds(key KeyVersion) bool {
	return s.reading.known[key.Key] >= key.Version
}

// noteIndex begins the reading anew once the platform has been behind for so
// long that it may have been restored from a copy. Nothing goes back by that,
// as documents are ordered by the operators' own revisions.
func (s *State) noteIndex(version uint64, now time.Time) {
	r := &s.reading
	if version >= r.index.after {
		r.behind = time.Time{}
		return
	}
	if r.behind.IsZero() {
		r.behind = now
	}
	if now.Sub(r.behind) >= behindLimit {
		r.behind, r.index.after = time.Time{}, 0
		clear(r.known)
	}
}

// Instances notes the version of the platform's list that was read. The list
// itself is membership's and must have been merged before, with its changes
// handed to Put: whether there is anybody to compare with hangs on it.
func (s *State) Instances(version uint64, now time.Time) []Action {
	s.touch(now, now)
	if !s.reading.listed {
		s.reading.listed = true
		s.reading.index.due = now.Add(bareWait)
	}
	s.reading.instances.succeed(version, now)
	return s.Tick(now)
}
