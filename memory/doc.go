// Package memory limits what a daemon holds for callers and other daemons that nobody
// controls: an Account of bytes over all connections, and the Connections of one port with
// the order in which they are ended when there is too little room.
//
// Load: hundreds of callers that send large bodies nearly whole, heads in part, or do not
// read their answers, and keep their connections open. Neither type opens a socket, starts a
// goroutine or reads a clock.
//
//	account := memory.NewAccount(memory.AccountBytes(184))
//	hold := account.Open(memory.Callers)
//	defer hold.ReleaseAll()
//	if !hold.Reserve(memory.Bodies, length) {
//		// refuse the request
//	}
package memory
