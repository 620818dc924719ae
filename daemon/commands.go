package daemon

import (
	"time"

	"pomelodoor.example/pomelodoor/node"
)

// execute carries commands out, or hands them to the goroutine that serves the
// request. It never waits for a peer.
func (d *Daemon) execute(commands []node.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case node.Forward:
			d.metrics.attempts.Add(1)
			if c.Number > 1 {
				d.metrics.further.Add(1)
			}
			d.calls.put(c.ID, c)
		case node.CancelForward:
			d.calls.put(c.ID, c)
		case node.Answer:
			d.calls.put(c.ID, c)
		case node.Deliver:
			d.calls.put(c.ID, c)
		case node.HedgeAfter:
			time.AfterFunc(c.Delay, func() { d.update(node.HedgeDue{ID: c.ID}) })
		case node.Run:
			d.runs.put(c.ID, c)
		case node.Refuse:
			d.runs.put(c.ID, c)
		case node.CancelRun:
			d.runs.put(c.ID, c)
		case node.Probe:
			d.metrics.probes.Add(1)
			d.probing.start(d)
		case node.CancelProbe:
			d.probing.cancel()
		case node.ReadPlatform:
			d.loop(func() { d.readPlatform(c.Read) })
		case node.Send:
			d.control.Send(c.Address, c.Envelope)
		case node.Note:
			d.note(c)
		}
	}
}

func (d *Daemon) note(n node.Note) {
	if n.Warn {
		d.part(n.Part).Warn(n.Text)
		return
	}
	d.part(n.Part).Info(n.Text)
}
