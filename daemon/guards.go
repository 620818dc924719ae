package daemon

import (
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/ingress"
	"pomelodoor.example/pomelodoor/logline"
	"pomelodoor.example/pomelodoor/memory"
)

const (
	// stalledInterval is how often each port is checked for connections to end.
	stalledInterval = 200 * time.Millisecond
	// guardLogInterval is the least time between two log lines about what was refused and
	// ended at a port.
	guardLogInterval = 5 * time.Second
	// overloadRetryAfter is the Retry-After of a request for which there is no room: by then,
	// stalled ones have been ended.
	overloadRetryAfter = 1500 * time.Millisecond
	// drainTimeout limits the reading of a refused body.
	drainTimeout = 250 * time.Millisecond

	// The parts of the descriptors that are for connections of callers and of other daemons,
	// for requests and for control messages. The rest is for connections that this daemon
	// opens, the operators' ports and the log.
	callersDescriptorPercent = 35
	daemonsDescriptorPercent = 25
	controlDescriptorPercent = 15
	// controlBufferPart is the part of what other daemons can use of the account that is for
	// incomplete control messages, as a divisor.
	controlBufferPart = 4
	// operatorConns limits the connections to the admin port and to the ready port.
	operatorConns = 16
	// defaultDescriptors applies where the limit on descriptors is not known.
	defaultDescriptors = 4096
)

// guards holds the account of memory and the limits of each port.
type guards struct {
	account *memory.Account
	callers *ingress.Guard
	daemons *ingress.Guard
	admin   *ingress.Guard
	ready   *ingress.Guard
	// controlConns limits the connections to the control port.
	controlConns int
}

// newGuards returns the limits for a host with memoryMB of memory, 0 if that is not known,
// and a process that may open the given number of descriptors.
func newGuards(memoryMB float64, descriptors int) *guards {
	account := memory.NewAccount(memory.AccountBytes(memoryMB))
	guard := func(source memory.Source, conns int) *ingress.Guard {
		return ingress.NewGuard(ingress.GuardConfig{Account: account, Source: source, MaxConns: conns, Now: time.Now})
	}
	return &guards{
		account: account,
		callers: guard(memory.Callers, descriptors*callersDescriptorPercent/100),
		daemons: guard(memory.Daemons, descriptors*daemonsDescriptorPercent/100),
		admin:   guard(memory.Operators, operatorConns),
		ready:   guard(memory.Operators, operatorConns),

		controlConns: descriptors * controlDescriptorPercent / 100,
	}
}

// byPort returns the guards by the name of their port.
func (g *guards) byPort() map[string]*ingress.Guard {
	return map[string]*ingress.Guard{"listen": g.callers, "peer": g.daemons, "admin": g.admin, "ready": g.ready}
}

// memoryReport returns the present state for operators.
func (d *Daemon) memoryReport() memory.Report {
	r := memory.Report{Account: d.guards.account.Status(), Ports: map[string]memory.PortStatus{}}
	for port, guard := range d.guards.byPort() {
		r.Ports[port] = guard.Status()
	}
	r.Ports["control"] = memory.PortStatus{
		Open: d.control.Accepted(), Limit: d.guards.controlConns, Counts: memory.Counts{Idle: d.control.Ended()},
	}
	return r
}

// endStalled ends, until the daemon stops, connections that occupy memory or a place at their port
// without making progress.
func (d *Daemon) endStalled() {
	ticker := time.NewTicker(stalledInterval)
	defer ticker.Stop()
	logged := d.memoryReport()
	loggedAt := d.started
	for {
		select {
		case <-ticker.C:
			for _, guard := range d.guards.byPort() {
				guard.EndStalled()
			}
			if now := time.Now(); now.Sub(loggedAt) >= guardLogInterval {
				loggedAt = now
				logged = d.logEnded(logged)
			}
		case <-d.ctx.Done():
			return
		}
	}
}

// logEnded logs what was refused and ended at each port since the last call, and returns
// the present state.
func (d *Daemon) logEnded(before memory.Report) memory.Report {
	status := d.memoryReport()
	for port, now := range status.Ports {
		was, is := before.Ports[port].Counts, now.Counts
		if is == was {
			continue
		}
		d.logFor("memory").Warn("Connections or requests were refused or ended for lack of room.", "port", port,
			"refusedConnections", is.Refused-was.Refused, "refusedRequests", is.Requests-was.Requests,
			"endedIdle", is.Idle-was.Idle, "endedBodies", is.Bodies-was.Bodies, "endedAnswers", is.Answers-was.Answers,
			"connections", now.Open, "maxConnections", now.Limit, "usedBytes", status.Account.Used, "limitBytes", status.Account.Limit)
	}
	return status
}

// refuseOverloaded answers a request for which there is no room. Nothing has run.
func (d *Daemon) refuseOverloaded(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	ingress.DiscardBody(ctx, now.Add(drainTimeout))
	ingress.Refuse(ctx, call.NotRun, call.Overloaded, describeReason(call.Overloaded))
	if d.dialect.SetRetryAfter != nil {
		d.dialect.SetRetryAfter(&ctx.Response, overloadRetryAfter)
	}
	ctx.SetConnectionClose()
	d.metrics.countAnswer(call.NotRun, call.Overloaded)
	if d.allowLine(logline.Fault, now) {
		d.logFor("memory").Info("A request is refused for lack of memory.", "id", d.dialect.Token(&ctx.Request.Header),
			"bytes", ctx.Request.Header.ContentLength())
	}
}

// refusePeerOverloaded answers a forwarded request for which there is no room.
func (d *Daemon) refusePeerOverloaded(ctx *fasthttp.RequestCtx) {
	d.refusePeerBody(ctx, ingress.ErrOverloaded)
}

// refusePeerBody answers a forwarded request whose body could not be read. The other daemon
// believes a refusal only with a report.
func (d *Daemon) refusePeerBody(ctx *fasthttp.RequestCtx, err error) {
	now := time.Now()
	d.refuseRequest(ctx, err)
	d.writeReport(ctx, d.withLoad(&answer{}), now)
}

// setCopy answers another daemon with an encoded copy of the store or changes of it, if there is
// room. The body must not be modified afterwards.
func (d *Daemon) setCopy(ctx *fasthttp.RequestCtx, body []byte) {
	if !ingress.ReserveAnswer(ctx, len(body)) {
		d.refusePeerOverloaded(ctx)
		return
	}
	ctx.Response.SetBodyRaw(body)
}
