package daemon

import (
	"time"

	"pomelodoor.example/pomelodoor/node"
)

// execute executes commands, or passes them to the goroutine that serves the
// request. It never waits for a peer.
func (d *Daemon) execute(commands []node.Command) {
	for _, c := range commands {
		if d.dispatch(c) {
			continue
		}
		switch c := c.(type) {
		case node.HedgeAfter:
			time.AfterFunc(c.Delay, func() { d.update(node.HedgeDue{ID: c.ID}) })
		case node.Probe:
			d.metrics.probes.Add(1)
			d.prober.start(d)
		case node.CancelProbe:
			d.prober.cancel()
		case node.ReadPlatform:
			d.startTask(func() { d.readPlatform(c.Read) })
		case node.GateAfter:
			time.AfterFunc(c.After, func() { d.update(node.GateDue{}) })
		case node.RereadStore:
			d.storeCall.restart()
		case node.Send:
			d.control.Send(c.Address, c.Envelope)
		case node.LogEntry:
			d.logEntry(c)
		}
	}
}

// dispatch passes a command to the goroutine that serves its request. It returns
// false for a command that does not belong to a request.
func (d *Daemon) dispatch(c node.Command) bool {
	switch c := c.(type) {
	case node.Forward:
		d.metrics.countAttempt(c.Number)
		d.calls.put(c.ID, c)
	case node.CancelForward:
		d.calls.put(c.ID, c)
	case node.Answer:
		d.calls.put(c.ID, c)
	case node.Deliver:
		d.calls.put(c.ID, c)
	case node.Run:
		d.runs.put(c.ID, c)
	case node.Refuse:
		d.metrics.countRefusal(c.Reason)
		d.runs.put(c.ID, c)
	case node.HandOn:
		d.runs.put(c.ID, c)
	case node.CancelRun:
		d.runs.put(c.ID, c)
	default:
		return false
	}
	return true
}

func (d *Daemon) logEntry(e node.LogEntry) {
	if e.Warn {
		d.logFor(e.Part).Warn(e.Text, e.Fields...)
		return
	}
	d.logFor(e.Part).Info(e.Text, e.Fields...)
}
