package node

import (
	"time"

	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/measure"
)

// returnAfter is how long an upstream that was draining must report that it
// serves before it gets work again. It is longer than a load endpoint lags.
const returnAfter = 5 * time.Second

// probe asks the meter whether the own upstream is to be measured now.
func (n *Node) probe(now time.Time) []Command {
	service, ok := n.config.Service(n.view.Self().Service)
	if !ok {
		return nil
	}
	if n.paced() {
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

// endProbe gives up a probe under way that takes too long.
func (n *Node) endProbe(now time.Time) []Command {
	if !n.meter.UnderWay() {
		return nil
	}
	if action, _ := n.meter.Next(now); action == measure.Cancel {
		return []Command{CancelProbe{}}
	}
	return nil
}

// probeEnded takes in what the upstream says of itself. Only its state counts:
// the daemon knows the requests in flight better than a report that lags.
func (n *Node) probeEnded(m ProbeEnded, now time.Time) []Command {
	n.meter.Done(m.Reading, m.Err, now)
	switch {
	case m.Err != nil && n.paced():
		return append(n.admit(n.gate.Unmeasured(now), now), n.watchPace(now)...)
	case m.Err != nil:
		return nil
	case n.paced():
		return n.heardOwn(m.Reading, now)
	}
	n.upstreamCold = m.Reading.State == measure.Cold
	if m.Reading.State == measure.Draining {
		n.servingSince = time.Time{}
		return n.upstreamLeaves(now)
	}
	if n.servingSince.IsZero() {
		n.servingSince = now
	}
	if n.gate.Draining() && !n.stopping && now.Sub(n.servingSince) >= returnAfter {
		return n.upstreamReturns(now)
	}
	return nil
}

// upstreamLeaves refuses new work from now on and tells the other daemons.
func (n *Node) upstreamLeaves(now time.Time) []Command {
	if n.gate.Draining() {
		return nil
	}
	out := n.admit(n.gate.Drain(now), now)
	out = append(out, Note{Part: "admit", Text: "The upstream is draining. No new work is accepted.", Warn: true})
	if n.view.UpstreamLeaving(now) {
		n.announce(now)
	}
	return append(out, n.spreadTick(now)...)
}

// upstreamReturns accepts work again.
func (n *Node) upstreamReturns(now time.Time) []Command {
	n.gate.Open()
	out := []Command{Note{Part: "admit", Text: "The upstream serves again."}}
	if n.view.UpstreamReturned(now) {
		n.announce(now)
	}
	return append(out, n.spreadTick(now)...)
}
