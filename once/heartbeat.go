package once

import (
	"slices"
	"strings"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// Heartbeat returns the message that is due to every other member of the
// group, at least three times per Lease.
func (b *Book) Heartbeat(now time.Time) Heartbeat {
	beat := Heartbeat{
		From:      b.config.Self,
		SentMs:    now.Sub(b.config.Started).Milliseconds(),
		HorizonMs: never,
		Known:     make([]Known, 0, len(b.peers.byIncarnation)),
	}
	if b.peers.informed {
		beat.HorizonMs = ageMs(b.peers.horizon, now)
	}
	for inc, p := range b.peers.byIncarnation {
		known := Known{
			Incarnation: inc,
			EchoMs:      p.sentMs,
			HeardMs:     ageMs(p.heard, now),
			SeenMs:      ageMs(p.seen, now),
			RanMs:       ageMs(p.ran, now),
		}
		if p.retired {
			known.Retired, known.StoppedMs = true, now.Sub(p.stop).Milliseconds()
			known.Holds = p.handedOver
		}
		beat.Known = append(beat.Known, known)
	}
	slices.SortFunc(beat.Known, func(x, y Known) int { return x.compare(y.Incarnation) })
	return beat
}

// Retire returns the last heartbeat, which leaves the Book's memory to the
// other homes. No key runs by this Book's word any more; runs that have not
// ended are handed over as unknown, so it is best sent when all have.
func (b *Book) Retire(now time.Time) Heartbeat {
	b.leaving, b.superseded = true, true
	beat := b.Heartbeat(now)
	beat.Retired = true
	for _, r := range b.records.byKey {
		key, _ := ParseKey(r.key)
		if key.Kind == Issued || r.state == idle || r.state == asking || b.records.dead(r, now) {
			continue
		}
		ran := r.state == ended && r.answer.Outcome == call.Run
		left := max(r.expiry.Sub(now), b.config.Lease)
		beat.Records = append(beat.Records, Handed{Key: r.key, Fingerprint: r.fingerprint, Status: r.answer.Status, Ran: ran, LeftMs: left.Milliseconds()})
	}
	slices.SortFunc(beat.Records, func(x, y Handed) int { return strings.Compare(x.Key, y.Key) })
	return beat
}

// Hear takes in a heartbeat of another home.
func (b *Book) Hear(beat Heartbeat, now time.Time) {
	if beat.From == b.config.Self {
		return
	}
	p := b.meet(beat.From, now)
	p.heard = now
	if beat.SentMs > p.sentMs {
		p.sentMs, p.informed = beat.SentMs, beat.HorizonMs != never
		p.horizon = now.Add(-millis(beat.HorizonMs))
		b.hearKnown(p, beat, now)
	}
	if beat.Retired {
		p.retire(now)
		if b.takeOver(beat.Records, now) {
			b.inherit(p)
		}
	}
	b.renewLease(now)
}

func (b *Book) hearKnown(p *peer, beat Heartbeat, now time.Time) {
	p.echo = time.Time{}
	p.hears = make(map[Incarnation]time.Time, len(beat.Known))
	p.holds = make(map[Incarnation]bool)
	for _, known := range beat.Known {
		if known.Incarnation == b.config.Self {
			b.hearEcho(p, known, now)
			continue
		}
		if known.HeardMs != never {
			p.hears[known.Incarnation] = now.Add(-millis(known.HeardMs))
		}
		if known.Holds {
			p.holds[known.Incarnation] = true
		}
		b.hearOf(known, now)
	}
}

// hearEcho notes what a peer says of this Book.
func (b *Book) hearEcho(p *peer, known Known, now time.Time) {
	if known.EchoMs == never {
		return
	}
	p.echo = b.config.Started.Add(millis(known.EchoMs))
	p.minded = time.Time{}
	if known.RanMs != never {
		p.minded = now.Add(-millis(known.RanMs))
	}
}

// hearOf notes what a peer says of a third incarnation, unless that is so old
// that it no longer matters.
func (b *Book) hearOf(known Known, now time.Time) {
	limit := b.config.keep() + b.config.silence()
	p, ok := b.peers.byIncarnation[known.Incarnation]
	if !ok {
		retiredLongAgo := known.Retired && millis(known.StoppedMs) > limit
		if retiredLongAgo || millis(known.SeenMs) > limit {
			return
		}
		seen := now.Add(-millis(known.SeenMs))
		p = b.meet(known.Incarnation, now)
		p.seen = seen
	}
	p.seen = later(p.seen, now.Add(-millis(known.SeenMs)))
	if known.Retired {
		p.retire(now.Add(-millis(known.StoppedMs)))
	}
}

// inherit notes that the memory of a retired peer is here, with all that it had
// taken over itself.
func (b *Book) inherit(retired *peer) {
	retired.handedOver = true
	for inc := range retired.holds {
		if p, ok := b.peers.byIncarnation[inc]; ok {
			p.handedOver = true
		}
	}
}

// takeOver keeps the memory of a home that retires, and reports whether there
// was room for all of it.
func (b *Book) takeOver(handed []Handed, now time.Time) bool {
	whole := true
	for _, h := range handed {
		expiry := now.Add(millis(h.LeftMs))
		r := b.records.get(h.Key, now)
		if r == nil {
			var ok bool
			if r, ok = b.records.add(h.Key, h.Fingerprint, expiry); !ok {
				whole = false
				continue
			}
		}
		if r.state == ended && r.answer.Outcome == call.Run || r.state == running {
			continue
		}
		r.expiry = later(r.expiry, expiry)
		answer := unknownAnswer
		if h.Ran {
			answer = Answer{Outcome: call.Run, Status: h.Status}
		}
		if r.state == asking {
			r.left = &answer
			continue
		}
		b.records.end(r, answer)
	}
	return whole
}

func ageMs(t, now time.Time) int64 {
	if t.IsZero() {
		return never
	}
	return max(now.Sub(t).Milliseconds(), 0)
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Audience returns the instances to which Heartbeat is due: the group as the
// list has it, and all others that may still run. There are none for a Book
// outside the group.
func (b *Book) Audience() []string {
	if b.peers.outside {
		return nil
	}
	var ids []string
	for id := range b.peers.listed {
		ids = append(ids, id)
	}
	for inc, p := range b.peers.byIncarnation {
		if !p.retired {
			ids = append(ids, inc.ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
