// Package exchange carries one HTTP/1.1 request and its answer over a pooled
// connection, and proves what was sent.
//
// fasthttp writes and parses the messages. The pool exists because a promise
// hangs on three facts that a general client hides: whether any byte of the
// request left, that nothing is ever sent a second time, and that a connection
// with a late answer on it is never used again.
//
//	pool := exchange.New(exchange.Config{Address: "127.0.0.1:8080", MaxConns: 240})
//	err := pool.Do(ctx, req, resp)
//	if errors.Is(err, exchange.ErrNotSent) {
//		// No byte left: the request did not run.
//	}
package exchange
