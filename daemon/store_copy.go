package daemon

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"pomelodoor.example/pomelodoor/follow"
	"pomelodoor.example/pomelodoor/node"
)

// storeCopy is the daemon's copy of the store together with the feeds that send
// its changes to the node. The mutex serializes answers of the store with queries
// and copies of neighbours.
type storeCopy struct {
	d *Daemon
	// held is the version of the copy, for readers that must not wait for the mutex.
	held atomic.Pointer[follow.Version]

	mu        sync.Mutex
	follower  *follow.Follower
	documents *documentFeed
	evacuated *evacuationFeed
	upstreams *upstreamFeed
	// source is "store", or the address of the reader that keeps the copy current.
	source string
	// changes are those that were sent last.
	changes encodedChanges
	// renewed is closed, and replaced, when the store or a reader has answered or
	// has failed to.
	renewed chan struct{}
	// complete is true once the node has been sent DocumentsComplete.
	complete bool
}

func newStoreCopy(d *Daemon) *storeCopy {
	return &storeCopy{
		d:         d,
		renewed:   make(chan struct{}),
		follower:  follow.New(follow.Config{Rand: rand.Uint64, WatchDelay: d.settings.watchDelay(), ApplyWithin: d.settings.bounds.ApplyTimeout}),
		evacuated: &evacuationFeed{d: d, reported: map[string]follow.Version{}},
		documents: &documentFeed{d: d, seen: map[string]follow.Version{}},
		upstreams: &upstreamFeed{d: d, ports: d.ports(), decoded: map[string]decodedUpstream{}},
	}
}

// apply applies a change to the copy and sends the node what has changed. It
// returns what change reports.
func (s *storeCopy) apply(change func(*follow.Follower) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := change(s.follower)
	s.noteVersion(s.follower.Version())
	if changed {
		// A request needs both routes and upstreams, so none is sent before the node
		// knows what is evacuated.
		s.evacuated.feed(s.follower)
		s.documents.feed(s.follower)
		s.upstreams.feed(s.follower, time.Now())
	}
	if !s.complete && s.follower.Certain(s.d.otherDaemons()) {
		s.complete = true
		s.d.update(node.DocumentsComplete{})
	}
	return changed
}

// version returns the version of the copy.
func (s *storeCopy) version() follow.Version {
	if held := s.held.Load(); held != nil {
		return *held
	}
	return follow.Version{}
}

// noteVersion records the version of the copy, and logs that a new era has begun.
func (s *storeCopy) noteVersion(held follow.Version) {
	before := s.version()
	if held == before {
		return
	}
	s.held.Store(&held)
	if held.Era != before.Era && before.Revision > 0 {
		s.d.metrics.storeReturns.Add(1)
		s.d.logFor("store").Warn("The store has returned from an older copy.", "era", held.Era, "eraBefore", before.Era,
			"revision", held.Revision, "revisionBefore", before.Revision)
	}
}

// applyAnswer applies an answer of the store or of a reader, or its failure, and wakes
// the polls that wait for it.
func (s *storeCopy) applyAnswer(change func(f *follow.Follower, now time.Time) bool) {
	now := time.Now()
	s.apply(func(f *follow.Follower) bool { return change(f, now) })
	s.wake()
}

// wake wakes the polls that wait for an answer.
func (s *storeCopy) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.renewed)
	s.renewed = make(chan struct{})
}

// applyCopy applies a neighbour's copy. It returns the version held before and
// whether the copy was applied.
func (s *storeCopy) applyCopy(c follow.Copy, from string) (before follow.Version, applied bool) {
	now := time.Now()
	applied = s.apply(func(f *follow.Follower) bool {
		before = f.Version()
		return f.ApplyCopy(c, from, now)
	})
	if applied {
		s.wake()
	}
	return before, applied
}

// observe records the version that another daemon holds, and reports whether
// the watch in progress must be restarted.
func (s *storeCopy) observe(theirs follow.Version, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Observe(theirs, now)
}

// lend returns the copy. It has no items if it is not newer than a version.
func (s *storeCopy) lend(newerThan requestedVersion) follow.Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Lend(newerThan.in(s.follower.Version().Era), s.d.otherDaemons(), time.Now())
}

// awaitChanges waits until the copy has changed since a version or was confirmed later
// than a time, and returns the state of the copy and the changes. It returns what there
// is when done is closed or the time is up.
func (s *storeCopy) awaitChanges(requested requestedVersion, confirmedAt time.Time, wait time.Duration, done <-chan struct{}) (follow.Copy, encodedChanges) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; waiting; {
		s.mu.Lock()
		after := requested.in(s.follower.Version().Era)
		answerable, renewed := s.follower.PollAnswerable(after, confirmedAt), s.renewed
		s.mu.Unlock()
		if answerable {
			break
		}
		select {
		case <-renewed:
		case <-timer.C:
			waiting = false
		case <-done:
			waiting = false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	after := requested.in(s.follower.Version().Era)
	c := s.follower.Changes(after, maxChangesBytes, time.Now())
	if !requested.hasEra && c.Era > 0 && after.Revision > c.Revision {
		// The daemon of the previous build may hold a revision of an earlier era. It
		// reads the store itself if this copy says nothing about its own.
		c.Age = follow.MaxAge
	}
	if s.changes.after != after || s.changes.held != s.follower.Version() || s.changes.body == nil {
		s.changes = encodeChanges(c, after)
	}
	c.ReadStore = s.changes.tooLong
	return c, s.changes
}

// setReaders sets the daemons that read the store for this one.
func (s *storeCopy) setReaders(readers []string, shared bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follower.SetReaders(readers, shared)
}

// requestRead makes the next action a read of the store that returns at once.
func (s *storeCopy) requestRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follower.RequestRead()
}

// age returns the time since the copy was last confirmed to be current.
func (s *storeCopy) age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Age(now)
}

// status describes the copy for operators.
func (s *storeCopy) status(now time.Time) *node.StoreStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &node.StoreStatus{Era: s.follower.Version().Era, Revision: s.follower.Revision(), AgeMs: s.follower.Age(now).Milliseconds(), Source: s.source}
}

// setSource records where the next answer about the store comes from, and reports
// whether that has changed.
func (s *storeCopy) setSource(source string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.source != source
	s.source = source
	return changed
}

func (s *storeCopy) skipWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follower.SkipDelay()
}

// next returns the next call to make and whether the last one failed.
func (s *storeCopy) next(now time.Time) (action follow.Action, failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Next(now), s.follower.InFault()
}

// queryDue returns the version of the copy and whether a neighbour must be
// queried for its copy now.
func (s *storeCopy) queryDue(now time.Time) (held follow.Version, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Version(), s.follower.QueryDue(now)
}

// retained returns the number of keys that are kept although the store no longer has them.
func (s *storeCopy) retained() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Retained()
}

func (s *storeCopy) failing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.InFault()
}
