package membership

import "time"

const (
	// keepRemoved is how long a removed upstream is remembered. The copy from which a
	// store returns is some seconds old, and the return takes some seconds more.
	keepRemoved = 10 * time.Minute
	// removedSweepInterval is the interval between two sweeps of removed upstreams.
	removedSweepInterval = time.Minute
)

// EraFilter keeps upstreams out of use that were known to be leaving or gone when the store
// returned from an older copy, which still lists them as live. It compares the lists of one
// era with what was known in the era before. The zero value knows nothing. It is not safe
// for concurrent use.
type EraFilter struct {
	era uint64
	// round counts the lists.
	round uint64
	// listed holds the upstreams of the last list, as far as they are used.
	listed map[string]*listedUpstream
	// removed holds those that have been removed from the list in this era.
	removed map[string]removedUpstream
	// held holds what was known when the era began.
	held map[string]*heldUpstream
	// heldBack counts the entries of the last list that are not used as listed.
	heldBack  int
	lastSweep time.Time
}

// listedUpstream is an upstream of the last list.
type listedUpstream struct {
	incarnation uint64
	state       State
	// round is that of the list.
	round uint64
}

// removedUpstream is an upstream that is no longer listed.
type removedUpstream struct {
	incarnation uint64
	// revision is that of the first list without it.
	revision uint64
	at       time.Time
}

// heldUpstream is what was known of an upstream when an era began.
type heldUpstream struct {
	incarnation uint64
	state       State
	// goneBy is the revision by which a gone one had been removed.
	goneBy uint64
	// seen is the revision of its entry in the first list of the era.
	seen   uint64
	seenAt time.Time
}

// HeldBack returns the number of upstreams of the last list that are kept out of use.
func (f *EraFilter) HeldBack() int { return f.heldBack }

// Filter returns the entries of the complete list of a store, at a revision of an era, that
// are not older than what is known. An upstream that was leaving stays so for the rest of
// its incarnation, and one that was gone until its entry has been written again.
func (f *EraFilter) Filter(list []StoreEntry, era, revision uint64, now time.Time) []StoreEntry {
	if f.listed == nil {
		f.listed, f.removed, f.held = map[string]*listedUpstream{}, map[string]removedUpstream{}, map[string]*heldUpstream{}
	}
	if era > f.era {
		f.begin(era, now)
	}
	f.round++
	f.heldBack = 0
	kept := make([]StoreEntry, 0, len(list))
	for _, entry := range list {
		state, use := f.check(entry, now)
		if !use || state != entry.State {
			f.heldBack++
		}
		if use {
			entry.State = state
			kept = append(kept, entry)
			f.note(entry)
		}
	}
	f.noteRemoved(revision, now)
	f.sweep(now)
	return kept
}

// begin records what is known at the beginning of an era.
func (f *EraFilter) begin(era uint64, now time.Time) {
	f.era = era
	for _, h := range f.held {
		h.seen = 0
	}
	for id, u := range f.listed {
		f.held[id] = &heldUpstream{incarnation: u.incarnation, state: u.state, seenAt: now}
	}
	for id, u := range f.removed {
		f.held[id] = &heldUpstream{incarnation: u.incarnation, state: Gone, goneBy: u.revision, seenAt: now}
	}
	clear(f.removed)
}

// check returns the state in which an entry may be used, or false if it may not.
func (f *EraFilter) check(entry StoreEntry, now time.Time) (state State, use bool) {
	h, known := f.held[entry.UpstreamIncarnation]
	if !known {
		return entry.State, true
	}
	h.seenAt = now
	switch {
	case entry.Incarnation < h.incarnation:
		return entry.State, false
	case entry.Incarnation == h.incarnation && h.state == Leaving:
		return Leaving, true
	case entry.Incarnation == h.incarnation && h.state == Gone && !h.writtenAgain(entry.Revision):
		return entry.State, false
	}
	delete(f.held, entry.UpstreamIncarnation)
	return entry.State, true
}

// writtenAgain reports whether an entry of a revision has been written in this era: that
// of the older copy comes before the removal, and does not change.
func (h *heldUpstream) writtenAgain(revision uint64) bool {
	if h.seen == 0 {
		h.seen = revision
	}
	return revision >= h.goneBy || revision != h.seen
}

// note records an entry that is used.
func (f *EraFilter) note(entry StoreEntry) {
	delete(f.removed, entry.UpstreamIncarnation)
	u := f.listed[entry.UpstreamIncarnation]
	if u == nil {
		u = &listedUpstream{}
		f.listed[entry.UpstreamIncarnation] = u
	}
	u.incarnation, u.state, u.round = entry.Incarnation, entry.State, f.round
}

// noteRemoved records the upstreams that the list of a revision no longer has.
func (f *EraFilter) noteRemoved(revision uint64, now time.Time) {
	for id, u := range f.listed {
		if u.round != f.round {
			delete(f.listed, id)
			f.removed[id] = removedUpstream{incarnation: u.incarnation, revision: revision, at: now}
		}
	}
}

// sweep forgets upstreams that have not been listed for keepRemoved.
func (f *EraFilter) sweep(now time.Time) {
	if now.Sub(f.lastSweep) < removedSweepInterval {
		return
	}
	f.lastSweep = now
	for id, u := range f.removed {
		if now.Sub(u.at) > keepRemoved {
			delete(f.removed, id)
		}
	}
	for id, h := range f.held {
		if now.Sub(h.seenAt) > keepRemoved {
			delete(f.held, id)
		}
	}
}
