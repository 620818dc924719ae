package spread

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/times"
)

// ReadKind is the kind of a Read.
type ReadKind string

// The kinds of Read.
const (
	ReadIndex     ReadKind = "index"
	ReadValue     ReadKind = "value"
	ReadInstances ReadKind = "instances"
)

// Read is one read of the platform. The caller must answer it with one call of
// IndexRead, ValueRead, InstancesRead or ReadFailed.
type Read struct {
	Kind ReadKind
	// Key is the key of the value to read.
	Key string
	// After and Wait turn a read of the index or of the instances into a watch:
	// it waits up to Wait for a version greater than After.
	After uint64
	Wait  time.Duration
}

// KeyVersion is one entry of the platform's index.
type KeyVersion struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

const (
	// minWatchInterval is the minimum pause between two watches of one kind.
	minWatchInterval = 200 * time.Millisecond
	// backoffMin and backoffMax bound the pause after a failed read.
	backoffMin = 500 * time.Millisecond
	backoffMax = 4 * time.Second
	// readTimeout is the time after which an unanswered read counts as failed.
	readTimeout = 10 * time.Second
	// firstIndexDelay is how long a new reader waits for documents from other
	// daemons before it reads the index.
	firstIndexDelay = 5 * time.Second
	// minFallbackInterval is the minimum pause between two reads of a daemon
	// that is not a reader.
	minFallbackInterval = 2 * time.Second
	// behindLimit is how long the platform's index may be older than the newest
	// one read before the whole index is read again.
	behindLimit = 30 * time.Second
	// maxValuesInFlight bounds the concurrent reads of values.
	maxValuesInFlight = 4
)

// watch is the state of the reads of the index or of the instances.
type watch struct {
	after    uint64
	inFlight bool
	// due is when to read next, or when the read in flight times out.
	due     time.Time
	backoff time.Duration
}

// reading is the state of a daemon's reads of the platform.
type reading struct {
	// lastAnswer is the time of the platform's last known answer to any daemon;
	// stale is true if that was too long ago.
	lastAnswer time.Time
	stale      bool
	// listRead is true once this daemon has read the list itself.
	listRead bool

	index     watch
	instances watch

	// readVersions holds the platform's version of each key that this daemon or
	// another one has read.
	readVersions map[string]uint64
	// behindSince is when the platform's index was first seen to be older than
	// the newest one read, or zero.
	behindSince time.Time

	// wanted holds the platform's version to read of each key; queue holds the
	// keys in the order in which to read them; inFlight holds the time at which
	// each started read times out.
	wanted      map[string]uint64
	queue       []string
	inFlight    map[string]time.Time
	nextValueAt time.Time

	// fallbackAt is when this daemon reads once without being a reader, or zero.
	fallbackAt time.Time
}

// startReading schedules a new daemon's first read of the list. The size of the
// fleet is not known yet, and all daemons may be starting at once.
func (s *State) startReading(now time.Time) {
	s.reading = reading{
		readVersions: map[string]uint64{},
		wanted:       map[string]uint64{},
		inFlight:     map[string]time.Time{},
	}
	s.reading.fallbackAt = now.Add(s.jitter(s.firstReadWindow()))
	s.reading.instances.due = now
}

func (s *State) rereadAfterPause(now time.Time) {
	r := &s.reading
	r.index.inFlight, r.instances.inFlight = false, false
	r.index.due = now.Add(s.jitter(time.Second))
	r.instances.due = now.Add(s.jitter(time.Second))
	clear(r.inFlight)
	r.fallbackAt = time.Time{}
	if !s.fleetKnown() {
		// Without known peers, it has to read as a new daemon does.
		r.fallbackAt = now.Add(s.jitter(s.firstReadWindow()))
	}
}

// fleetKnown reports whether the list was read from the platform or another
// instance is known from a daemon.
func (s *State) fleetKnown() bool { return s.reading.listRead || s.config.Peers() > 0 }

// readDue returns when the next call of requestReads is due.
func (s *State) readDue() time.Time {
	r := &s.reading
	due := r.fallbackAt
	if due.IsZero() {
		due = s.compareAt
	}
	if s.config.IsReader() && s.fleetKnown() {
		due = times.Earlier(due, times.Earlier(r.index.due, r.instances.due))
	}
	if len(r.queue) > 0 && len(r.inFlight) < maxValuesInFlight {
		due = times.Earlier(due, r.nextValueAt)
	}
	return due
}

// requestReads requests the reads of the platform that are due.
func (s *State) requestReads(actions []Action, now time.Time) []Action {
	r := &s.reading
	if s.fleetKnown() && s.config.IsReader() {
		r.fallbackAt = time.Time{}
		actions = s.startWatch(actions, &r.index, ReadIndex, s.config.WatchWait, now)
		actions = s.startWatch(actions, &r.instances, ReadInstances, s.config.WatchWait, now)
	} else {
		actions = s.fallbackRead(actions, now)
	}
	return s.requestValues(actions, now)
}

func (s *State) startWatch(actions []Action, w *watch, kind ReadKind, wait time.Duration, now time.Time) []Action {
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

// succeed ends a read that was answered and schedules the next one.
func (w *watch) succeed(version uint64, now time.Time) {
	w.inFlight = false
	w.backoff = 0
	w.after = max(w.after, version)
	w.due = now.Add(minWatchInterval)
}

func (s *State) fail(w *watch, now time.Time) {
	w.inFlight = false
	w.backoff = min(max(2*w.backoff, backoffMin), backoffMax)
	w.due = now.Add(w.backoff/2 + s.jitter(w.backoff))
}

// IndexRead handles the platform's index of changed keys.
func (s *State) IndexRead(version uint64, keys []KeyVersion, now time.Time) []Action {
	s.notePlatformAnswer(now, now)
	r := &s.reading
	s.noteIndexVersion(version, now)
	r.index.succeed(version, now)
	for _, key := range keys {
		if s.alreadyRead(key) || r.wanted[key.Key] >= key.Version {
			continue
		}
		if _, ok := r.wanted[key.Key]; !ok {
			r.queue = slices.Insert(r.queue, s.queuePosition(key.Key), key.Key)
		}
		r.wanted[key.Key] = key.Version
	}
	return s.Tick(now)
}

// queuePosition returns the position at which to insert a key into the queue. It
// is random, so that readers begin with different keys, except that
// Config.PriorityKey comes first.
func (s *State) queuePosition(key string) int {
	if key == s.config.PriorityKey || len(s.reading.queue) == 0 {
		return 0
	}
	return 1 + int(s.config.Rand()%uint64(len(s.reading.queue)))
}

func (s *State) alreadyRead(key KeyVersion) bool {
	return s.reading.readVersions[key.Key] >= key.Version
}

// noteIndexVersion restarts reading from the beginning once the platform's index
// has been older than the newest one read for behindLimit: it may have been
// restored from a copy. No document regresses, because documents are ordered by
// the operators' own revisions.
func (s *State) noteIndexVersion(version uint64, now time.Time) {
	r := &s.reading
	if version >= r.index.after {
		r.behindSince = time.Time{}
		return
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	if now.Sub(r.behindSince) >= behindLimit {
		r.behindSince, r.index.after = time.Time{}, 0
		clear(r.readVersions)
	}
}

// InstancesRead handles the version of a list read from the platform. The caller
// must have merged the list into its membership.View and passed the changes to
// Put before, because the list determines whether there are peers to compare
// with.
func (s *State) InstancesRead(version uint64, now time.Time) []Action {
	s.notePlatformAnswer(now, now)
	if !s.reading.listRead {
		s.reading.listRead = true
		s.reading.index.due = now.Add(firstIndexDelay)
	}
	s.reading.instances.succeed(version, now)
	return s.Tick(now)
}
