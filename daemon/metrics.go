package daemon

import (
	"expvar"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// metrics are the counters of one daemon.
type metrics struct {
	vars     *expvar.Map
	outcomes *expvar.Map
	reasons  *expvar.Map
	attempts expvar.Int
	// further counts the attempts beyond the first: retries and hedges.
	further expvar.Int
	// handedOn counts requests passed to a sibling before they ran.
	handedOn expvar.Int
	probes   expvar.Int
	// borrowed counts the copies of the store taken from neighbours, lent those
	// given to them.
	borrowed, lent expvar.Int
	// latencies are the times until callers were answered.
	latencies *latencies
}

// newMetrics gathers what the daemon counts under one map.
func newMetrics(d *Daemon) *metrics {
	m := &metrics{
		vars:      new(expvar.Map).Init(),
		outcomes:  new(expvar.Map).Init(),
		reasons:   new(expvar.Map).Init(),
		latencies: newLatencies(),
	}
	m.vars.Set("latencies", expvar.Func(func() any { return m.latencies.report() }))
	m.vars.Set("admission", expvar.Func(func() any {
		l := d.load()
		return map[string]any{"state": l.State, "running": l.InFlight, "queued": l.Queued, "slots": l.Slots, "pace": l.Pace}
	}))
	m.vars.Set("outcomes", m.outcomes)
	m.vars.Set("reasons", m.reasons)
	m.vars.Set("attempts", &m.attempts)
	m.vars.Set("furtherAttempts", &m.further)
	m.vars.Set("handedOn", &m.handedOn)
	m.vars.Set("probes", &m.probes)
	m.vars.Set("copiesBorrowed", &m.borrowed)
	m.vars.Set("copiesLent", &m.lent)
	m.vars.Set("controlBytesOut", expvar.Func(func() any { return d.control.BytesOut() }))
	m.vars.Set("controlBytesIn", expvar.Func(func() any { return d.control.BytesIn() }))
	m.vars.Set("controlDropped", expvar.Func(func() any { return d.control.Dropped() }))
	m.vars.Set("platformReads", expvar.Func(func() any { return d.registry.Calls() + d.store.Calls() }))
	m.vars.Set("logLinesWithheld", expvar.Func(func() any {
		if d.lines == nil {
			return 0
		}
		return d.lines.Withheld()
	}))
	m.vars.Set("upstreamConnections", expvar.Func(func() any { return d.upstream.Open() }))
	m.vars.Set("burn", expvar.Func(func() any {
		d.burnMu.Lock()
		defer d.burnMu.Unlock()
		return d.burn.Report(time.Now())
	}))
	return m
}

// answered counts a caller's call by what it was told.
func (m *metrics) answered(outcome call.Outcome, reason call.Reason) {
	m.outcomes.Add(string(outcome), 1)
	m.reasons.Add(string(reason), 1)
}

// Vars returns the daemon's counters, to be published by expvar.
func (d *Daemon) Vars() *expvar.Map { return d.metrics.vars }

// forwarded counts an attempt by its number within its call.
func (m *metrics) forwarded(number int) {
	m.attempts.Add(1)
	if number > 1 {
		m.further.Add(1)
	}
}
