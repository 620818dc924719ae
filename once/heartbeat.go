package once

import (
	"slices"
	"strings"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/times"
)

// Heartbeat returns the message to send to the instances in Recipients at least
// three times per Config.Lease.
func (c *Coordinator) Heartbeat(now time.Time) Heartbeat {
	heartbeat := Heartbeat{
		From:      c.config.Self,
		SentMs:    now.Sub(c.config.Started).Milliseconds(),
		HorizonMs: neverMs,
		Peers:     make([]PeerReport, 0, len(c.peers.byIncarnation)),
	}
	if c.peers.hasHorizon {
		heartbeat.HorizonMs = ageMs(c.peers.horizon, now)
	}
	for inc, p := range c.peers.byIncarnation {
		report := PeerReport{
			Incarnation: inc,
			EchoMs:      p.sentMs,
			ReceivedMs:  ageMs(p.receivedAt, now),
			SeenMs:      ageMs(p.seenAt, now),
			IgnoredMs:   ageMs(p.ignoredAt, now),
		}
		if p.retired {
			report.Retired, report.StoppedMs = true, now.Sub(p.stoppedBy).Milliseconds()
			report.HoldsRecords = p.handedOver
		}
		heartbeat.Peers = append(heartbeat.Peers, report)
	}
	slices.SortFunc(heartbeat.Peers, func(x, y PeerReport) int { return x.compare(y.Incarnation) })
	return heartbeat
}

// FinalHeartbeat returns the final heartbeat, which hands the key records over to
// the other homes. From then on this daemon lets no key run. Runs that have not
// ended are handed over as unknown, so FinalHeartbeat is best called when all
// have.
func (c *Coordinator) FinalHeartbeat(now time.Time) Heartbeat {
	c.leaving, c.superseded = true, true
	heartbeat := c.Heartbeat(now)
	heartbeat.Retired = true
	for _, r := range c.records.byKey {
		key, _ := ParseKey(r.key)
		if key.Kind == Issued || r.state == idle || r.state == querying || c.records.expired(r, now) {
			continue
		}
		ran := r.state == ended && r.answer.Outcome == call.Run
		remaining := max(r.expiry.Sub(now), c.config.Lease)
		heartbeat.Records = append(heartbeat.Records, HandedRecord{Key: r.key, Fingerprint: r.fingerprint, Status: r.answer.Status, Ran: ran, RemainingMs: remaining.Milliseconds()})
	}
	slices.SortFunc(heartbeat.Records, func(x, y HandedRecord) int { return strings.Compare(x.Key, y.Key) })
	return heartbeat
}

// HandleHeartbeat handles a heartbeat of another home.
func (c *Coordinator) HandleHeartbeat(heartbeat Heartbeat, now time.Time) {
	if heartbeat.From == c.config.Self {
		return
	}
	p := c.getOrAddPeer(heartbeat.From, now)
	p.receivedAt = now
	if heartbeat.SentMs > p.sentMs {
		p.sentMs, p.hasHorizon = heartbeat.SentMs, heartbeat.HorizonMs != neverMs
		p.horizon = now.Add(-millis(heartbeat.HorizonMs))
		c.applyReports(p, heartbeat, now)
	}
	if heartbeat.Retired {
		p.retire(now)
		if c.takeOverRecords(heartbeat.Records, now) {
			c.markHandedOver(p)
		}
	}
	c.renewLease(now)
}

func (c *Coordinator) applyReports(p *peer, heartbeat Heartbeat, now time.Time) {
	p.echoSentAt = time.Time{}
	p.receivedFrom = make(map[Incarnation]time.Time, len(heartbeat.Peers))
	p.holdsRecordsOf = make(map[Incarnation]bool)
	for _, report := range heartbeat.Peers {
		if report.Incarnation == c.config.Self {
			c.applyEcho(p, report, now)
			continue
		}
		if report.ReceivedMs != neverMs {
			p.receivedFrom[report.Incarnation] = now.Add(-millis(report.ReceivedMs))
		}
		if report.HoldsRecords {
			p.holdsRecordsOf[report.Incarnation] = true
		}
		c.applyReport(report, now)
	}
}

// applyEcho records what a peer reports about this daemon.
func (c *Coordinator) applyEcho(p *peer, report PeerReport, now time.Time) {
	if report.EchoMs == neverMs {
		return
	}
	p.echoSentAt = c.config.Started.Add(millis(report.EchoMs))
	p.ignoredSelfAt = time.Time{}
	if report.IgnoredMs != neverMs {
		p.ignoredSelfAt = now.Add(-millis(report.IgnoredMs))
	}
}

// applyReport records what a peer reports about a third incarnation. It ignores
// an unknown incarnation that stopped or was last seen too long ago to matter.
func (c *Coordinator) applyReport(report PeerReport, now time.Time) {
	limit := c.config.retention() + c.config.silenceLimit()
	p, ok := c.peers.byIncarnation[report.Incarnation]
	if !ok {
		retiredLongAgo := report.Retired && millis(report.StoppedMs) > limit
		if retiredLongAgo || millis(report.SeenMs) > limit {
			return
		}
		seen := now.Add(-millis(report.SeenMs))
		p = c.getOrAddPeer(report.Incarnation, now)
		p.seenAt = seen
	}
	p.seenAt = times.Later(p.seenAt, now.Add(-millis(report.SeenMs)))
	if report.Retired {
		p.retire(now.Add(-millis(report.StoppedMs)))
	}
}

// markHandedOver records that this daemon has all records of a retired peer,
// including those that the peer had taken over itself.
func (c *Coordinator) markHandedOver(retired *peer) {
	retired.handedOver = true
	for inc := range retired.holdsRecordsOf {
		if p, ok := c.peers.byIncarnation[inc]; ok {
			p.handedOver = true
		}
	}
}

// takeOverRecords stores the records of a retiring home, and reports whether
// there was capacity for all of them.
func (c *Coordinator) takeOverRecords(handed []HandedRecord, now time.Time) bool {
	complete := true
	for _, h := range handed {
		expiry := now.Add(millis(h.RemainingMs))
		r := c.records.get(h.Key, now)
		if r == nil {
			var ok bool
			if r, ok = c.records.add(h.Key, h.Fingerprint, expiry); !ok {
				complete = false
				continue
			}
		}
		if r.state == ended && r.answer.Outcome == call.Run || r.state == running {
			continue
		}
		r.expiry = times.Later(r.expiry, expiry)
		answer := unknownAnswer
		if h.Ran {
			answer = StoredAnswer{Outcome: call.Run, Status: h.Status}
		}
		if r.state == querying {
			r.handedAnswer = &answer
			continue
		}
		c.records.storeAnswer(r, answer)
	}
	return complete
}

func ageMs(t, now time.Time) int64 {
	if t.IsZero() {
		return neverMs
	}
	return max(now.Sub(t).Milliseconds(), 0)
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Recipients returns the instances to send Heartbeat to: the listed members of the
// group and all other peers that may still run. It returns none for a daemon
// outside the group.
func (c *Coordinator) Recipients() []string {
	if c.peers.outsideGroup {
		return nil
	}
	var ids []string
	for id := range c.peers.listed {
		ids = append(ids, id)
	}
	for inc, p := range c.peers.byIncarnation {
		if !p.retired {
			ids = append(ids, inc.ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
