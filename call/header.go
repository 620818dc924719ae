package call

// Headers that callers may send and receive. docs/operators/outcomes.md tells
// callers what each means.
const (
	HeaderCaller   = "Pomelodoor-Caller"
	HeaderDeadline = "Pomelodoor-Deadline-Ms"
	HeaderKey      = "Idempotency-Key"
	HeaderOutcome  = "Pomelodoor-Outcome"
	HeaderReason   = "Pomelodoor-Reason"
	HeaderAttempt  = "Pomelodoor-Attempt"
	HeaderCall     = "Pomelodoor-Call"
	// HeaderBodyKept is "false" on the answer to a resend when the body of the
	// first answer was too long to keep.
	HeaderBodyKept = "Pomelodoor-Body-Kept"
)

// KeyPath is the path at which a caller asks for a key by POST. The answer's
// body is the key.
const KeyPath = "/.well-known/pomelodoor/key"

// Headers that only daemons send to each other. Package ingress knows their
// fields.
const (
	HeaderForward = "Pomelodoor-Forward"
	HeaderAnswer  = "Pomelodoor-Answer"
	// HeaderCopy asks another daemon for its copy of the store. It holds the
	// store's revision that the asking one knows; an older copy is not sent.
	HeaderCopy = "Pomelodoor-Copy"
)
