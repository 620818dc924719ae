package once

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// renewLease works out the lease and whether this Book is informed. A majority
// of the group must have confirmed heartbeats sent within the lease.
func (b *Book) renewLease(now time.Time) {
	b.restore(now)
	b.inform(now)
	end := b.leaseUntil()
	if !now.Before(end) {
		b.peers.leaseEnd = end
		return
	}
	if !now.Before(b.peers.leaseEnd) {
		b.peers.leaseSince = now
	}
	b.peers.leaseEnd = end
	b.remove(now)
}

// leaseUntil is when the majority's oldest confirmation runs out. Only informed
// members have a vote.
func (b *Book) leaseUntil() time.Time {
	need := b.electorate()/2 + 1
	if b.peers.informed {
		need--
	}
	if need <= 0 {
		return b.config.Started.Add(1 << 62)
	}
	var echoes []time.Time
	for _, p := range b.peers.byIncarnation {
		if !p.absent() && p.informed && !p.echo.IsZero() {
			echoes = append(echoes, p.echo)
		}
	}
	if len(echoes) < need {
		return time.Time{}
	}
	slices.SortFunc(echoes, func(x, y time.Time) int { return y.Compare(x) })
	return echoes[need-1].Add(b.config.Lease)
}

// mayDecide reports whether this Book may decide on a key of a caller's own now.
// One that the list does not name may have been replaced.
func (b *Book) mayDecide(now time.Time) bool {
	return b.peers.selfListed && !b.superseded && b.holdsLease(now)
}

func (b *Book) holdsLease(now time.Time) bool {
	return b.peers.viewed && now.Before(b.peers.leaseEnd)
}

// isFresh reports whether a peer's confirmation is younger than the lease.
func (b *Book) isFresh(p *peer, now time.Time) bool {
	return !p.retired && !p.echo.IsZero() && now.Sub(p.echo) < b.config.Lease
}

// inform finds out how far back this Book knows every incarnation that may have
// let a key run: as far as a majority of the others does, or, in a fleet that
// is new as a whole, since it has heard everyone that the list names.
func (b *Book) inform(now time.Time) {
	if !b.peers.viewed {
		return
	}
	others := b.electorate() - 1
	heard := 0
	var horizons []time.Time
	for _, p := range b.peers.byIncarnation {
		if p.absent() {
			continue
		}
		if !p.heard.IsZero() {
			heard++
		}
		if p.informed && b.isFresh(p, now) {
			horizons = append(horizons, p.horizon)
		}
	}
	if need := others/2 + 1; len(horizons) >= need {
		slices.SortFunc(horizons, time.Time.Compare)
		b.lowerHorizon(horizons[need-1])
	} else if now.Sub(b.config.Started) > b.config.Settle && heard == others {
		b.lowerHorizon(now)
	}
}

// lowerHorizon moves the horizon back to a time, never forward.
func (b *Book) lowerHorizon(horizon time.Time) {
	if !b.peers.informed || horizon.Before(b.peers.horizon) {
		b.peers.informed, b.peers.horizon = true, horizon
	}
}

// confirmed reports whether a peer has asked this Book before every run since
// ws, if this Book ranks higher. After the peer's last confirmation that holds
// as long as this Book has kept its lease: without a majority that misses this
// Book the peer cannot have taken it for stopped.
func (b *Book) confirmed(p *peer, ws time.Time) bool {
	return !p.echo.IsZero() && !p.minded.After(ws) && !p.echo.Before(b.peers.leaseSince)
}

// stopped returns a time after which a peer has let no key run. For one that
// has not retired, that takes a fresh majority which has heard nothing of it
// for the silence limit.
func (b *Book) stopped(p *peer, now time.Time) (time.Time, bool) {
	if p.retired {
		return p.stop, true
	}
	last := p.heard
	for _, q := range b.peers.byIncarnation {
		if q != p && b.isFresh(q, now) {
			last = later(last, q.hears[p.incarnation])
		}
	}
	if last.IsZero() {
		last = p.seen
	}
	quiet := b.config.silence()
	if !b.holdsLease(now) || b.isFresh(p, now) || now.Sub(last) < quiet {
		return time.Time{}, false
	}
	return last.Add(quiet), true
}

// unreachable reports whether there is no use in asking a peer.
func (b *Book) unreachable(p *peer, now time.Time) bool {
	last := p.heard
	if last.IsZero() {
		last = p.seen
	}
	return p.retired || now.Sub(last) > b.config.Lease
}

// mustAsk returns the homes to ask before a key runs that may have run since
// ws, or the reason why it cannot run now. For a home that cannot be asked
// itself, another is named that may vouch for it.
func (b *Book) mustAsk(key string, ws time.Time, a *attempt, now time.Time) ([]*peer, call.Reason) {
	var ask []*peer
	for inc, p := range b.peers.byIncarnation {
		if b.excluded(p, key, ws, now) || a != nil && a.vouched[inc] {
			continue
		}
		if b.unreachable(p, now) {
			p = b.voucher(p, key, now)
			if p == nil || a != nil && a.asked[p.incarnation] {
				return nil, call.KeyHomeGone
			}
		}
		if !slices.Contains(ask, p) {
			ask = append(ask, p)
		}
	}
	slices.SortFunc(ask, func(x, y *peer) int { return x.incarnation.compare(y.incarnation) })
	return ask, ""
}

// voucher returns the peer that most probably can vouch for a lost one: a holder
// of its memory, else the highest home of the key if that is above it; or nil.
func (b *Book) voucher(lost *peer, key string, now time.Time) *peer {
	var best *peer
	for _, p := range b.peers.byIncarnation {
		if b.unreachable(p, now) || !p.holds[lost.incarnation] && !above(key, p.incarnation.ID, lost.incarnation.ID) {
			continue
		}
		if best == nil || better(p, best, lost.incarnation, key) {
			best = p
		}
	}
	return best
}

func better(p, q *peer, lost Incarnation, key string) bool {
	if p.holds[lost] != q.holds[lost] {
		return p.holds[lost]
	}
	if p.incarnation.ID == q.incarnation.ID {
		return p.incarnation.Number > q.incarnation.Number
	}
	return above(key, p.incarnation.ID, q.incarnation.ID)
}

// excluded reports whether a peer cannot have run a key since ws, nor may run
// it later without asking this Book.
func (b *Book) excluded(p *peer, key string, ws, now time.Time) bool {
	if p.handedOver {
		return true
	}
	if stopped, ok := b.stopped(p, now); ok && !stopped.After(ws) {
		return true
	}
	return b.lower(p, key) && b.confirmed(p, ws)
}

// lower reports whether a peer comes after this Book among the homes of a key.
func (b *Book) lower(p *peer, key string) bool {
	return p.incarnation.ID != b.config.Self.ID && above(key, b.config.Self.ID, p.incarnation.ID)
}
