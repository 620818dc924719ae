package call

// Headers that callers may send and receive. docs/operators/outcomes.md documents
// their meaning for callers.
const (
	HeaderCaller   = "Pomelodoor-Caller"
	HeaderDeadline = "Pomelodoor-Deadline-Ms"
	HeaderKey      = "Idempotency-Key"
	HeaderOutcome  = "Pomelodoor-Outcome"
	HeaderReason   = "Pomelodoor-Reason"
	HeaderAttempt  = "Pomelodoor-Attempt"
	HeaderCall     = "Pomelodoor-Call"
	// HeaderBodyKept is "false" on the response to a resend if the body of the
	// first response was too long to keep.
	HeaderBodyKept = "Pomelodoor-Body-Kept"
)

// KeyPath is the path to which a caller sends a POST to get an idempotency key. The
// body of the response is the key.
const KeyPath = "/.well-known/pomelodoor/key"

// Headers that daemons send only to each other. Package ingress defines their
// fields.
const (
	HeaderForward = "Pomelodoor-Forward"
	HeaderAnswer  = "Pomelodoor-Answer"
	// HeaderCopy asks another daemon for its copy of the store. Its value is the
	// store revision that the requesting daemon has; an older copy is not sent.
	HeaderCopy = "Pomelodoor-Copy"
	// HeaderPoll makes HeaderCopy ask for the changes after its revision. Its value
	// is how long to wait for one, and how long ago the sender's own copy was
	// confirmed, both in milliseconds.
	HeaderPoll = "Pomelodoor-Poll"
	// HeaderEra holds the store's era of the revision in HeaderCopy. Daemons without it
	// know no eras.
	HeaderEra = "Pomelodoor-Era"
)
