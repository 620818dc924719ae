package daemon

import (
	"expvar"
	"time"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/call"
)

// metrics holds the counters of one daemon.
type metrics struct {
	vars     *expvar.Map
	outcomes *expvar.Map
	reasons  *expvar.Map
	attempts expvar.Int
	// furtherAttempts counts the attempts after the first: retries and hedges.
	furtherAttempts expvar.Int
	// handedOn counts requests forwarded to a sibling before they ran.
	handedOn expvar.Int
	probes   expvar.Int
	// evacuated counts the requests that this daemon refused because its zone was evacuated.
	evacuated expvar.Int
	// wrongRegion counts those that it refused because their route does not allow its region.
	wrongRegion expvar.Int
	// copiesBorrowed counts the copies of the store taken over from neighbours,
	// copiesLent those sent to them.
	copiesBorrowed, copiesLent expvar.Int
	// storeReturns counts the returns of the store from an older copy.
	storeReturns expvar.Int
	// polls counts the answers of other daemons that read the store for this one.
	polls expvar.Int
	// invalidResponses counts responses of the upstream with an invalid head.
	invalidResponses expvar.Int
	latencies        *latencies
}

// newMetrics returns the metrics of a daemon, published in one expvar map.
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
	m.vars.Set("cold", expvar.Func(func() any { return d.coldStatus() }))
	m.vars.Set("shedding", expvar.Func(func() any { return d.shedding() }))
	m.vars.Set("outcomes", m.outcomes)
	m.vars.Set("reasons", m.reasons)
	m.vars.Set("attempts", &m.attempts)
	m.vars.Set("furtherAttempts", &m.furtherAttempts)
	m.vars.Set("handedOn", &m.handedOn)
	m.vars.Set("probes", &m.probes)
	m.vars.Set("evacuation", expvar.Func(d.evacuationReport))
	m.vars.Set("wrongRegionRefused", &m.wrongRegion)
	m.vars.Set("copiesBorrowed", &m.copiesBorrowed)
	m.vars.Set("copiesLent", &m.copiesLent)
	m.vars.Set("storePolls", &m.polls)
	m.vars.Set("invalidResponses", &m.invalidResponses)
	m.vars.Set("storeReturns", &m.storeReturns)
	m.vars.Set("storeCopy", expvar.Func(func() any { return d.storeCopy.status(time.Now()) }))
	m.vars.Set("controlBytesOut", expvar.Func(func() any { return d.control.BytesOut() }))
	m.vars.Set("controlBytesIn", expvar.Func(func() any { return d.control.BytesIn() }))
	m.vars.Set("controlDropped", expvar.Func(func() any { return d.control.Dropped() }))
	m.vars.Set("platformReads", expvar.Func(func() any { return d.registry.Calls() + d.store.Calls() }))
	m.vars.Set("logLinesWithheld", expvar.Func(func() any {
		if d.lineLimiter == nil {
			return 0
		}
		return d.lineLimiter.Withheld()
	}))
	m.vars.Set("upstreamConnections", expvar.Func(func() any { return d.upstream.Open() }))
	m.vars.Set("memory", expvar.Func(func() any { return d.memoryReport() }))
	m.vars.Set("burn", expvar.Func(func() any {
		d.burnMu.Lock()
		defer d.burnMu.Unlock()
		return d.burn.Report(time.Now())
	}))
	return m
}

// countAnswer counts a caller's call by its reported outcome and reason.
func (m *metrics) countAnswer(outcome call.Outcome, reason call.Reason) {
	m.outcomes.Add(string(outcome), 1)
	m.reasons.Add(string(reason), 1)
}

// coldStatus returns the state of the limit of a cold upstream; nil if there is none.
func (d *Daemon) coldStatus() *admit.ColdStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.ColdStatus(time.Now())
}

// Vars returns the daemon's metrics for publication with expvar.
func (d *Daemon) Vars() *expvar.Map { return d.metrics.vars }

// countAttempt counts an attempt by its number within its call, starting at 1.
func (m *metrics) countAttempt(number int) {
	m.attempts.Add(1)
	if number > 1 {
		m.furtherAttempts.Add(1)
	}
}

// countRefusal counts a request that this daemon refused for its upstream, for the reasons
// that operators set.
func (m *metrics) countRefusal(reason call.Reason) {
	switch reason {
	case call.Evacuated:
		m.evacuated.Add(1)
	case call.WrongRegion:
		m.wrongRegion.Add(1)
	}
}
