package once

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/times"
)

// renewLease updates the lease, the horizon and the peers' votes. Holding the
// lease requires that a majority of the group has confirmed heartbeats sent
// within Config.Lease.
func (c *Coordinator) renewLease(now time.Time) {
	c.restoreVotes(now)
	c.updateHorizon(now)
	end := c.leaseExpiry()
	if !now.Before(end) {
		c.peers.leaseEnd = end
		return
	}
	if !now.Before(c.peers.leaseEnd) {
		c.peers.leaseSince = now
	}
	c.peers.leaseEnd = end
	c.revokeVote(now)
}

// leaseExpiry returns when the oldest confirmation that the majority needs
// expires. Only the confirmations of members with a horizon count.
func (c *Coordinator) leaseExpiry() time.Time {
	quorum := c.voterCount()/2 + 1
	if c.peers.hasHorizon {
		quorum--
	}
	if quorum <= 0 {
		return c.config.Started.Add(1 << 62)
	}
	var echoes []time.Time
	for _, p := range c.peers.byIncarnation {
		if !p.hasNoVote() && p.hasHorizon && !p.echoSentAt.IsZero() {
			echoes = append(echoes, p.echoSentAt)
		}
	}
	if len(echoes) < quorum {
		return time.Time{}
	}
	slices.SortFunc(echoes, func(x, y time.Time) int { return y.Compare(x) })
	return echoes[quorum-1].Add(c.config.Lease)
}

// mayDecide reports whether this daemon may decide on a key chosen by the caller
// now. An instance that is not in the list may have been replaced.
func (c *Coordinator) mayDecide(now time.Time) bool {
	return c.peers.selfListed && !c.superseded && c.holdsLease(now)
}

func (c *Coordinator) holdsLease(now time.Time) bool {
	return c.peers.hasView && now.Before(c.peers.leaseEnd)
}

// hasFreshEcho reports whether a peer's confirmation is younger than
// Config.Lease.
func (c *Coordinator) hasFreshEcho(p *peer, now time.Time) bool {
	return !p.retired && !p.echoSentAt.IsZero() && now.Sub(p.echoSentAt) < c.config.Lease
}

// updateHorizon updates the horizon, the time since which this daemon knows
// every incarnation that may have let a key run. It adopts a horizon that a
// majority of the other homes reaches. In a fleet in which every daemon is new,
// the horizon is the time at which messages from all homes have been received.
func (c *Coordinator) updateHorizon(now time.Time) {
	if !c.peers.hasView {
		return
	}
	others := c.voterCount() - 1
	receivedCount := 0
	var horizons []time.Time
	for _, p := range c.peers.byIncarnation {
		if p.hasNoVote() {
			continue
		}
		if !p.receivedAt.IsZero() {
			receivedCount++
		}
		if p.hasHorizon && c.hasFreshEcho(p, now) {
			horizons = append(horizons, p.horizon)
		}
	}
	if quorum := others/2 + 1; len(horizons) >= quorum {
		slices.SortFunc(horizons, time.Time.Compare)
		c.lowerHorizon(horizons[quorum-1])
	} else if now.Sub(c.config.Started) > c.config.MaxListLag && receivedCount == others {
		c.lowerHorizon(now)
	}
}

// lowerHorizon moves the horizon back to the given time, never forward.
func (c *Coordinator) lowerHorizon(horizon time.Time) {
	if !c.peers.hasHorizon || horizon.Before(c.peers.horizon) {
		c.peers.hasHorizon, c.peers.horizon = true, horizon
	}
}

// accountsForSelf reports whether a peer has queried this daemon before every run
// since the given time of a key for which this daemon ranks higher. After the
// peer's last confirmation this holds as long as this daemon has kept its lease:
// to treat this daemon as stopped, the peer needs a majority that has not
// received its heartbeats.
func (c *Coordinator) accountsForSelf(p *peer, windowStart time.Time) bool {
	return !p.echoSentAt.IsZero() && !p.ignoredSelfAt.After(windowStart) && !p.echoSentAt.Before(c.peers.leaseSince)
}

// stopTime returns a time after which a peer has let no key run. A peer that has
// not retired counts as stopped only if a majority with fresh confirmations has
// received nothing from it for the silence limit.
func (c *Coordinator) stopTime(p *peer, now time.Time) (time.Time, bool) {
	if p.retired {
		return p.stoppedBy, true
	}
	last := p.receivedAt
	for _, q := range c.peers.byIncarnation {
		if q != p && c.hasFreshEcho(q, now) {
			last = times.Later(last, q.receivedFrom[p.incarnation])
		}
	}
	if last.IsZero() {
		last = p.seenAt
	}
	silence := c.config.silenceLimit()
	if !c.holdsLease(now) || c.hasFreshEcho(p, now) || now.Sub(last) < silence {
		return time.Time{}, false
	}
	return last.Add(silence), true
}

// unreachable reports whether a query to a peer would be useless: the peer has
// retired or has been silent for longer than Config.Lease.
func (c *Coordinator) unreachable(p *peer, now time.Time) bool {
	last := p.receivedAt
	if last.IsZero() {
		last = p.seenAt
	}
	return p.retired || now.Sub(last) > c.config.Lease
}

// homesToQuery returns the homes to query before running a key that may have run
// since the given time, or the reason why the key cannot run now. An unreachable
// home is replaced by a peer that may attest for it.
func (c *Coordinator) homesToQuery(key string, windowStart time.Time, a *attempt, now time.Time) ([]*peer, call.Reason) {
	var homes []*peer
	for inc, p := range c.peers.byIncarnation {
		if c.excluded(p, key, windowStart, now) || a != nil && a.attested[inc] {
			continue
		}
		if c.unreachable(p, now) {
			p = c.attester(p, key, now)
			if p == nil || a != nil && a.queried[p.incarnation] {
				return nil, call.KeyHomeGone
			}
		}
		if !slices.Contains(homes, p) {
			homes = append(homes, p)
		}
	}
	slices.SortFunc(homes, func(x, y *peer) int { return x.incarnation.compare(y.incarnation) })
	return homes, ""
}

// attester returns the reachable peer that is most likely to attest for a lost
// one: a peer that has its records, otherwise the highest-ranked home of the key
// if it ranks above the lost one. It returns nil if there is none.
func (c *Coordinator) attester(lost *peer, key string, now time.Time) *peer {
	var best *peer
	for _, p := range c.peers.byIncarnation {
		if c.unreachable(p, now) || !p.holdsRecordsOf[lost.incarnation] && !ranksAbove(key, p.incarnation.ID, lost.incarnation.ID) {
			continue
		}
		if best == nil || isBetterAttester(p, best, lost.incarnation, key) {
			best = p
		}
	}
	return best
}

func isBetterAttester(p, q *peer, lost Incarnation, key string) bool {
	if p.holdsRecordsOf[lost] != q.holdsRecordsOf[lost] {
		return p.holdsRecordsOf[lost]
	}
	if p.incarnation.ID == q.incarnation.ID {
		return p.incarnation.Number > q.incarnation.Number
	}
	return ranksAbove(key, p.incarnation.ID, q.incarnation.ID)
}

// excluded reports whether a peer cannot have run a key since the given time and
// cannot run it later without querying this daemon.
func (c *Coordinator) excluded(p *peer, key string, windowStart, now time.Time) bool {
	if p.handedOver {
		return true
	}
	if stopped, ok := c.stopTime(p, now); ok && !stopped.After(windowStart) {
		return true
	}
	return c.ranksBelow(p, key) && c.accountsForSelf(p, windowStart)
}

// ranksBelow reports whether a peer ranks below this daemon for a key.
func (c *Coordinator) ranksBelow(p *peer, key string) bool {
	return p.incarnation.ID != c.config.Self.ID && ranksAbove(key, c.config.Self.ID, p.incarnation.ID)
}
