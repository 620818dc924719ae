package daemon

import (
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/peer"
)

// receive handles a control message from another daemon.
func (d *Daemon) receive(m peer.Envelope) {
	d.update(node.PeerMessage{Envelope: m})
}

// logControlClosed logs that a control connection was closed because of invalid
// framing or a full backlog.
func (d *Daemon) logControlClosed(err error) {
	d.logFor("peer").Warn("Closed a control connection after a framing error.", "error", err)
}
