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

// Headers that only daemons send to each other.
const (
	HeaderFrom        = "Pomelodoor-From"
	HeaderTarget      = "Pomelodoor-Target"
	HeaderIncarnation = "Pomelodoor-Incarnation"
	HeaderHops        = "Pomelodoor-Hops"
	HeaderLoad        = "Pomelodoor-Load"
	HeaderGranted     = "Pomelodoor-Granted"
	HeaderSpent       = "Pomelodoor-Spent-Us"
	HeaderPriority    = "Pomelodoor-Priority"
	HeaderFingerprint = "Pomelodoor-Fingerprint"
	HeaderRepeat      = "Pomelodoor-Repeat"
	HeaderUpstream    = "Pomelodoor-Upstream"
	HeaderService     = "Pomelodoor-Service"
	HeaderRoute       = "Pomelodoor-Route"
	HeaderGoal        = "Pomelodoor-Goal-Ms"
	HeaderPatient     = "Pomelodoor-Patient"
	HeaderToken       = "Pomelodoor-Token"
)
