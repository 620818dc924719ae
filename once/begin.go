package once

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/times"
)

// beginIssued handles an issued key. Only the incarnation named in the key may
// run it, so that incarnation's records alone decide.
func (c *Coordinator) beginIssued(key Key, req call.Request, now time.Time) []Action {
	age := now.Sub(c.config.Started)
	switch {
	case key.Home != c.config.Self && key.Home.ID == c.config.Self.ID:
		return refuse(req, call.Unknown, call.KeyHomeGone)
	case key.Home != c.config.Self:
		return refuse(req, call.Unknown, call.WrongIncarnation)
	case age >= key.Expiry:
		return refuse(req, call.Unknown, call.KeyExpired)
	case key.Expiry > age+c.config.Window:
		return refuse(req, call.NotRun, call.BadRequest)
	case c.leaving:
		return refuse(req, call.NotRun, call.Leaving)
	}
	r, ok := c.recordFor(req, now)
	if !ok {
		return refuse(req, call.NotRun, call.Overloaded)
	}
	return c.run(r, req.ID, now.Add(c.config.Lease), now)
}

// beginCallerKey handles a key chosen by the caller. The key runs at once if no
// other home can have run it; otherwise every home that may have run it must
// grant it first.
func (c *Coordinator) beginCallerKey(key Key, req call.Request, now time.Time) []Action {
	windowStart := c.windowStart(key, now)
	if reason := c.refusalReason(key, windowStart, now); reason != "" {
		return refuse(req, call.Unknown, reason)
	}
	homes, reason := c.homesToQuery(req.Key, windowStart, nil, now)
	if reason != "" {
		return refuse(req, call.Unknown, reason)
	}
	outcome := call.NotRun
	if len(homes) > 0 {
		outcome = call.Unknown
	}
	if c.leaving {
		return refuse(req, outcome, call.Leaving)
	}
	r, ok := c.recordFor(req, now)
	if !ok {
		return refuse(req, outcome, call.Overloaded)
	}
	return c.startAttempt(r, req, windowStart, homes, now)
}

// refusalReason returns why this daemon must not decide on a key chosen by the
// caller now, or "".
func (c *Coordinator) refusalReason(key Key, windowStart, now time.Time) call.Reason {
	if key.Kind == Timed {
		age := now.Sub(key.CreatedAt)
		if age > c.config.Window {
			return call.KeyExpired
		}
		if age < -c.config.MaxSkew {
			return call.BadRequest
		}
	}
	if c.superseded {
		return call.WrongIncarnation
	}
	if !c.mayDecide(now) || c.peers.horizon.After(windowStart) {
		return call.Stale
	}
	return ""
}

// windowStart returns the earliest time at which the key may have run.
func (c *Coordinator) windowStart(key Key, now time.Time) time.Time {
	earliest := now.Add(-c.config.Window)
	if key.Kind == Timed {
		earliest = times.Later(earliest, now.Add(key.CreatedAt.Sub(now)-c.config.MaxSkew))
	}
	return earliest
}

// expiry returns when a record that is created or changed now expires.
func (c *Coordinator) expiry(text string, now time.Time) time.Time {
	if key, _ := ParseKey(text); key.Kind == Issued {
		return c.config.Started.Add(key.Expiry)
	}
	return now.Add(c.config.retention())
}

// recordFor returns the record for a request that is about to run. It adds the
// record or extends its expiry, and returns false if there is no capacity.
func (c *Coordinator) recordFor(req call.Request, now time.Time) (*record, bool) {
	expiry := c.expiry(req.Key, now)
	if r := c.records.get(req.Key, now); r != nil {
		r.expiry = times.Later(r.expiry, expiry)
		return r, true
	}
	return c.records.add(req.Key, req.Fingerprint, expiry)
}

func (c *Coordinator) run(r *record, callID string, until, now time.Time) []Action {
	r.state, r.allowedAt = running, now
	return []Action{{Kind: Run, CallID: callID, Key: r.key, Until: until}}
}

// runCallerKey lets a key chosen by the caller run under the lease. It records
// the run at each peer that has not retired but counts as stopped.
func (c *Coordinator) runCallerKey(r *record, callID string, windowStart, now time.Time) []Action {
	c.peers.lastRun = now
	for _, p := range c.peers.byIncarnation {
		if stopped, ok := c.stopTime(p, now); ok && !p.retired && !stopped.After(windowStart) {
			p.ignoredAt = now
		}
	}
	until := now.Add(c.config.Lease)
	if c.peers.leaseEnd.Before(until) {
		until = c.peers.leaseEnd
	}
	return c.run(r, callID, until, now)
}

// startAttempt queries the given homes and the earlier grantees of a key. If
// there are none, the key runs at once.
func (c *Coordinator) startAttempt(r *record, req call.Request, windowStart time.Time, homes []*peer, now time.Time) []Action {
	if len(homes) == 0 && len(r.grantees) == 0 {
		return c.runCallerKey(r, req.ID, windowStart, now)
	}
	c.lastAttempt++
	until := now.Add(c.config.QueryTimeout)
	r.state = querying
	c.timeouts = append(c.timeouts, timeout{due: until, key: r.key, attempt: c.lastAttempt})
	r.attempt = &attempt{number: c.lastAttempt, callID: req.ID, windowStart: windowStart, deadline: until, queried: make(map[Incarnation]bool), attested: make(map[Incarnation]bool)}
	targets := make([]Incarnation, 0, len(homes))
	for _, p := range homes {
		targets = append(targets, p.incarnation)
	}
	return c.sendClaims(r, append(targets, r.grantees...), now)
}

// sendClaims sends claims to the targets that this attempt has not queried yet.
// It abandons the attempt if one of them is unreachable.
func (c *Coordinator) sendClaims(r *record, targets []Incarnation, now time.Time) []Action {
	var actions []Action
	for _, target := range targets {
		if _, queried := r.attempt.queried[target]; queried || target == c.config.Self {
			continue
		}
		if p, ok := c.peers.byIncarnation[target]; ok && p.handedOver {
			continue
		} else if ok && c.unreachable(p, now) {
			return c.abandon(r, call.KeyHomeGone)
		}
		r.attempt.queried[target] = false
		claim := Claim{From: c.config.Self, To: target, Key: r.key, Fingerprint: r.fingerprint, Attempt: r.attempt.number,
			WindowMs: now.Sub(r.attempt.windowStart).Milliseconds()}
		actions = append(actions, Action{Kind: SendClaim, CallID: r.attempt.callID, Key: r.key, Claim: claim})
	}
	return actions
}

// abandon ends an attempt without a run. Later replies to it are ignored, so
// its grants cannot lead to a run.
func (c *Coordinator) abandon(r *record, reason call.Reason) []Action {
	callID := r.attempt.callID
	r.state, r.attempt = idle, nil
	if r.handedAnswer != nil {
		c.records.storeAnswer(r, *r.handedAnswer)
		r.handedAnswer = nil
	}
	return []Action{{Kind: Refuse, CallID: callID, Key: r.key, Outcome: call.Unknown, Reason: reason}}
}
