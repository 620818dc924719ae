package once

import "pomelodoor.example/pomelodoor/call"

// neverMs is sent in place of the age of an event that has not happened.
const neverMs int64 = -1

// Heartbeat reports to the other homes of a service that its sender is running,
// what it has received from each of them, and which other incarnations exist.
// All times are durations in milliseconds by the sender's clock, so that the
// clocks need not agree.
type Heartbeat struct {
	From Incarnation `json:"from"`
	// SentMs is the time since the sender's start. Receivers echo it.
	SentMs int64 `json:"sentMs"`
	// HorizonMs is the age of the sender's horizon, since which it knows every
	// incarnation that may have let a key run; -1 if it has none.
	HorizonMs int64 `json:"horizonMs"`
	// Retired is true in the final heartbeat: the sender runs no more keys.
	Retired bool         `json:"retired"`
	Peers   []PeerReport `json:"known"`
	// Records lists the keys chosen by callers that ran or may have run at the
	// sender, if Retired.
	Records []HandedRecord `json:"records,omitempty"`
}

// PeerReport is what the sender of a heartbeat knows of another incarnation.
type PeerReport struct {
	Incarnation
	// EchoMs is SentMs of the newest heartbeat received from the incarnation,
	// or -1.
	EchoMs int64 `json:"echoMs"`
	// ReceivedMs is how long ago the sender last received a message from it, or
	// -1.
	ReceivedMs int64 `json:"heardMs"`
	// SeenMs is how long ago any daemon last received a message from it, as far
	// as the sender knows.
	SeenMs int64 `json:"seenMs"`
	// IgnoredMs is how long ago the sender last let a key run without
	// accounting for the incarnation, or -1 if it never did.
	IgnoredMs int64 `json:"ranMs"`
	// Retired is true if the incarnation has stopped for good, StoppedMs ago at
	// the latest. StoppedMs is negative if that time is in the future.
	Retired   bool  `json:"retired,omitempty"`
	StoppedMs int64 `json:"stoppedMs,omitempty"`
	// HoldsRecords is true if the sender has all records that the incarnation
	// handed over.
	HoldsRecords bool `json:"holds,omitempty"`
}

// HandedRecord is a record that a retiring home hands over to the others.
type HandedRecord struct {
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fingerprint"`
	Status      int    `json:"status"`
	// Ran is true if the run ended with Status; otherwise the outcome is unknown.
	Ran         bool  `json:"ran"`
	RemainingMs int64 `json:"leftMs"`
}

// Claim is a query to another home whether it has run a key. It also makes that
// home record that the sender may run the key.
type Claim struct {
	From        Incarnation `json:"from"`
	To          Incarnation `json:"to"`
	Key         string      `json:"key"`
	Fingerprint uint64      `json:"fingerprint"`
	// Attempt is copied to the reply, to match it to the claim.
	Attempt uint64 `json:"attempt"`
	// WindowMs is how long ago the key may have run at the earliest.
	WindowMs int64 `json:"windowMs"`
}

// Verdict is the decision of a home on a claim.
type Verdict string

// The verdicts.
const (
	// Granted: the home has not run the key, and will query the claimant before
	// it does.
	Granted Verdict = "granted"
	// Busy: the home is running the key, or is querying other homes for it.
	Busy Verdict = "busy"
	// Done: the home knows that the key ran or may have run.
	Done Verdict = "done"
	// Reused: the home has the key with another fingerprint.
	Reused Verdict = "reused"
	// Full: the home has no capacity for another record.
	Full Verdict = "full"
	// WrongTarget: the claim was for another incarnation.
	WrongTarget Verdict = "mistaken"
)

// Reply answers a Claim.
type Reply struct {
	From    Incarnation `json:"from"`
	To      Incarnation `json:"to"`
	Key     string      `json:"key"`
	Attempt uint64      `json:"attempt"`
	Verdict Verdict     `json:"verdict"`
	// Grantees were granted the key earlier and must be queried too.
	Grantees []Incarnation `json:"holders,omitempty"`
	// Attested lists the incarnations that cannot have run the key without the
	// sender's knowledge.
	Attested []Incarnation `json:"vouched,omitempty"`
	// Answer is set when the verdict is Done.
	Answer StoredAnswer `json:"answer"`
}

// StoredAnswer is the stored part of the answer to a request that ran.
type StoredAnswer struct {
	// Outcome is Run, or Unknown if it is not known how the run ended.
	Outcome call.Outcome `json:"outcome"`
	Status  int          `json:"status"`
	// Body is the answer's body if BodyComplete; otherwise only the status is stored.
	Body         []byte `json:"body,omitempty"`
	BodyComplete bool   `json:"whole"`
}
