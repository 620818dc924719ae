package once

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// HandleClaim handles the claim of another home that wants to run a key.
func (b *Coordinator) HandleClaim(claim Claim, now time.Time) Reply {
	reply := Reply{From: b.config.Self, To: claim.From, Key: claim.Key, Attempt: claim.Attempt}
	if claim.To != b.config.Self {
		reply.Verdict = WrongTarget
		return reply
	}
	b.getOrAddPeer(claim.From, now).receivedAt = now
	b.renewLease(now)
	reply.Verdict, reply.Grantees, reply.Answer = b.evaluateClaim(claim, now)
	if reply.Verdict == Granted {
		reply.Attested = b.attest(claim, now)
	}
	return reply
}

// attest returns the peers that would have queried this daemon before running
// the key, and those whose records are here. The claim is younger than
// QueryTimeout; otherwise its reply comes too late to be used.
func (b *Coordinator) attest(claim Claim, now time.Time) []Incarnation {
	windowStart := now.Add(-millis(claim.WindowMs) - 2*b.config.QueryTimeout)
	var attested []Incarnation
	for inc, p := range b.peers.byIncarnation {
		if inc != claim.From && (p.handedOver || b.ranksBelow(p, claim.Key) && b.accountsForSelf(p, windowStart)) {
			attested = append(attested, inc)
		}
	}
	slices.SortFunc(attested, Incarnation.compare)
	return attested
}

// evaluateClaim decides on a claim by the key's record, and adds the claimant to
// the grantees if it may run the key.
func (b *Coordinator) evaluateClaim(claim Claim, now time.Time) (Verdict, []Incarnation, StoredAnswer) {
	expiry := now.Add(b.config.retention())
	r := b.records.get(claim.Key, now)
	if r == nil {
		var ok bool
		if r, ok = b.records.add(claim.Key, claim.Fingerprint, expiry); !ok {
			return Full, nil, StoredAnswer{}
		}
	}
	switch {
	case r.fingerprint != claim.Fingerprint:
		return Reused, nil, StoredAnswer{}
	case r.state == ended:
		return Done, nil, r.answer
	case r.state != idle:
		return Busy, nil, StoredAnswer{}
	}
	earlier := slices.Clone(r.grantees)
	r.addGrantee(claim.From)
	r.expiry = later(r.expiry, expiry)
	return Granted, earlier, StoredAnswer{}
}

// HandleReply handles the answer to a claim. Replies to attempts that have ended are
// ignored.
func (b *Coordinator) HandleReply(reply Reply, now time.Time) []Action {
	r := b.records.get(reply.Key, now)
	if r == nil || r.state != querying || r.attempt.number != reply.Attempt || reply.To != b.config.Self {
		return nil
	}
	if _, queried := r.attempt.queried[reply.From]; !queried {
		return nil
	}
	if !now.Before(r.attempt.deadline) {
		return b.abandon(r, call.KeyHomeGone)
	}
	switch reply.Verdict {
	case Granted:
		return b.handleGrant(r, reply, now)
	case Done:
		return b.adoptAnswer(r, reply.Answer)
	case Busy:
		return b.abandon(r, call.InProgress)
	case Reused:
		return b.abandon(r, call.KeyReused)
	case Full:
		return b.abandon(r, call.Overloaded)
	}
	return b.abandon(r, call.KeyHomeGone)
}

// handleGrant records a grant and queries the grantees that it names. The key
// runs once all queried homes have granted it, if the conditions for a run still
// hold.
func (b *Coordinator) handleGrant(r *record, reply Reply, now time.Time) []Action {
	a := r.attempt
	a.queried[reply.From] = true
	for _, inc := range reply.Attested {
		a.attested[inc] = true
	}
	actions := b.sendClaims(r, reply.Grantees, now)
	if r.state != querying {
		return actions
	}
	for _, ok := range a.queried {
		if !ok {
			return actions
		}
	}
	if r.handedAnswer != nil {
		return b.adoptAnswer(r, *r.handedAnswer)
	}
	if !b.mayDecide(now) {
		return b.abandon(r, call.Stale)
	}
	homes, reason := b.homesToQuery(r.key, a.windowStart, a, now)
	if reason != "" {
		return b.abandon(r, reason)
	}
	for _, p := range homes {
		if !a.queried[p.incarnation] {
			return b.sendClaims(r, []Incarnation{p.incarnation}, now)
		}
	}
	return b.runCallerKey(r, a.callID, a.windowStart, now)
}

// adoptAnswer stores the answer that another home has for the key, and answers
// the request with it.
func (b *Coordinator) adoptAnswer(r *record, answer StoredAnswer) []Action {
	req := call.Request{ID: r.attempt.callID, Key: r.key, Fingerprint: r.fingerprint}
	b.records.storeAnswer(r, answer)
	r.handedAnswer = nil
	return answerFromRecord(r, req)
}
