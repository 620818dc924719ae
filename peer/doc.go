// Package peer carries control messages between daemons: jsonrpc2
// notifications on gnet connections.
//
// Every message is a notification. The state machines answer with messages of
// their own, so nothing ever waits here for a reply, and a message may be lost
// at any time. Frames are JSON behind a varint length, bounded in size; a
// connection whose framing is lost is closed.
//
//	end, err := peer.Start(peer.Config{Listen: "127.0.0.1:9000", Handle: handle})
//	end.Send("127.0.0.1:9001", peer.Envelope{From: "faults-1", Kind: "load", Body: body})
package peer
