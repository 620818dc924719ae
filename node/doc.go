// Package node is one daemon's decisions, with no socket, goroutine or clock.
//
// A message goes in with the present time, and commands come out: forward this
// call there, run that one, send this to a peer. Package daemon carries the
// commands out and feeds back what became of them; a test or a bench may do so
// in its place.
//
//	n := node.New(node.Config{Self: self, Incarnation: 7, Started: now, Rand: rand.Uint64})
//	for _, command := range n.Update(node.CallerRequest{Request: request}, now) {
//		switch c := command.(type) {
//		case node.Forward: // send the request to c.To
//		case node.Answer: // tell the caller c.Outcome and c.Reason
//		}
//	}
//
// A daemon has two roles in a call. As ingress it chooses an upstream, and
// decides on further attempts. As admission it lets the call run on its own
// upstream, or proves that it did not.
package node
