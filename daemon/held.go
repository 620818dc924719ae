package daemon

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"pomelodoor.example/pomelodoor/follow"
	"pomelodoor.example/pomelodoor/node"
)

// heldCopy is the copy of the store, and what passes its changes on to the node.
// The call to the store, and neighbours that ask or lend, come to it by turns.
type heldCopy struct {
	d *Daemon
	// known is the revision of the copy, for readers that must not wait.
	known atomic.Uint64

	mu        sync.Mutex
	f         *follow.Follower
	documents *documentFeed
	upstreams *upstreamFeed
	// answeredAt is when the store last answered, here or at the daemon that
	// lent the copy.
	answeredAt time.Time
	// complete is whether the node knows that it has all documents.
	complete bool
}

func newHeldCopy(d *Daemon) *heldCopy {
	return &heldCopy{
		d:         d,
		f:         follow.New(follow.Config{Rand: rand.Uint64, Gather: d.settings.gather()}),
		documents: &documentFeed{d: d, seen: map[string]uint64{}},
		upstreams: &upstreamFeed{d: d, ports: d.ports(), read: map[string]readUpstream{}},
	}
}

// take lets the copy take something in, and passes on what that has changed. It
// returns what change reports.
func (h *heldCopy) take(change func(*follow.Follower) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := change(h.f)
	h.known.Store(h.f.Revision())
	if changed {
		h.documents.feed(h.f)
		h.upstreams.feed(h.f, time.Now())
	}
	if !h.complete && h.f.Certain(h.d.others()) {
		h.complete = true
		h.d.update(node.DocumentsComplete{})
	}
	return changed
}

// answered lets the copy take in an answer of the store.
func (h *heldCopy) answered(change func(f *follow.Follower, now time.Time) bool) {
	now := time.Now()
	h.take(func(f *follow.Follower) bool {
		h.answeredAt = now
		return change(f, now)
	})
}

// lent lets the copy take in that of a neighbour, which is age old. It returns the
// revision held before, and whether the copy was taken.
func (h *heldCopy) lent(c follow.Copy, from string, age time.Duration) (before uint64, taken bool) {
	now := time.Now()
	taken = h.take(func(f *follow.Follower) bool {
		before = f.Revision()
		if !f.Lent(c, from) {
			return false
		}
		h.answeredAt = now.Add(-age)
		return true
	})
	return before, taken
}

// heard takes in the revision that another daemon holds, and reports whether the
// watch under way is to be given up.
func (h *heldCopy) heard(revision uint64, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.f.Heard(revision, now)
}

// lend returns the copy and its age, without items if it is not newer than a
// revision.
func (h *heldCopy) lend(than uint64) (follow.Copy, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.f.Lend(than, h.d.others()), time.Since(h.answeredAt)
}

func (h *heldCopy) hurry() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.f.Hurry()
}

// next returns the next call to make, and whether the last one failed.
func (h *heldCopy) next(now time.Time) (action follow.Action, troubled bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.f.Next(now), h.f.Troubled()
}

// ask reports whether a neighbour is to be asked now, and what is held.
func (h *heldCopy) ask(now time.Time) (revision uint64, due bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.f.Revision(), h.f.Ask(now)
}

func (h *heldCopy) troubled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.f.Troubled()
}
