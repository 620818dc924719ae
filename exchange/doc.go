// Package exchange sends one HTTP/1.1 request over a pooled connection, reads its
// response, and reports whether any of the request was sent.
//
// fasthttp encodes and parses the messages. The head of a response is checked first, since the
// parser accepts some that are malformed. The pool exists because a general client
// hides three facts on which the reported outcome depends: whether any byte of the
// request was sent, that no request is sent twice, and that a connection with a late
// response on it is never reused.
//
//	pool := exchange.New(exchange.Config{Address: "127.0.0.1:8080", MaxConns: 240})
//	err := pool.Do(ctx, req, resp)
//	if errors.Is(err, exchange.ErrNotSent) {
//		// no byte was sent: the request did not run
//	}
package exchange
