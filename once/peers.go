package once

import (
	"time"

	"pomelodoor.example/pomelodoor/times"
)

// peer is what this daemon knows of another incarnation of the service.
type peer struct {
	incarnation Incarnation
	// ignoredAt is when this daemon last let a key run without accounting for
	// the peer, because it did not know it or treated it as stopped.
	ignoredAt time.Time
	// receivedAt is when this daemon last received a message from the peer,
	// seenAt when any daemon did, as far as this daemon knows.
	receivedAt time.Time
	seenAt     time.Time
	// sentMs is Heartbeat.SentMs of the newest heartbeat received, to be echoed.
	sentMs int64
	// hasHorizon is true if the peer has a horizon.
	hasHorizon bool
	horizon    time.Time
	// echoSentAt is when this daemon sent the newest heartbeat that the peer
	// confirmed; zero if there is none.
	echoSentAt time.Time
	// ignoredSelfAt is when the peer last let a key run without accounting for
	// this daemon, zero if it never did. Since then it has queried this daemon
	// before each run of a key for which this daemon ranks higher. Valid if
	// echoSentAt is set.
	ignoredSelfAt time.Time
	// receivedFrom is when the peer last received a message from each other
	// incarnation.
	receivedFrom map[Incarnation]time.Time
	// holdsRecordsOf has the incarnations whose records the peer has taken over.
	holdsRecordsOf map[Incarnation]bool
	// voteRevoked is true while the peer has no vote, because it is not in the
	// list any more and a majority has received nothing from it.
	voteRevoked bool
	// retired is true once the peer has stopped for good, at stoppedBy at the
	// latest.
	retired   bool
	stoppedBy time.Time
	// handedOver is true if this daemon has all records of the peer.
	handedOver bool
}

// peers is the group of homes as this daemon knows it.
type peers struct {
	byIncarnation map[Incarnation]*peer
	// listed has the instances that are live in the newest view.
	listed  map[string]bool
	hasView bool
	// selfListed is true if this daemon's instance is live in that view.
	selfListed bool
	// lastListed is when selfListed was last true. outsideGroup is true if that
	// never was or is so long ago that this daemon cannot be the home of a key
	// that is still valid.
	lastListed   time.Time
	outsideGroup bool
	// hasHorizon is true once every incarnation is known that may have let a
	// key run at horizon or later.
	hasHorizon bool
	horizon    time.Time
	// lastRun is when this daemon last let a key chosen by the caller run.
	lastRun time.Time
	// The lease is held without interruption from leaseSince to leaseEnd.
	leaseSince time.Time
	leaseEnd   time.Time
}

func newPeers() peers {
	return peers{byIncarnation: make(map[Incarnation]*peer), listed: make(map[string]bool)}
}

// SetGroup sets the members of the service's group, as Group returns them.
func (c *Coordinator) SetGroup(group []Member, now time.Time) {
	c.peers.hasView, c.peers.selfListed = true, false
	clear(c.peers.listed)
	for _, m := range group {
		if m.ID == c.config.Self.ID {
			c.peers.selfListed = true
		} else {
			c.peers.listed[m.ID] = true
		}
	}
	c.updateOutsideGroup(now)
	c.renewLease(now)
}

// updateOutsideGroup updates whether this daemon is outside the group. A daemon
// that has left the group still answers for the keys that it decided on.
func (c *Coordinator) updateOutsideGroup(now time.Time) {
	if c.peers.selfListed {
		c.peers.lastListed = now
	}
	last := c.peers.lastListed
	c.peers.outsideGroup = last.IsZero() || now.Sub(last) > c.config.retention()+c.config.silenceLimit()
}

// getOrAddPeer returns the peer for an incarnation and marks it as seen now. For
// a new peer, earlier runs count as runs that did not account for it.
func (c *Coordinator) getOrAddPeer(inc Incarnation, now time.Time) *peer {
	p, ok := c.peers.byIncarnation[inc]
	if !ok {
		p = &peer{incarnation: inc, ignoredAt: c.peers.lastRun, sentMs: neverMs}
		c.peers.byIncarnation[inc] = p
		c.supersede(inc, now)
	}
	p.seenAt = times.Later(p.seenAt, now)
	return p
}

// supersede marks all but the newest incarnation of an instance as stopped. The
// previous one may have been paused; it holds its lease for at most the silence
// limit.
func (c *Coordinator) supersede(inc Incarnation, now time.Time) {
	newest := inc.Number
	for other := range c.peers.byIncarnation {
		if other.ID == inc.ID {
			newest = max(newest, other.Number)
		}
	}
	if inc.ID == c.config.Self.ID && newest > c.config.Self.Number {
		c.superseded = true
	}
	for other, p := range c.peers.byIncarnation {
		if other.ID == inc.ID && (other.Number < newest || other.ID == c.config.Self.ID) {
			p.retire(now.Add(c.config.silenceLimit()))
		}
	}
}

func (p *peer) retire(at time.Time) {
	if !p.retired || at.Before(p.stoppedBy) {
		p.retired, p.stoppedBy = true, at
	}
}

// removeOldPeers removes peers that cannot have run a key within the window.
func (c *Coordinator) removeOldPeers(now time.Time) {
	old := now.Add(-c.config.retention() - c.config.silenceLimit())
	for inc, p := range c.peers.byIncarnation {
		retired := p.retired && p.stoppedBy.Before(old)
		lost := !p.retired && !c.peers.listed[inc.ID] && p.seenAt.Before(old)
		if retired || lost {
			delete(c.peers.byIncarnation, inc)
		}
	}
}

// revokeVote takes the vote from a peer that is no longer in the list and from
// which no daemon has received a message for the silence limit. It does so only
// under the lease, that is, with a majority in which the peer still counts: a
// daemon that was itself isolated or paused must not shrink the group to the
// peers that it can reach.
func (c *Coordinator) revokeVote(now time.Time) {
	if !c.holdsLease(now) {
		return
	}
	for inc, p := range c.peers.byIncarnation {
		silent := now.Sub(p.seenAt) > c.config.silenceLimit()
		if !p.retired && !p.voteRevoked && silent && !c.peers.listed[inc.ID] {
			p.voteRevoked = true
			return // one at a time, so that the majorities before and after overlap
		}
	}
}

// restoreVotes returns the vote to peers that are listed or seen again.
func (c *Coordinator) restoreVotes(now time.Time) {
	for inc, p := range c.peers.byIncarnation {
		if c.peers.listed[inc.ID] || now.Sub(p.seenAt) <= c.config.silenceLimit() {
			p.voteRevoked = false
		}
	}
}

// hasNoVote reports whether a peer has no vote.
func (p *peer) hasNoVote() bool { return p.retired || p.voteRevoked }

// voterCount returns the number of homes of which a majority is required: this
// one, the peers with a vote, and the listed instances that are not known as
// peers.
func (c *Coordinator) voterCount() int {
	count := 1
	knownIDs := make(map[string]bool)
	for inc, p := range c.peers.byIncarnation {
		if p.hasNoVote() {
			continue
		}
		count++
		knownIDs[inc.ID] = true
	}
	for id := range c.peers.listed {
		if !knownIDs[id] {
			count++
		}
	}
	return count
}
