package once

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/times"
)

// HandleClaim handles the claim of another home that wants to run a key.
func (c *Coordinator) HandleClaim(claim Claim, now time.Time) Reply {
	reply := Reply{From: c.config.Self, To: claim.From, Key: claim.Key, Attempt: claim.Attempt}
	if claim.To != c.config.Self {
		reply.Verdict = WrongTarget
		return reply
	}
	c.getOrAddPeer(claim.From, now).receivedAt = now
	c.renewLease(now)
	reply.Verdict, reply.Grantees, reply.Answer = c.evaluateClaim(claim, now)
	if reply.Verdict == Granted {
		reply.Attested = c.attest(claim, now)
	}
	return reply
}

// attest returns the peers that would have queried this daemon before running
// the key, and those whose records are here. The claim is younger than
// QueryTimeout; otherwise its reply comes too late to be used.
func (c *Coordinator) attest(claim Claim, now time.Time) []Incarnation {
	windowStart := now.Add(-millis(claim.WindowMs) - 2*c.config.QueryTimeout)
	var attested []Incarnation
	for inc, p := range c.peers.byIncarnation {
		if inc != claim.From && (p.handedOver || c.ranksBelow(p, claim.Key) && c.accountsForSelf(p, windowStart)) {
			attested = append(attested, inc)
		}
	}
	slices.SortFunc(attested, Incarnation.compare)
	return attested
}

// evaluateClaim decides on a claim by the key's record, and adds the claimant to
// the grantees if it may run the key.
func (c *Coordinator) evaluateClaim(claim Claim, now time.Time) (Verdict, []Incarnation, StoredAnswer) {
	expiry := now.Add(c.config.retention())
	r := c.records.get(claim.Key, now)
	if r == nil {
		var ok bool
		if r, ok = c.records.add(claim.Key, claim.Fingerprint, expiry); !ok {
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
	r.expiry = times.Later(r.expiry, expiry)
	return Granted, earlier, StoredAnswer{}
}

// HandleReply handles the reply to a claim. Replies to attempts that have ended
// are ignored.
func (c *Coordinator) HandleReply(reply Reply, now time.Time) []Action {
	r := c.records.get(reply.Key, now)
	if r == nil || r.state != querying || r.attempt.number != reply.Attempt || reply.To != c.config.Self {
		return nil
	}
	if _, queried := r.attempt.queried[reply.From]; !queried {
		return nil
	}
	if !now.Before(r.attempt.deadline) {
		return c.abandon(r, call.KeyHomeGone)
	}
	switch reply.Verdict {
	case Granted:
		return c.handleGrant(r, reply, now)
	case Done:
		return c.adoptAnswer(r, reply.Answer)
	case Busy:
		return c.abandon(r, call.InProgress)
	case Reused:
		return c.abandon(r, call.KeyReused)
	case Full:
		return c.abandon(r, call.Overloaded)
	}
	return c.abandon(r, call.KeyHomeGone)
}

// handleGrant records a grant and queries the grantees that it names. The key
// runs once all queried homes have granted it, if the conditions for a run still
// hold.
func (c *Coordinator) handleGrant(r *record, reply Reply, now time.Time) []Action {
	a := r.attempt
	a.queried[reply.From] = true
	for _, inc := range reply.Attested {
		a.attested[inc] = true
	}
	actions := c.sendClaims(r, reply.Grantees, now)
	if r.state != querying {
		return actions
	}
	for _, ok := range a.queried {
		if !ok {
			return actions
		}
	}
	if r.handedAnswer != nil {
		return c.adoptAnswer(r, *r.handedAnswer)
	}
	if !c.mayDecide(now) {
		return c.abandon(r, call.Stale)
	}
	homes, reason := c.homesToQuery(r.key, a.windowStart, a, now)
	if reason != "" {
		return c.abandon(r, reason)
	}
	for _, p := range homes {
		if !a.queried[p.incarnation] {
			return c.sendClaims(r, []Incarnation{p.incarnation}, now)
		}
	}
	return c.runCallerKey(r, a.callID, a.windowStart, now)
}

// adoptAnswer stores the answer that another home has for the key, and answers
// the request with it.
func (c *Coordinator) adoptAnswer(r *record, answer StoredAnswer) []Action {
	req := call.Request{ID: r.attempt.callID, Key: r.key, Fingerprint: r.fingerprint}
	c.records.storeAnswer(r, answer)
	r.handedAnswer = nil
	return answerFromRecord(r, req)
}
