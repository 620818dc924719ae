package node

import (
	"math"
	"time"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/measure"
)

// ColdBound is the bound on what all daemons together may send to a cold upstream in any
// second: Excess times the rate that it accepts, plus Slack. The zero value means that the
// bound is not known, and defaultColdBound is used.
type ColdBound struct {
	Excess float64
	Slack  float64
}

// defaultColdBound leaves room for probes; the rate of calls does not depend on it.
var defaultColdBound = ColdBound{Excess: 1.5, Slack: 8}

// coldState is what the node records about the cold limit of the local upstream.
type coldState struct {
	// incarnation is the incarnation of the upstream that the gate's knowledge is about.
	incarnation string
	// probeSentAt is when the last probe was sent.
	probeSentAt time.Time
	// logged is whether the last log entry said that the limit is in force, and limitedAt
	// when it last was.
	logged    bool
	limitedAt time.Time
	// reported is whether the last load report to the zone said that the upstream is cold.
	reported bool
}

// coldSettings returns the settings for cold upstreams of a service. Only daemons that
// read the store themselves limit them.
func (n *Node) coldSettings(service string) config.ColdSettings {
	routes := n.config.Routes()
	if routes == nil || !n.direct() {
		return config.ColdSettings{}
	}
	settings, _ := routes.UpstreamSettings(service)
	return settings.Cold()
}

// coldLimit returns the limit on what is sent to the local upstream while it is cold.
func (n *Node) coldLimit() admit.ColdLimit {
	perSecond := n.coldSettings(n.cfg.Self.Service).PerSecond()
	bound := n.cfg.ColdBound
	if bound == (ColdBound{}) {
		bound = defaultColdBound
	}
	return admit.NewColdLimit(perSecond, perSecond*max(bound.Excess, 1)+bound.Slack)
}

// hasColdLimit reports whether the gate limits a cold upstream.
func (n *Node) hasColdLimit() bool { return n.gate.Limits().ColdLimit != admit.ColdLimit{} }

// tryProbe starts a probe if the budget, and the limit of a cold upstream, allow it.
// Whether the upstream is cold is also probed while operators have switched the action
// Probe off: the limit is a promise to the platform, not an automatic action.
func (n *Node) tryProbe(now time.Time) bool {
	rate := probeBudgetShare * n.cfg.ProbesPerSecond
	if n.hasColdLimit() && rate == 0 {
		rate = float64(n.gate.Limits().ColdLimit.Probes)
	}
	n.meter.SetBudget(rate, n.config.Allowed(config.Probe) || n.hasColdLimit(), now)
	if !n.gate.MayProbe(now) || !n.meter.TryProbe(now) {
		return false
	}
	n.gate.Probed(now)
	n.cold.probeSentAt = now
	return true
}

// probeWarmth carries out a Probe action of the gate.
func (n *Node) probeWarmth(now time.Time) []Command {
	if n.tryProbe(now) {
		return []Command{Probe{}}
	}
	return nil
}

// noteColdIncarnation records which incarnation of the local upstream is listed, or
// responds. A new one counts as cold until a later probe finds it warm.
func (n *Node) noteColdIncarnation(incarnation string, now time.Time) {
	if incarnation == "" || incarnation == n.cold.incarnation {
		return
	}
	n.cold.incarnation = incarnation
	n.gate.ForgetWarmth(now)
}

// observeWarmth passes what a probe has found to the gate. An upstream whose response does
// not say that it is cold counts as cold only while its entry in the list says so: if it
// counted as cold for some time after the start of this daemon, a fleet that restarts
// beside warm upstreams would refuse most requests for that time.
func (n *Node) observeWarmth(r measure.Reading, now time.Time) {
	if !n.hasColdLimit() {
		return
	}
	n.noteColdIncarnation(r.UpstreamIncarnation, now)
	switch r.Warmth {
	case measure.Warm:
		n.gate.FoundWarm(n.cold.probeSentAt)
	case measure.NotWarm:
		n.gate.FoundCold(r.ColdLeft, now)
	case measure.WarmthUnstated:
		if until := n.view.Self().ColdUntil; until.After(now) {
			n.gate.FoundCold(until.Sub(now), now)
			return
		}
		n.gate.FoundWarm(n.cold.probeSentAt)
	}
}

// scheduleStart schedules the time at which the limit of a cold upstream lets the next
// queued request start.
func (n *Node) scheduleStart(now time.Time) []Command {
	at, waits := n.gate.NextStart(now)
	if !waits {
		return nil
	}
	return n.scheduleGate(at, now)
}

// minUnlimited is how long an upstream must not be limited before that is logged.
const minUnlimited = time.Second

// logCold logs when the limit of a cold upstream begins and ends.
func (n *Node) logCold(now time.Time) []Command {
	limited := n.gate.Limited(now)
	if limited {
		n.cold.limitedAt = now
	}
	if n.leaving() || limited == n.cold.logged || !limited && now.Sub(n.cold.limitedAt) < minUnlimited {
		return nil
	}
	n.cold.logged = limited
	text := "The upstream is not known to be warm. Requests to it are limited."
	if !limited {
		text = "The upstream is warm. Requests to it are not limited."
	}
	status, _ := n.gate.Cold(now)
	return []Command{LogEntry{Part: "admit", Text: text, Fields: []any{
		"warmth", status.Warmth, "perSecond", status.PerSecond,
		"limitedStarts", status.LimitedStarts, "queued", n.gate.Queued(),
	}}}
}

// reportCold adds to a load report that the upstream is cold. Its slots are then the
// number of calls that run at once at the rate, which daemons that do not know the rate
// understand too.
func (n *Node) reportCold(load *balance.Load, now time.Time) {
	if !n.gate.Limited(now) {
		return
	}
	load.State = balance.Cold
	rate := float64(n.gate.Limits().ColdLimit.Starts)
	busy := load.ServiceTime.Seconds() * float64(max(load.Pace, admit.NominalPace)) / admit.NominalPace
	if busy == 0 {
		busy = 1
	}
	load.Slots = max(min(load.Slots, int(math.Ceil(rate*busy))), 1)
}

// ColdStatus returns the state of the limit of a cold upstream, or nil if there is none.
func (n *Node) ColdStatus(now time.Time) *admit.ColdStatus {
	if status, ok := n.gate.Cold(now); ok {
		return &status
	}
	return nil
}
