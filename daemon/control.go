package daemon

import (
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/peer"
)

// receive takes a control message of another daemon.
func (d *Daemon) receive(m peer.Envelope) {
	d.update(node.PeerMessage{Envelope: m})
}

// lostFraming notes a control connection that was closed for what it sent.
func (d *Daemon) lostFraming(err error) {
	d.part("peer").Warn("A control connection was closed.", "error", err)
}
