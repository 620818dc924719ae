package daemon

import (
	"pomelodoor.example/pomelodoor/peer"
)

// receive takes a control message of another daemon.
func (d *Daemon) receive(m peer.Envelope) {
	if m.To != "" && m.To != d.self.ID {
		// The address has passed to this instance; the message is for another.
		return
	}
}

// lostFraming notes a control connection that was closed for what it sent.
func (d *Daemon) lostFraming(err error) {
	d.part("peer").Warn("A control connection was closed.", "error", err)
}
