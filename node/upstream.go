package node

import (
	"time"

	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/measure"
)

// servingBeforeReturn is how long an upstream that was draining must report
// that it is serving before it gets work again. It is longer than the lag of a
// load endpoint.
const servingBeforeReturn = 5 * time.Second

// probe asks the meter whether to probe the local upstream now.
func (n *Node) probe(now time.Time) []Command {
	service, ok := n.config.Service(n.view.Self().Service)
	if !ok {
		return nil
	}
	if n.paced() || n.hasColdLimit() {
		return n.endProbe(now)
	}
	rate := service.Budgets().ProbesPerSecond()
	n.meter.SetBudget(rate, n.config.Allowed(config.Probe), now)
	switch action, _ := n.meter.Next(now); action {
	case measure.Probe:
		return []Command{Probe{}}
	case measure.Cancel:
		return []Command{CancelProbe{}}
	}
	return nil
}

// endProbe cancels a probe that has timed out.
func (n *Node) endProbe(now time.Time) []Command {
	if !n.meter.Probing() {
		return nil
	}
	if action, _ := n.meter.Next(now); action == measure.Cancel {
		return []Command{CancelProbe{}}
	}
	return nil
}

// probeEnded handles the load that the upstream reports about itself. Without
// pacing only its state is used: the daemon's own count of requests in flight
// is more accurate than a report that lags.
func (n *Node) probeEnded(m ProbeEnded, now time.Time) []Command {
	n.meter.Done(m.Reading, m.Err, now)
	if m.Err == nil {
		n.observeWarmth(m.Reading, now)
	}
	switch {
	case m.Err != nil && n.paced():
		return append(n.applyGateActions(n.gate.Unmeasured(now), now), n.scheduleRemeasure(now)...)
	case m.Err != nil:
		return nil
	case n.paced():
		return n.applyReading(m.Reading, now)
	}
	if n.hasColdLimit() {
		return n.applyGateActions(n.gate.Tick(now), now)
	}
	n.upstreamCold = m.Reading.State == measure.Cold
	if m.Reading.State == measure.Draining {
		n.servingSince = time.Time{}
		return n.upstreamLeaves(now)
	}
	if n.servingSince.IsZero() {
		n.servingSince = now
	}
	if n.gate.Draining() && !n.stopping && now.Sub(n.servingSince) >= servingBeforeReturn {
		return n.upstreamReturns(now)
	}
	return nil
}

// upstreamLeaves refuses new work from now on and informs the other daemons.
func (n *Node) upstreamLeaves(now time.Time) []Command {
	if n.gate.Draining() {
		return nil
	}
	out := n.applyGateActions(n.gate.Drain(now), now)
	out = append(out, LogEntry{Part: "admit", Text: "The upstream is draining. No new work is accepted.", Warn: true})
	if n.view.UpstreamLeaving(now) {
		n.announceSelf(now)
	}
	return append(out, n.spreadTick(now)...)
}

// upstreamReturns accepts work again.
func (n *Node) upstreamReturns(now time.Time) []Command {
	n.gate.Open()
	out := []Command{LogEntry{Part: "admit", Text: "The upstream is serving again. New work is accepted."}}
	if n.view.UpstreamReturned(now) {
		n.announceSelf(now)
	}
	return append(out, n.spreadTick(now)...)
}
