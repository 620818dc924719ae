package once

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// beginIssued decides on a key with a home in its text. Only that incarnation
// may ever run it, so its own memory is the whole truth.
func (b *Book) beginIssued(key Key, req call.Request, now time.Time) []Action {
	age := now.Sub(b.config.Started)
	switch {
	case key.Home != b.config.Self && key.Home.ID == b.config.Self.ID:
		return refuse(req, call.Unknown, call.KeyHomeGone)
	case key.Home != b.config.Self:
		return refuse(req, call.Unknown, call.WrongIncarnation)
	case age >= key.Expiry:
		return refuse(req, call.Unknown, call.KeyExpired)
	case key.Expiry > age+b.config.Window:
		return refuse(req, call.NotRun, call.BadRequest)
	case b.leaving:
		return refuse(req, call.NotRun, call.Leaving)
	}
	r, ok := b.fresh(req, now)
	if !ok {
		return refuse(req, call.NotRun, call.Overloaded)
	}
	return b.run(r, req.ID, now.Add(b.config.Lease), now)
}

// beginOwn decides on a key of the caller's own. It runs at once if no other
// home can have run it, and else after all that may have run it grant it.
func (b *Book) beginOwn(key Key, req call.Request, now time.Time) []Action {
	ws := b.windowStart(key, now)
	if reason := b.unfit(key, ws, now); reason != "" {
		return refuse(req, call.Unknown, reason)
	}
	ask, reason := b.mustAsk(req.Key, ws, nil, now)
	if reason != "" {
		return refuse(req, call.Unknown, reason)
	}
	outcome := call.NotRun
	if len(ask) > 0 {
		outcome = call.Unknown
	}
	if b.leaving {
		return refuse(req, outcome, call.Leaving)
	}
	r, ok := b.fresh(req, now)
	if !ok {
		return refuse(req, outcome, call.Overloaded)
	}
	return b.ask(r, req, ws, ask, now)
}

// unfit says why this Book may decide on no key of a caller's own now, or "".
func (b *Book) unfit(key Key, ws, now time.Time) call.Reason {
	if key.Kind == Timed {
		age := now.Sub(key.Made)
		if age > b.config.Window {
			return call.KeyExpired
		}
		if age < -b.config.Skew {
			return call.BadRequest
		}
	}
	if b.superseded {
		return call.WrongIncarnation
	}
	if !b.mayDecide(now) || b.peers.horizon.After(ws) {
		return call.Stale
	}
	return ""
}

// windowStart is the earliest moment at which the key may have been run.
func (b *Book) windowStart(key Key, now time.Time) time.Time {
	ws := now.Add(-b.config.Window)
	if key.Kind == Timed {
		ws = later(ws, now.Add(key.Made.Sub(now)-b.config.Skew))
	}
	return ws
}

// expiry is when a record made or changed now has served its time.
func (b *Book) expiry(text string, now time.Time) time.Time {
	if key, _ := ParseKey(text); key.Kind == Issued {
		return b.config.Started.Add(key.Expiry)
	}
	return now.Add(b.config.keep())
}

// fresh returns the record for a request that is about to run, new or renewed.
func (b *Book) fresh(req call.Request, now time.Time) (*record, bool) {
	expiry := b.expiry(req.Key, now)
	if r := b.records.get(req.Key, now); r != nil {
		r.expiry = later(r.expiry, expiry)
		return r, true
	}
	return b.records.add(req.Key, req.Fingerprint, expiry)
}

func (b *Book) run(r *record, callID string, until, now time.Time) []Action {
	r.state, r.begun = running, now
	return []Action{{Kind: Run, CallID: callID, Key: r.key, Until: until}}
}

// runOwn lets a key of the caller's own run under the lease, and notes the
// incarnations that were not minded for it.
func (b *Book) runOwn(r *record, callID string, ws, now time.Time) []Action {
	b.peers.lastRun = now
	for _, p := range b.peers.byIncarnation {
		if stopped, ok := b.stopped(p, now); ok && !p.retired && !stopped.After(ws) {
			p.ran = now
		}
	}
	until := now.Add(b.config.Lease)
	if b.peers.leaseEnd.Before(until) {
		until = b.peers.leaseEnd
	}
	return b.run(r, callID, until, now)
}

// ask starts an attempt for a key. With nobody to ask the key runs.
func (b *Book) ask(r *record, req call.Request, ws time.Time, ask []*peer, now time.Time) []Action {
	if len(ask) == 0 && len(r.holders) == 0 {
		return b.runOwn(r, req.ID, ws, now)
	}
	b.attempts++
	until := now.Add(b.config.AskTimeout)
	r.state = asking
	b.asking = append(b.asking, timeout{due: until, key: r.key, attempt: b.attempts})
	r.attempt = &attempt{number: b.attempts, callID: req.ID, ws: ws, until: until, asked: make(map[Incarnation]bool), vouched: make(map[Incarnation]bool)}
	targets := make([]Incarnation, 0, len(ask))
	for _, p := range ask {
		targets = append(targets, p.incarnation)
	}
	return b.claimAt(r, append(targets, r.holders...), now)
}

// claimAt sends claims to those of the targets that this attempt has not asked
// yet, and gives the attempt up if one of them cannot be asked.
func (b *Book) claimAt(r *record, targets []Incarnation, now time.Time) []Action {
	var actions []Action
	for _, target := range targets {
		if _, asked := r.attempt.asked[target]; asked || target == b.config.Self {
			continue
		}
		if p, ok := b.peers.byIncarnation[target]; ok && p.handedOver {
			continue
		} else if ok && b.unreachable(p, now) {
			return b.abandon(r, call.KeyHomeGone)
		}
		r.attempt.asked[target] = false
		claim := Claim{From: b.config.Self, To: target, Key: r.key, Fingerprint: r.fingerprint, Attempt: r.attempt.number,
			WindowMs: now.Sub(r.attempt.ws).Milliseconds()}
		actions = append(actions, Action{Kind: Ask, CallID: r.attempt.callID, Key: r.key, Claim: claim})
	}
	return actions
}

// abandon ends an attempt without a run. Replies that come later are ignored,
// so nothing runs on the strength of it.
func (b *Book) abandon(r *record, reason call.Reason) []Action {
	callID := r.attempt.callID
	r.state, r.attempt = idle, nil
	if r.left != nil {
		b.records.end(r, *r.left)
		r.left = nil
	}
	return []Action{{Kind: Refuse, CallID: callID, Key: r.key, Outcome: call.Unknown, Reason: reason}}
}
