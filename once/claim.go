package once

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// Claim answers another home that wants to run a key.
func (b *Book) Claim(claim Claim, now time.Time) Reply {
	reply := Reply{From: b.config.Self, To: claim.From, Key: claim.Key, Attempt: claim.Attempt}
	if claim.To != b.config.Self {
		reply.Verdict = Mistaken
		return reply
	}
	b.meet(claim.From, now).heard = now
	b.renewLease(now)
	reply.Verdict, reply.Holders, reply.Answer = b.judge(claim, now)
	if reply.Verdict == Granted {
		reply.Vouched = b.vouch(claim, now)
	}
	return reply
}

// vouch names the peers that would have asked this Book before they ran the key,
// and those whose memory is here. The claim is younger than AskTimeout, or its
// reply comes too late.
func (b *Book) vouch(claim Claim, now time.Time) []Incarnation {
	ws := now.Add(-millis(claim.WindowMs) - 2*b.config.AskTimeout)
	var vouched []Incarnation
	for inc, p := range b.peers.byIncarnation {
		if inc != claim.From && (p.handedOver || b.lower(p, claim.Key) && b.confirmed(p, ws)) {
			vouched = append(vouched, inc)
		}
	}
	slices.SortFunc(vouched, Incarnation.compare)
	return vouched
}

// judge answers a claim from memory, and remembers the claimant if it may run.
func (b *Book) judge(claim Claim, now time.Time) (Verdict, []Incarnation, Answer) {
	expiry := now.Add(b.config.keep())
	r := b.records.get(claim.Key, now)
	if r == nil {
		var ok bool
		if r, ok = b.records.add(claim.Key, claim.Fingerprint, expiry); !ok {
			return Full, nil, Answer{}
		}
	}
	switch {
	case r.fingerprint != claim.Fingerprint:
		return Reused, nil, Answer{}
	case r.state == ended:
		return Done, nil, r.answer
	case r.state != idle:
		return Busy, nil, Answer{}
	}
	others := slices.Clone(r.holders)
	r.addHolder(claim.From)
	r.expiry = later(r.expiry, expiry)
	return Granted, others, Answer{}
}

// Reply takes in the answer to a claim. Replies to attempts that have ended
// change nothing.
func (b *Book) Reply(reply Reply, now time.Time) []Action {
	r := b.records.get(reply.Key, now)
	if r == nil || r.state != asking || r.attempt.number != reply.Attempt || reply.To != b.config.Self {
		return nil
	}
	if _, asked := r.attempt.asked[reply.From]; !asked {
		return nil
	}
	if !now.Before(r.attempt.until) {
		return b.abandon(r, call.KeyHomeGone)
	}
	switch reply.Verdict {
	case Granted:
		return b.granted(r, reply, now)
	case Done:
		return b.foundDone(r, reply.Answer)
	case Busy:
		return b.abandon(r, call.InProgress)
	case Reused:
		return b.abandon(r, call.KeyReused)
	case Full:
		return b.abandon(r, call.Overloaded)
	}
	return b.abandon(r, call.KeyHomeGone)
}

// granted counts a grant, asks the holders it names, and lets the key run once
// all have granted it and nothing has changed for the worse meanwhile.
func (b *Book) granted(r *record, reply Reply, now time.Time) []Action {
	a := r.attempt
	a.asked[reply.From] = true
	for _, inc := range reply.Vouched {
		a.vouched[inc] = true
	}
	actions := b.claimAt(r, reply.Holders, now)
	if r.state != asking {
		return actions
	}
	for _, ok := range a.asked {
		if !ok {
			return actions
		}
	}
	if r.left != nil {
		return b.foundDone(r, *r.left)
	}
	if !b.mayDecide(now) {
		return b.abandon(r, call.Stale)
	}
	ask, reason := b.mustAsk(r.key, a.ws, a, now)
	if reason != "" {
		return b.abandon(r, reason)
	}
	for _, p := range ask {
		if !a.asked[p.incarnation] {
			return b.claimAt(r, []Incarnation{p.incarnation}, now)
		}
	}
	return b.runOwn(r, a.callID, a.ws, now)
}

// foundDone keeps what another home knows of the key and answers with it.
func (b *Book) foundDone(r *record, answer Answer) []Action {
	req := call.Request{ID: r.attempt.callID, Key: r.key, Fingerprint: r.fingerprint}
	b.records.end(r, answer)
	r.left = nil
	return known(r, req)
}
