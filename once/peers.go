package once

import "time"

// peer is what a Book knows of another incarnation of the service.
type peer struct {
	incarnation Incarnation
	// ran is when this Book last let a key run without minding the peer.
	ran time.Time
	// heard is the last direct word; seen the last word to anyone.
	heard time.Time
	seen  time.Time
	// sentMs is the newest heartbeat received, to be echoed.
	sentMs int64
	// informed is true if the peer is, and horizon is its horizon.
	informed bool
	horizon  time.Time
	// echo is when this Book sent the newest heartbeat that the peer
	// confirmed; zero if it never did.
	echo time.Time
	// minded is the time since which the peer lets no key run without asking
	// this Book first, if this Book ranks higher; valid when echo is set.
	minded time.Time
	// hears is when the peer last heard each other incarnation directly.
	hears map[Incarnation]time.Time
	// holds is whose memory the peer has taken over.
	holds map[Incarnation]bool
	// removed is true while the peer has no vote, because the list has dropped
	// it and a majority has not heard it.
	removed bool
	// retired is true once the peer stopped for good, by stop at the latest.
	retired bool
	stop    time.Time
	// handedOver is true when the peer left its whole memory here.
	handedOver bool
}

// peers is the group of homes as one Book knows it.
type peers struct {
	byIncarnation map[Incarnation]*peer
	// listed holds the instances that the newest view has as live.
	listed map[string]bool
	viewed bool
	// selfListed is true if that view has this Book's instance as live.
	selfListed bool
	// lastListed is when it last was so; outside is true if that is so long ago,
	// or never, that this Book can be no home of a live key.
	lastListed time.Time
	outside    bool
	// informed is true once every incarnation is known that may have let a key
	// run at horizon or later.
	informed bool
	horizon  time.Time
	// lastRun is when a key of a caller's own last ran by this Book's word.
	lastRun time.Time
	// The lease is held from leaseSince without a break until leaseEnd.
	leaseSince time.Time
	leaseEnd   time.Time
}

func newPeers() peers {
	return peers{byIncarnation: make(map[Incarnation]*peer), listed: make(map[string]bool)}
}

// SetView takes in the service's Group as the daemon's membership has it.
func (b *Book) SetView(group []Member, now time.Time) {
	b.peers.viewed, b.peers.selfListed = true, false
	clear(b.peers.listed)
	for _, m := range group {
		if m.ID == b.config.Self.ID {
			b.peers.selfListed = true
		} else {
			b.peers.listed[m.ID] = true
		}
	}
	b.placeSelf(now)
	b.renewLease(now)
}

// placeSelf finds out whether this Book belongs to the group. One that has
// fallen out of it still answers for the keys that it decided on.
func (b *Book) placeSelf(now time.Time) {
	if b.peers.selfListed {
		b.peers.lastListed = now
	}
	last := b.peers.lastListed
	b.peers.outside = last.IsZero() || now.Sub(last) > b.config.keep()+b.config.silence()
}

// meet returns the peer for an incarnation, new if need be. What ran before it
// was known ran without minding it.
func (b *Book) meet(inc Incarnation, now time.Time) *peer {
	p, ok := b.peers.byIncarnation[inc]
	if !ok {
		p = &peer{incarnation: inc, ran: b.peers.lastRun, sentMs: never}
		b.peers.byIncarnation[inc] = p
		b.supersede(inc, now)
	}
	p.seen = later(p.seen, now)
	return p
}

// supersede marks all but the newest incarnation of an instance as stopped. The
// one before may have been frozen, and holds its lease at most for the silence
// limit.
func (b *Book) supersede(inc Incarnation, now time.Time) {
	newest := inc.Number
	for other := range b.peers.byIncarnation {
		if other.ID == inc.ID {
			newest = max(newest, other.Number)
		}
	}
	if inc.ID == b.config.Self.ID && newest > b.config.Self.Number {
		b.superseded = true
	}
	for other, p := range b.peers.byIncarnation {
		if other.ID == inc.ID && (other.Number < newest || other.ID == b.config.Self.ID) {
			p.retire(now.Add(b.config.silence()))
		}
	}
}

func (p *peer) retire(at time.Time) {
	if !p.retired || at.Before(p.stop) {
		p.retired, p.stop = true, at
	}
}

// forget drops peers that can have run no key within the window.
func (b *Book) forget(now time.Time) {
	old := now.Add(-b.config.keep() - b.config.silence())
	for inc, p := range b.peers.byIncarnation {
		retired := p.retired && p.stop.Before(old)
		lost := !p.retired && !b.peers.listed[inc.ID] && p.seen.Before(old)
		if retired || lost {
			delete(b.peers.byIncarnation, inc)
		}
	}
}

// remove takes the vote from a peer that the list has dropped and that nobody
// has heard for the silence limit. It does so only under the lease, that is with
// a majority in which the peer still counts; a Book that was itself cut off or
// frozen must not shrink the group to those it hears.
func (b *Book) remove(now time.Time) {
	if !b.holdsLease(now) {
		return
	}
	for inc, p := range b.peers.byIncarnation {
		silent := now.Sub(p.seen) > b.config.silence()
		if !p.retired && !p.removed && silent && !b.peers.listed[inc.ID] {
			p.removed = true
			return // one at a time, so that majorities before and after meet
		}
	}
}

// restore gives the vote back to peers that are listed or heard again.
func (b *Book) restore(now time.Time) {
	for inc, p := range b.peers.byIncarnation {
		if b.peers.listed[inc.ID] || now.Sub(p.seen) <= b.config.silence() {
			p.removed = false
		}
	}
}

// absent reports whether a peer has no vote.
func (p *peer) absent() bool { return p.retired || p.removed }

// electorate counts the homes that a majority is of: this one, the peers that
// may still run, and listed instances of which nothing was heard.
func (b *Book) electorate() int {
	count := 1
	known := make(map[string]bool)
	for inc, p := range b.peers.byIncarnation {
		if p.absent() {
			continue
		}
		count++
		known[inc.ID] = true
	}
	for id := range b.peers.listed {
		if !known[id] {
			count++
		}
	}
	return count
}
