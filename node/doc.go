// Package node makes the decisions of one daemon, without sockets, goroutines
// or a clock.
//
// Node.Update takes a message and the current time, and returns commands: forward
// a call, run one, send a control message. Package daemon carries the commands
// out and reports their results as further messages; tests and benchmarks do the
// same in its place.
//
//	n := node.New(node.Config{Self: self, Incarnation: 7, Started: now, Rand: rand.Uint64})
//	for _, command := range n.Update(node.CallerRequest{Request: request}, now) {
//		switch c := command.(type) {
//		case node.Forward: // send the request to c.To
//		case node.Answer: // report to the caller c.Outcome and c.Reason
//		}
//	}
//
// A daemon has two roles in a call. As ingress it chooses an upstream and decides
// on further attempts. As admission it runs the call on the local upstream, the
// one beside it, or refuses it with proof that it did not run.
//
// The pace of an upstream is its current processing time in percent of nominal:
// at a pace of 200 the same work takes twice as long.
package node
