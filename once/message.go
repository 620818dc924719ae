package once

import "pomelodoor.example/pomelodoor/call"

// never stands in messages for a time that has not come.
const never int64 = -1

// Heartbeat tells the other homes of a service that its sender runs, which of
// them it has heard, and which other incarnations there are. All times are
// ages in milliseconds by the sender's clock, so that no two clocks need to
// agree.
type Heartbeat struct {
	From Incarnation `json:"from"`
	// SentMs is the sender's time since its start. Receivers send it back.
	SentMs int64 `json:"sentMs"`
	// HorizonMs is how far back the sender knows every incarnation that may
	// have let a key run, or -1 if it does not know that at all.
	HorizonMs int64 `json:"horizonMs"`
	// Retired is true in the last heartbeat: the sender runs no key any more.
	Retired bool    `json:"retired"`
	Known   []Known `json:"known"`
	// Records is the sender's whole memory, when Retired.
	Records []Handed `json:"records,omitempty"`
}

// Known is what the sender of a heartbeat knows of another incarnation.
type Known struct {
	Incarnation
	// EchoMs is SentMs of the newest heartbeat received from it, or -1.
	EchoMs int64 `json:"echoMs"`
	// HeardMs is how long ago the sender heard it directly, or -1.
	HeardMs int64 `json:"heardMs"`
	// SeenMs is how long ago it was heard by anyone the sender knows of.
	SeenMs int64 `json:"seenMs"`
	// RanMs is how long ago the sender last let a key run without minding
	// this incarnation, or -1 if it never did.
	RanMs int64 `json:"ranMs"`
	// Retired is true if it has stopped for good, at the latest StoppedMs ago;
	// the time may lie ahead and the age be negative.
	Retired   bool  `json:"retired,omitempty"`
	StoppedMs int64 `json:"stoppedMs,omitempty"`
	// Holds is true if the sender has the whole memory that it left behind.
	Holds bool `json:"holds,omitempty"`
}

// Handed is one record that a retiring home leaves to the others.
type Handed struct {
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fingerprint"`
	Status      int    `json:"status"`
	// Ran is true if the run ended with Status; otherwise its end is unknown.
	Ran    bool  `json:"ran"`
	LeftMs int64 `json:"leftMs"`
}

// Claim asks another home whether it has run a key, and makes it remember that
// the sender may run it.
type Claim struct {
	From        Incarnation `json:"from"`
	To          Incarnation `json:"to"`
	Key         string      `json:"key"`
	Fingerprint uint64      `json:"fingerprint"`
	// Attempt matches replies to claims.
	Attempt uint64 `json:"attempt"`
	// WindowMs is how long ago the key may have been run at the earliest.
	WindowMs int64 `json:"windowMs"`
}

// Verdict is the answer of another home to a claim.
type Verdict string

// The verdicts.
const (
	// Granted: the home has not run the key and will ask the claimant first.
	Granted Verdict = "granted"
	// Busy: the home runs the key, or asks for it itself.
	Busy Verdict = "busy"
	// Done: the home knows that the key was run, or may have been.
	Done Verdict = "done"
	// Reused: the home knows the key with another fingerprint.
	Reused Verdict = "reused"
	// Full: the home cannot remember one more key.
	Full Verdict = "full"
	// Mistaken: the claim was for another incarnation.
	Mistaken Verdict = "mistaken"
)

// Reply answers a Claim.
type Reply struct {
	From    Incarnation `json:"from"`
	To      Incarnation `json:"to"`
	Key     string      `json:"key"`
	Attempt uint64      `json:"attempt"`
	Verdict Verdict     `json:"verdict"`
	// Holders were granted the key before and must be asked too.
	Holders []Incarnation `json:"holders,omitempty"`
	// Vouched names the incarnations that cannot have run the key without the
	// sender's knowledge.
	Vouched []Incarnation `json:"vouched,omitempty"`
	// Answer is set when the verdict is Done.
	Answer Answer `json:"answer"`
}

// Answer is what is kept of the answer to a request that ran.
type Answer struct {
	// Outcome is Run, or Unknown if the end of the run is not known.
	Outcome call.Outcome `json:"outcome"`
	Status  int          `json:"status"`
	// Body is the answer's body if Whole; otherwise only the status was kept.
	Body  []byte `json:"body,omitempty"`
	Whole bool   `json:"whole"`
}
