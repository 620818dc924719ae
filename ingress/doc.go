// Package ingress holds the HTTP edges that receive: from callers, from other
// daemons, and from operators. It turns what arrives into typed requests, holds
// short bodies, writes answers with their outcome, and notices callers that
// have gone.
//
//	s, err := ingress.Start(ingress.Config{Listen: "127.0.0.1:8080", Handle: handle})
//	defer s.Shutdown(ctx)
package ingress
