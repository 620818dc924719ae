package call

// Outcome states whether a request was run.
type Outcome string

// The outcomes that are reported to callers.
const (
	Run     Outcome = "run"
	NotRun  Outcome = "notRun"
	Unknown Outcome = "unknown"
)

// Reason is the reason for an Outcome, as one word.
type Reason string

// The reasons that are reported to callers.
const (
	Answered         Reason = "answered"
	BadRequest       Reason = "badRequest"
	BodyLate         Reason = "bodyLate"
	BodyTooLarge     Reason = "bodyTooLarge"
	Cancelled        Reason = "cancelled"
	ConnectFailed    Reason = "connectFailed"
	ConnectionLost   Reason = "connectionLost"
	DeadlineExceeded Reason = "deadlineExceeded"
	Evacuated        Reason = "evacuated"
	InProgress       Reason = "inProgress"
	InvalidResponse  Reason = "invalidResponse"
	KeyExpired       Reason = "keyExpired"
	KeyHomeGone      Reason = "keyHomeGone"
	KeyReused        Reason = "keyReused"
	Leaving          Reason = "leaving"
	NoConfiguration  Reason = "noConfiguration"
	NoSelector       Reason = "noSelector"
	NoUpstream       Reason = "noUpstream"
	Overloaded       Reason = "overloaded"
	Quarantined      Reason = "quarantined"
	Replayed         Reason = "replayed"
	RouteClosed      Reason = "routeClosed"
	ShortBody        Reason = "shortBody"
	Slow             Reason = "slow"
	Stale            Reason = "stale"
	UnknownService   Reason = "unknownService"
	UpstreamCrashed  Reason = "upstreamCrashed"
	UpstreamReplaced Reason = "upstreamReplaced"
	UpstreamShed     Reason = "upstreamShed"
	WrongIncarnation Reason = "wrongIncarnation"
	WrongRegion      Reason = "wrongRegion"
)

// Status returns the HTTP status of a response that pomelodoor generates itself
// because it has no response of an upstream to pass on.
func Status(outcome Outcome, reason Reason) int {
	switch reason {
	case BadRequest, ShortBody:
		return 400
	case NoSelector:
		return 403
	case UnknownService:
		return 404
	case BodyLate:
		return 408
	case InProgress, KeyReused, Replayed:
		return 409
	case BodyTooLarge:
		return 413
	case DeadlineExceeded:
		return 504
	}
	if outcome == NotRun {
		return 503
	}
	return 502
}
