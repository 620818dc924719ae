// Package peer carries control messages between daemons: jsonrpc2
// notifications on gnet connections.
//
// Every message is a notification. A receiver answers with a message of its own, so
// nothing in this package waits for a reply, and any message may be lost. A frame is
// JSON after a varint length, and its size is limited; a connection with invalid
// framing is closed.
//
//	endpoint, err := peer.Start(peer.Config{Listen: "127.0.0.1:9000", Handle: handle})
//	endpoint.Send("127.0.0.1:9001", peer.Envelope{From: "faults-1", Kind: "load", Body: body})
package peer
