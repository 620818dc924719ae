package call

import (
	"strconv"
	"time"
)

// Priority determines the order of requests when an upstream is overloaded.
type Priority string

// The priorities, from the first served to the first shed.
const (
	High   Priority = "high"
	Normal Priority = "normal"
	Low    Priority = "low"
)

// PriorityOfRank returns the priority with the rank that a route sets; 0 is served
// first.
func PriorityOfRank(rank int) Priority { return Priority(strconv.Itoa(rank)) }

// Rank returns the rank of the priority; 0 is served first.
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

// Repeat states whether a request may run more than once.
type Repeat string

// The values of Repeat. With the zero value the HTTP method decides.
const (
	ByMethod Repeat = ""
	Safe     Repeat = "safe"
	Unsafe   Repeat = "unsafe"
)

// Request describes one request without its body.
type Request struct {
	// ID identifies the request at every daemon that it passes through.
	ID string
	// Token is the request identifier set by the caller, or empty. The upstream's
	// response carries it too.
	Token string
	// Host and Path select the route, if there are routes.
	Host string
	Path string
	// Service is the name in the Host header, or the service of the route.
	Service string
	// Caller is the name of the caller, which selectors match.
	Caller string
	// Method is the HTTP method in upper case.
	Method string
	// Repeat is the route's setting of whether the request may run more than once.
	Repeat Repeat
	// Route is the name of the route, if there are routes.
	Route string
	// ExpectedWork is how long the request is expected to hold a slot at nominal
	// pace; 0 if unknown. The pace of an upstream is its current processing time in
	// percent of nominal.
	ExpectedWork time.Duration
	// WorkSpread is the mean deviation of the work from ExpectedWork.
	WorkSpread time.Duration
	// ParentToken is the token of the request whose run makes this call, as far as the
	// token of the call tells; "" if it tells none.
	ParentToken string
	// Nested is true for a call that an upstream makes while it runs another request.
	Nested bool
	// WaitWhenSlow is true if a slow period of the upstream must not cause the
	// request to be refused, since no other upstream would be better.
	WaitWhenSlow bool
	// UpstreamIncarnation names the incarnation of the upstream that may run the
	// request; empty allows any.
	UpstreamIncarnation string
	// Key is the value of the Idempotency-Key header, or empty.
	Key string
	// Fingerprint distinguishes requests that share a key, and identifies the
	// resends of one request.
	Fingerprint uint64
	// Deadline is the time until which the caller waits.
	Deadline time.Time
	// Target is the time after which a response is worth much less; zero if none is
	// set.
	Target time.Time
	// Priority determines which requests wait when an upstream is full.
	Priority Priority
	// Attempt counts the earlier attempts, by this daemon and by the callers before it.
	Attempt int
	// Hops counts the daemons that have forwarded the request to a sibling.
	Hops int
	// KeyRequest is true for a request for a key, sent to KeyPath.
	KeyRequest bool
	// KeyGranted is true for a keyed request that the home of its key has allowed
	// to run.
	KeyGranted bool
	// BodyBytes is the length of the body, as far as known.
	BodyBytes int
	// Replayable is true if the whole body is in memory and can be sent again.
	Replayable bool
}

// Keyed reports whether the request needs the permission of its key's home to run.
func (r Request) Keyed() bool {
	return r.Key != "" && !r.Idempotent()
}

// Idempotent reports whether running the request twice has the same effect as
// running it once, by the route or else by its method (RFC 9110, section 9.2.2).
func (r Request) Idempotent() bool {
	if r.KeyRequest {
		// An unused key has no cost.
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
