package call

import (
	"strconv"
	"time"
)

// Priority orders requests when an upstream has more than it can do.
type Priority string

// The priorities, from first served to first shed.
const (
	High   Priority = "high"
	Normal Priority = "normal"
	Low    Priority = "low"
)

// Ranked returns the priority of a route's rank, 0 being served first.
func Ranked(rank int) Priority { return Priority(strconv.Itoa(rank)) }

// Rank returns 0 for the priority that is served first, and more for the rest.
func (p Priority) Rank() int {
	switch p {
	case High:
		return 0
	case Low:
		return 2
	case Normal, "":
		return 1
	}
	rank, err := strconv.Atoi(string(p))
	if err != nil {
		return 1
	}
	return rank
}

// Repeat says whether a request may run more than once.
type Repeat string

// The kinds of repetition. The zero value leaves it to the method.
const (
	ByMethod Repeat = ""
	Safe     Repeat = "safe"
	Unsafe   Repeat = "unsafe"
)

// Request describes one request without its body.
type Request struct {
	// ID names the request in every daemon that it passes.
	ID string
	// Token is the name that the caller gave the request, or empty. The answer
	// of an upstream carries it too.
	Token string
	// Host and Path choose the route where there are routes.
	Host string
	Path string
	// Service is the name in the Host header, or what the route names.
	Service string
	// Caller is the name that selectors match.
	Caller string
	// Method is the HTTP method in upper case.
	Method string
	// Repeat is what the route says of running the request twice.
	Repeat Repeat
	// Route is the name of the route, where there are routes.
	Route string
	// Work is how long the request is expected to hold a slot at the usual pace;
	// 0 when not known.
	Work time.Duration
	// Patient is true when the request is not to be turned away for a slow spell
	// of the upstream: there is nowhere better.
	Patient bool
	// Upstream names the life of the upstream that may run the request; empty
	// means any.
	Upstream string
	// Key is the Idempotency-Key, or empty.
	Key string
	// Fingerprint tells requests apart that share a key, and groups the
	// resends of one request.
	Fingerprint uint64
	// Deadline is the moment after which the caller no longer waits.
	Deadline time.Time
	// Target is the moment after which an answer is worth much less; zero when
	// nobody says.
	Target time.Time
	// Priority decides who waits when an upstream is full.
	Priority Priority
	// Attempt counts the tries made before this one, here and above.
	Attempt int
	// Hops counts the daemons that have handed the request on.
	Hops int
	// Issue is true for a caller that asks for a key at KeyPath.
	Issue bool
	// Granted is true for a keyed request that its key's home has let run.
	Granted bool
	// BodyBytes is the length of the body, as far as it is known.
	BodyBytes int
	// Replayable is true when the whole body is held and can be sent again.
	Replayable bool
}

// Keyed reports whether the request may run only by the word of its key's home.
func (r Request) Keyed() bool {
	return r.Key != "" && !r.Idempotent()
}

// Idempotent reports whether running the request twice is the same as running
// it once, by the route or else by the methods of RFC 9110, section 9.2.2.
func (r Request) Idempotent() bool {
	if r.Issue {
		// A key that nobody uses costs nothing.
		return true
	}
	if r.Repeat != ByMethod {
		return r.Repeat == Safe
	}
	switch r.Method {
	case "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE":
		return true
	}
	return false
}
