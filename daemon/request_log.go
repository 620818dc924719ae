package daemon

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/logline"
	"pomelodoor.example/pomelodoor/node"
)

// LineLimiter limits the log lines about single requests. See package logline.
type LineLimiter interface {
	Allow(class logline.Class, now time.Time) bool
	// Withheld returns how many lines were left out so far.
	Withheld() int64
}

// allowLine reports whether a line about a request may be written. Without a
// limiter none is written: tests and experiments do not use these lines.
func (d *Daemon) allowLine(class logline.Class, now time.Time) bool {
	return d.lineLimiter != nil && d.lineLimiter.Allow(class, now)
}

// classOf returns Routine for a run with a status below 500, else Fault.
func classOf(outcome call.Outcome, status int) logline.Class {
	if outcome == call.Run && status < 500 {
		return logline.Routine
	}
	return logline.Fault
}

// logAnswered logs the answer to a caller and its reason.
func (d *Daemon) logAnswered(request call.Request, outcome call.Outcome, reason call.Reason, status int, took time.Duration) {
	if !d.allowLine(classOf(outcome, status), time.Now()) {
		return
	}
	d.logFor("ingress").Info("A request is answered.",
		"id", request.Token, "call", request.ID, "outcome", outcome, "reason", reason, "status", status,
		"tookMs", ms(took))
}

// logForwarded logs which upstream an attempt is sent to, and the data behind
// that choice.
func (d *Daemon) logForwarded(f node.Forward) {
	if !d.allowLine(logline.Routine, time.Now()) {
		return
	}
	d.logFor("balance").Info("A request is sent on.",
		"id", f.Request.Token, "call", f.Request.ID, "route", f.Request.Route, "routesRevision", f.Routes, "service", f.Request.Service,
		"instance", f.To.ID, "upstream", f.To.UpstreamIncarnation, "rank", f.Request.Priority, "costMs", ms(f.Choice.Cost),
		"loadAgeMs", ms(f.Choice.LoadAge), "candidates", f.Choice.Candidates, "leftMs", ms(time.Until(f.Request.Deadline)))
}

// logFailedAttempt logs an attempt that ended without an answer of an upstream.
func (d *Daemon) logFailedAttempt(f node.Forward, a node.Attempt) {
	if a.Outcome == call.Run || !d.allowLine(logline.Fault, time.Now()) {
		return
	}
	d.logFor("ingress").Info("An attempt brought no answer.",
		"id", f.Request.Token, "call", f.Request.ID, "instance", f.To.ID, "outcome", a.Outcome, "reason", a.Reason,
		"tookMs", ms(a.Latency), "unreachable", a.Unreachable)
}

// logRun logs how a run at the local upstream ended.
func (d *Daemon) logRun(request call.Request, end node.RunEnded) {
	if !d.allowLine(classOf(end.Outcome, end.Status), time.Now()) {
		return
	}
	d.logFor("admit").Info("A run has ended.",
		"id", request.Token, "call", request.ID, "upstream", request.UpstreamIncarnation, "outcome", end.Outcome, "reason", end.Reason,
		"status", end.Status, "ranMs", ms(end.Latency),
		"pace", end.Reading.PacePercent, "running", end.Reading.InFlight)
}

// logRejected logs that a request was neither run nor queued here.
func (d *Daemon) logRejected(request call.Request, r node.Refuse) {
	if !d.allowLine(logline.Fault, time.Now()) {
		return
	}
	load := d.load()
	d.logFor("admit").Info("A request is rejected.",
		"id", request.Token, "call", request.ID, "outcome", r.Outcome, "reason", r.Reason,
		"leftMs", ms(time.Until(request.Deadline)), "toTargetMs", ms(time.Until(request.Target)), "state", load.State,
		"running", load.InFlight, "queued", load.Queued, "slots", load.Slots, "pace", load.Pace, "paceAgeMs", ms(load.Age))
}

// ms returns a duration in milliseconds, rounded to 10 µs for log lines.
func ms(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}
