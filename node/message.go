package node

import (
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/measure"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/peer"
	"pomelodoor.example/pomelodoor/spread"
)

// Message is something that happened. The types in this file are all there
// are.
type Message interface{ message() }

// CallerRequest says that a caller's request has arrived, its body held or
// ready to stream.
type CallerRequest struct {
	Request call.Request
}

// CallerLeft says that the caller no longer waits for its answer.
type CallerLeft struct {
	ID string
}

// AttemptEnded says what became of a Forward.
type AttemptEnded struct {
	ID     string
	Number int
	Result Attempt
}

// Attempt is what became of one try of a call at one daemon.
type Attempt struct {
	Outcome call.Outcome
	Reason  call.Reason
	// Status is the HTTP status of the upstream's answer when Outcome is Run.
	Status int
	// Latency is the time until the answer could be passed on.
	Latency time.Duration
	// Spent is the part of Latency that the other daemon says it took.
	Spent time.Duration
	// Work is how long the run took at its upstream's usual pace; 0 when not
	// known.
	Work time.Duration
	// Answered means that the other daemon itself said so, rather than that it
	// could not be asked.
	Answered bool
	// Unreachable means that no connection could be opened.
	Unreachable bool
	// BodyTaken means that part of a streamed body is gone.
	BodyTaken bool
	// Load is the other daemon's report; HasLoad is false without one.
	Load    balance.Load
	HasLoad bool
}

// HedgeDue says that the delay of a HedgeAfter has passed.
type HedgeDue struct {
	ID string
}

// PeerRequest says that another daemon, or this one's own ingress, wants a
// call to run on this daemon's upstream.
type PeerRequest struct {
	Request call.Request
	From    string
	// Target and Incarnation name the daemon that the sender means; 0 is an
	// incarnation that it does not know.
	Target      string
	Incarnation uint64
}

// PeerLeft says that the sender of a PeerRequest no longer waits.
type PeerLeft struct {
	ID string
}

// RunEnded says what became of a Run.
type RunEnded struct {
	ID      string
	Outcome call.Outcome
	Reason  call.Reason
	Status  int
	// Latency is the time that the upstream took.
	Latency time.Duration
	// Crashed means that the upstream's connection broke before its answer.
	Crashed bool
	// Body is the answer when it is short enough to keep for a resend.
	Body []byte
	// Reading is the upstream's own account with its answer; HasReading is
	// false without one.
	Reading    measure.Reading
	HasReading bool
}

// HandOnEnded says what became of a HandOn.
type HandOnEnded struct {
	ID     string
	Result Attempt
	// Body is the answer when it is short enough to keep for a resend.
	Body []byte
}

// ProbeEnded says what a Probe read, or why it read nothing.
type ProbeEnded struct {
	Reading measure.Reading
	Err     error
}

// PeerMessage brings a control message of another daemon.
type PeerMessage struct {
	Envelope peer.Envelope
}

// IndexRead brings the platform's index of changed keys.
type IndexRead struct {
	Version uint64
	Keys    []spread.KeyVersion
}

// ValueRead brings a document that the platform holds at a version of its own.
type ValueRead struct {
	Key     string
	Version uint64
	Body    []byte
}

// ReadFailed says that a ReadPlatform brought nothing.
type ReadFailed struct {
	Read spread.Read
}

// InstancesRead brings the platform's list of instances.
type InstancesRead struct {
	Entries []membership.ListEntry
	Version uint64
}

// InstancesListed brings the whole list of the users' store, as of a revision.
type InstancesListed struct {
	List     []membership.Listing
	Revision uint64
}

// DocumentRead brings a document of the users' store, or the error that kept it
// from being read.
type DocumentRead struct {
	Key  string
	Body []byte
	Err  error
}

// DocumentsComplete says that every document of the users' store has been read.
type DocumentsComplete struct{}

// StoreAnswered says that the users' store has answered a question that was
// asked after the last RereadStore.
type StoreAnswered struct{}

// GateDue says that the delay of a WakeGate has passed.
type GateDue struct{}

// Tick says that time has passed. It must come several times a second.
type Tick struct{}

// Shutdown says that this daemon is to stop once its work is done.
type Shutdown struct{}

// Closing says that this daemon is about to close its ports.
type Closing struct{}

func (CallerRequest) message()     {}
func (CallerLeft) message()        {}
func (AttemptEnded) message()      {}
func (HedgeDue) message()          {}
func (PeerRequest) message()       {}
func (PeerLeft) message()          {}
func (RunEnded) message()          {}
func (HandOnEnded) message()       {}
func (ProbeEnded) message()        {}
func (PeerMessage) message()       {}
func (IndexRead) message()         {}
func (ValueRead) message()         {}
func (ReadFailed) message()        {}
func (InstancesRead) message()     {}
func (GateDue) message()           {}
func (InstancesListed) message()   {}
func (DocumentRead) message()      {}
func (DocumentsComplete) message() {}
func (StoreAnswered) message()     {}
func (Tick) message()              {}
func (Shutdown) message()          {}
func (Closing) message()           {}
