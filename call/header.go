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
)

// Headers that only daemons send to each other.
const (
	HeaderFrom        = "Pomelodoor-From"
	HeaderTarget      = "Pomelodoor-Target"
	HeaderIncarnation = "Pomelodoor-Incarnation"
	HeaderHops        = "Pomelodoor-Hops"
	HeaderLoad        = "Pomelodoor-Load"
	HeaderSpent       = "Pomelodoor-Spent-Us"
	HeaderPriority    = "Pomelodoor-Priority"
	HeaderFingerprint = "Pomelodoor-Fingerprint"
)
