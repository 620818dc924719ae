// Package ingress provides the HTTP servers for callers, other daemons and operators.
// It parses requests, buffers short bodies, writes responses with their outcome, and
// detects callers that have disconnected.
//
//	s, err := ingress.Start(ingress.Config{Listen: "127.0.0.1:8080", Handle: handle})
//	defer s.Shutdown(ctx)
package ingress
