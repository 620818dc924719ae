package node

import (
	"time"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/measure"
)

const (
	// probeBudgetShare is the share of the allowed probe rate that is used.
	probeBudgetShare = 0.8
	// maxAnswersWithoutPace is the number of consecutive answers without a pace
	// after which the upstream is assumed not to report one.
	maxAnswersWithoutPace = 3
)

// notePaceReport records whether the upstream reports its pace. An upstream
// that does not, in maxAnswersWithoutPace answers in a row, is no longer probed
// for it; its next answer with a pace ends that.
func (n *Node) notePaceReport(pacePercent int) []Command {
	before := n.noPace()
	n.answersWithoutPace++
	if pacePercent > 0 {
		n.answersWithoutPace = 0
	}
	if n.noPace() == before {
		return nil
	}
	text := "The upstream reports its pace. Requests are started according to it."
	if n.noPace() {
		text = "The upstream does not report its pace. Requests are started without it."
	}
	return []Command{LogEntry{Part: "measure", Text: text}}
}

// noPace reports whether the local upstream is assumed not to report its pace.
func (n *Node) noPace() bool { return n.answersWithoutPace >= maxAnswersWithoutPace }

// paced reports whether requests are started according to the upstream's
// current pace.
func (n *Node) paced() bool {
	return n.direct() && n.config.Allowed(config.Probe) && n.config.Allowed(config.LoadAware)
}

// measurePace carries out a Measure action of the gate.
func (n *Node) measurePace(now time.Time) []Command {
	if n.noPace() {
		// Earlier readings no longer describe the upstream.
		return n.applyGateActions(n.gate.Measured(admit.NominalPace, now), now)
	}
	if n.tryProbe(now) {
		return []Command{Probe{}}
	}
	if n.meter.Probing() {
		return nil
	}
	return n.applyGateActions(n.gate.Unmeasured(now), now)
}

// applyReading handles the load that the local upstream reports about itself.
func (n *Node) applyReading(reading measure.Reading, now time.Time) []Command {
	out := append(n.noteUpstreamIncarnation(reading.UpstreamIncarnation, now), n.notePaceReport(reading.PacePercent)...)
	if reading.PacePercent == 0 {
		return append(out, n.applyGateActions(n.gate.Unmeasured(now), now)...)
	}
	out = append(out, n.applyGateActions(n.gate.Measured(reading.PacePercent, now), now)...)
	out = append(out, n.scheduleRemeasure(now)...)
	return append(out, n.sendLoadToZone(now)...)
}

// scheduleRemeasure schedules another reading of a slow upstream.
func (n *Node) scheduleRemeasure(now time.Time) []Command {
	at, slow := n.gate.RemeasureAt(now)
	if !slow {
		return nil
	}
	return n.scheduleGate(at, now)
}

// scheduleGate requests a GateDue at a time, unless an earlier one is pending.
func (n *Node) scheduleGate(at, now time.Time) []Command {
	if n.gateDueAt.After(now) && !at.Before(n.gateDueAt) {
		return nil
	}
	n.gateDueAt = at
	return []Command{GateAfter{After: at.Sub(now)}}
}

// gateDue requests another reading of a slow upstream, and starts requests that the limit
// of a cold one has held.
func (n *Node) gateDue(now time.Time) []Command {
	if !now.Before(n.gateDueAt) {
		n.gateDueAt = time.Time{}
	}
	out := n.applyGateActions(n.gate.Remeasure(now), now)
	return append(out, n.scheduleRemeasure(now)...)
}

// logContention logs when the gate starts or stops leaving slots free because
// the upstream is slower when it is nearly full.
func (n *Node) logContention(now time.Time) []Command {
	factor := n.gate.Contention(now)
	if factor == n.contention {
		return nil
	}
	n.contention = factor
	text := "The upstream is slower when nearly full. Some slots are left free."
	if factor == 0 {
		text = "All slots of the upstream are available again."
	}
	load := n.gate.Load(now)
	return []Command{LogEntry{Part: "admit", Text: text, Fields: []any{"factor", factor, "slots", load.Slots, "running", load.InFlight}}}
}

// gateLimits returns the limits for the local gate.
func (n *Node) gateLimits(service *config.Service, now time.Time) admit.Limits {
	l := service.Limits()
	limits := admit.Limits{Slots: l.Slots(), Queue: l.Queue(), Shed: n.config.Allowed(config.Shed), LeastCost: n.config.Allowed(config.LeastCost)}
	if slots := n.view.Self().Slots; slots > 0 {
		limits.Slots, limits.UncontendedSlots, limits.Queue = slots, max(slots*uncontendedPercent/100, 1), queuePerSlot*slots
	}
	limits.Paced = n.paced()
	limits.Cold = now.Before(n.view.Self().ColdUntil)
	limits.ColdLimit = n.coldLimit()
	return limits
}

const (
	// queuePerSlot limits the queue of an upstream whose slots are known from
	// the list.
	queuePerSlot = 2
	// uncontendedPercent is the share of the slots up to which no upstream
	// slows down from being nearly full.
	uncontendedPercent = 80
)
