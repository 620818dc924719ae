package node

import (
	"time"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/measure"
)

const (
	// probeUse is the part of the bound on probes that is spent.
	probeUse = 0.8
	// muteAfter is the number of answers in a row without a pace after which the
	// upstream is taken to tell none.
	muteAfter = 3
)

// noteMute takes in whether the upstream tells its pace. One that does not, in a
// few answers, is not asked again: its next answer that does is believed.
func (n *Node) noteMute(pacePercent int) []Command {
	before := n.mute()
	n.paceless++
	if pacePercent > 0 {
		n.paceless = 0
	}
	if n.mute() == before {
		return nil
	}
	text := "The upstream tells its pace. Requests start by it."
	if n.mute() {
		text = "The upstream does not tell its pace. Requests start without."
	}
	return []Command{Note{Part: "measure", Text: text}}
}

// mute reports whether the own upstream does not tell its pace.
func (n *Node) mute() bool { return n.paceless >= muteAfter }

// paced reports whether requests are started by the upstream's present pace.
func (n *Node) paced() bool {
	return n.direct() && n.config.Allowed(config.Probe) && n.config.Allowed(config.LoadAware)
}

// measureNow carries out the gate's wish for a reading.
func (n *Node) measureNow(now time.Time) []Command {
	if n.mute() {
		// What was read before says nothing of now.
		return n.admit(n.gate.Measured(admit.UsualPace, now), now)
	}
	n.meter.SetBudget(probeUse*n.cfg.ProbesPerSecond, n.config.Allowed(config.Probe), now)
	if n.meter.Ask(now) {
		return []Command{Probe{}}
	}
	if n.meter.UnderWay() {
		return nil
	}
	return n.admit(n.gate.Unmeasured(now), now)
}

// heardOwn takes in what the own upstream says of itself with an answer.
func (n *Node) heardOwn(reading measure.Reading, now time.Time) []Command {
	out := append(n.noteLife(reading.Upstream, now), n.noteMute(reading.PacePercent)...)
	if reading.PacePercent == 0 {
		return append(out, n.admit(n.gate.Unmeasured(now), now)...)
	}
	out = append(out, n.admit(n.gate.Measured(reading.PacePercent, now), now)...)
	out = append(out, n.watchPace(now)...)
	return append(out, n.tellZone(now)...)
}

// watchPace looks at a slow upstream again before long.
func (n *Node) watchPace(now time.Time) []Command {
	at, slow := n.gate.RemeasureAt(now)
	if !slow || n.gateDue {
		return nil
	}
	n.gateDue = true
	return []Command{WakeGate{After: at.Sub(now)}}
}

// gateWoken asks for another reading of a slow upstream.
func (n *Node) gateWoken(now time.Time) []Command {
	n.gateDue = false
	out := n.admit(n.gate.Remeasure(now), now)
	return append(out, n.watchPace(now)...)
}

// noteCrowding tells the log when slots begin or end to be left free because the
// upstream is slower when it is nearly full.
func (n *Node) noteCrowding(now time.Time) []Command {
	found := n.gate.Crowding(now)
	if found == n.crowding {
		return nil
	}
	n.crowding = found
	text := "The upstream is slower when nearly full. Slots are left free."
	if found == 0 {
		text = "All slots of the upstream are tried again."
	}
	l := n.gate.Load(now)
	return []Command{Note{Part: "admit", Text: text, Fields: []any{"factor", found, "slots", l.Slots, "running", l.InFlight}}}
}

// gateLimits returns the limits of the own gate.
func (n *Node) gateLimits(service *config.Service, now time.Time) admit.Limits {
	l := service.Limits()
	want := admit.Limits{Slots: l.Slots(), Queue: l.Queue(), Shed: n.config.Allowed(config.Shed)}
	if slots := n.view.Self().Slots; slots > 0 {
		want.Slots, want.Easy, want.Queue = slots, max(slots*easyPercent/100, 1), queuePerSlot*slots
	}
	want.Paced = n.paced()
	want.Cold = now.Before(n.view.Self().ColdUntil)
	return want
}

const (
	// queuePerSlot bounds the queue of an upstream whose slots the list tells.
	queuePerSlot = 2
	// easyPercent is the part of the slots up to which no upstream slows down for
	// being nearly full.
	easyPercent = 80
)
