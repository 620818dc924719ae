package daemon

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/logline"
	"pomelodoor.example/pomelodoor/node"
)

// Lines bounds the log lines on single requests; see package logline.
type Lines interface {
	Allow(class logline.Class, now time.Time) bool
	// Withheld returns how many lines were left out.
	Withheld() int64
}

// allow reports whether a line on one request may be written. Without a bound
// none is: tests and experiments have no use for them.
func (d *Daemon) allow(class logline.Class, now time.Time) bool {
	return d.lines != nil && d.lines.Allow(class, now)
}

// classOf tells plain successes from what somebody may ask about.
func classOf(outcome call.Outcome, status int) logline.Class {
	if outcome == call.Run && status < 500 {
		return logline.Routine
	}
	return logline.Fault
}

// lineAnswered tells what a caller was answered, and why.
func (d *Daemon) lineAnswered(request call.Request, outcome call.Outcome, reason call.Reason, status int, took time.Duration) {
	if !d.allow(classOf(outcome, status), time.Now()) {
		return
	}
	d.part("ingress").Info("A request is answered.",
		"id", request.Token, "call", request.ID, "outcome", outcome, "reason", reason, "status", status,
		"tookMs", ms(took))
}

// lineForwarded tells which upstream an attempt goes to, and on what knowledge.
func (d *Daemon) lineForwarded(f node.Forward) {
	if !d.allow(logline.Routine, time.Now()) {
		return
	}
	d.part("balance").Info("A request is sent on.",
		"id", f.Request.Token, "call", f.Request.ID, "route", f.Request.Route, "routesRevision", f.Routes, "service", f.Request.Service,
		"instance", f.To.ID, "upstream", f.To.Upstream, "rank", f.Request.Priority, "costMs", ms(f.Choice.Cost),
		"loadAgeMs", ms(f.Choice.LoadAge), "candidates", f.Choice.Candidates, "leftMs", ms(time.Until(f.Request.Deadline)))
}

// lineAttempt tells how an attempt ended that did not bring an answer.
func (d *Daemon) lineAttempt(f node.Forward, a node.Attempt) {
	if a.Outcome == call.Run || !d.allow(logline.Fault, time.Now()) {
		return
	}
	d.part("ingress").Info("An attempt brought no answer.",
		"id", f.Request.Token, "call", f.Request.ID, "instance", f.To.ID, "outcome", a.Outcome, "reason", a.Reason,
		"tookMs", ms(a.Latency), "unreachable", a.Unreachable)
}

// lineRun tells how a run at the own upstream ended.
func (d *Daemon) lineRun(request call.Request, end node.RunEnded) {
	if !d.allow(classOf(end.Outcome, end.Status), time.Now()) {
		return
	}
	d.part("admit").Info("A run has ended.",
		"id", request.Token, "call", request.ID, "upstream", request.Upstream, "outcome", end.Outcome, "reason", end.Reason,
		"status", end.Status, "ranMs", ms(end.Latency),
		"pace", end.Reading.PacePercent, "running", end.Reading.InFlight)
}

// lineTurnedAway tells that the own gate let a request neither run nor wait.
func (d *Daemon) lineTurnedAway(request call.Request, r node.Refuse) {
	if !d.allow(logline.Fault, time.Now()) {
		return
	}
	load := d.load()
	d.part("admit").Info("A request is turned away.",
		"id", request.Token, "call", request.ID, "outcome", r.Outcome, "reason", r.Reason,
		"leftMs", ms(time.Until(request.Deadline)), "toTargetMs", ms(time.Until(request.Target)), "state", load.State,
		"running", load.InFlight, "queued", load.Queued, "slots", load.Slots, "pace", load.Pace, "paceAgeMs", ms(load.Age))
}

// ms is a duration as log lines show it.
func ms(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}
