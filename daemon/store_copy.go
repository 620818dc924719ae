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
	// revision is the revision of the copy, for readers that must not wait for
	// the mutex.
	revision atomic.Uint64

	mu        sync.Mutex
	follower  *follow.Follower
	documents *documentFeed
	upstreams *upstreamFeed
	// answeredAt is when the store last answered this daemon or the one that lent
	// the copy.
	answeredAt time.Time
	// complete is true once the node has been sent DocumentsComplete.
	complete bool
}

func newStoreCopy(d *Daemon) *storeCopy {
	return &storeCopy{
		d:         d,
		follower:  follow.New(follow.Config{Rand: rand.Uint64, WatchDelay: d.settings.watchDelay()}),
		documents: &documentFeed{d: d, seen: map[string]uint64{}},
		upstreams: &upstreamFeed{d: d, ports: d.ports(), decoded: map[string]decodedUpstream{}},
	}
}

// apply applies a change to the copy and sends the node what has changed. It
// returns what change reports.
func (s *storeCopy) apply(change func(*follow.Follower) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := change(s.follower)
	s.revision.Store(s.follower.Revision())
	if changed {
		s.documents.feed(s.follower)
		s.upstreams.feed(s.follower, time.Now())
	}
	if !s.complete && s.follower.Certain(s.d.otherDaemons()) {
		s.complete = true
		s.d.update(node.DocumentsComplete{})
	}
	return changed
}

// applyAnswer applies an answer of the store.
func (s *storeCopy) applyAnswer(change func(f *follow.Follower, now time.Time) bool) {
	now := time.Now()
	s.apply(func(f *follow.Follower) bool {
		s.answeredAt = now
		return change(f, now)
	})
}

// applyCopy applies a neighbour's copy; age is how long ago the store last
// answered that neighbour. It returns the revision held before and whether the
// copy was applied.
func (s *storeCopy) applyCopy(c follow.Copy, from string, age time.Duration) (before uint64, applied bool) {
	now := time.Now()
	applied = s.apply(func(f *follow.Follower) bool {
		before = f.Revision()
		if !f.ApplyCopy(c, from) {
			return false
		}
		s.answeredAt = now.Add(-age)
		return true
	})
	return before, applied
}

// observe records the revision that another daemon holds, and reports whether
// the watch in progress must be restarted.
func (s *storeCopy) observe(revision uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.ObserveRevision(revision, now)
}

// lend returns the copy and how long ago the store last answered. The copy has no
// items if it is not newer than a revision.
func (s *storeCopy) lend(newerThan uint64) (follow.Copy, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Lend(newerThan, s.d.otherDaemons()), time.Since(s.answeredAt)
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

// queryDue returns the revision of the copy and whether a neighbour must be
// queried for its copy now.
func (s *storeCopy) queryDue(now time.Time) (revision uint64, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Revision(), s.follower.QueryDue(now)
}

func (s *storeCopy) failing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.InFault()
}
