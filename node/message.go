package node

import (
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/measure"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/peer"
	"pomelodoor.example/pomelodoor/spread"
)

// Message is an event passed to Node.Update. This file defines all
// implementations.
type Message interface{ message() }

// CallerRequest reports that a caller's request has arrived, with its body
// buffered or ready to stream.
type CallerRequest struct {
	Request call.Request
}

// CallerLeft reports that the caller no longer waits for its answer.
type CallerLeft struct {
	ID string
}

// AttemptEnded reports the result of a Forward.
type AttemptEnded struct {
	ID     string
	Number int
	Result Attempt
}

// Attempt is the result of one attempt of a call at one daemon.
type Attempt struct {
	Outcome call.Outcome
	Reason  call.Reason
	// Status is the HTTP status of the upstream's answer if Outcome is Run.
	Status int
	// Latency is the time until the answer could be delivered.
	Latency time.Duration
	// RemoteTime is the part of Latency that the other daemon reports as its own
	// processing time.
	RemoteTime time.Duration
	// Work is the duration of the run, converted to its upstream's nominal
	// pace; 0 if not known.
	Work time.Duration
	// Answered is true if the other daemon itself reported the outcome, false
	// if it could not be reached.
	Answered bool
	// Unreachable is true if no connection could be opened.
	Unreachable bool
	// BodyConsumed is true if part of a streamed body has been consumed.
	BodyConsumed bool
	// Load is the other daemon's load report; HasLoad is false without one.
	Load    balance.Load
	HasLoad bool
}

// HedgeDue reports that the delay of a HedgeAfter has passed.
type HedgeDue struct {
	ID string
}

// PeerRequest is a request by another daemon, or by this daemon's own ingress,
// to run a call on this daemon's upstream.
type PeerRequest struct {
	Request call.Request
	From    string
	// Target and Incarnation identify the daemon that the sender addresses;
	// Incarnation is 0 if the sender does not know it.
	Target      string
	Incarnation uint64
}

// PeerLeft reports that the sender of a PeerRequest no longer waits.
type PeerLeft struct {
	ID string
}

// RunEnded reports the result of a Run.
type RunEnded struct {
	ID      string
	Outcome call.Outcome
	Reason  call.Reason
	Status  int
	// Latency is the time that the upstream took.
	Latency time.Duration
	// Crashed is true if the upstream's connection broke before its answer.
	Crashed bool
	// Body is the answer, if it is short enough to keep for a resend.
	Body []byte
	// Reading is the load that the upstream reported with its answer;
	// HasReading is false without one.
	Reading    measure.Reading
	HasReading bool
}

// HandOnEnded reports the result of a HandOn.
type HandOnEnded struct {
	ID     string
	Result Attempt
	// Body is the answer, if it is short enough to keep for a resend.
	Body []byte
}

// ProbeEnded is the result of a Probe: a reading or an error.
type ProbeEnded struct {
	Reading measure.Reading
	Err     error
}

// PeerMessage is a control message received from another daemon.
type PeerMessage struct {
	Envelope peer.Envelope
}

// IndexRead is the platform's index of changed keys.
type IndexRead struct {
	Version uint64
	Keys    []spread.KeyVersion
}

// ValueRead is a document as held by the platform, with the platform's version
// number.
type ValueRead struct {
	Key     string
	Version uint64
	Body    []byte
}

// ReadFailed reports that a ReadPlatform failed.
type ReadFailed struct {
	Read spread.Read
}

// InstancesRead is the platform's list of instances.
type InstancesRead struct {
	Entries []membership.ListEntry
	Version uint64
}

// InstancesListed is the complete list of the store at a revision of an era.
type InstancesListed struct {
	List     []membership.StoreEntry
	Era      uint64
	Revision uint64
}

// ZonesEvacuated is the complete list of the availability zones that the store evacuates, at
// a revision. It precedes the InstancesListed of the same revision.
type ZonesEvacuated struct {
	Zones    []string
	Revision uint64
}

// DocumentRead is a document of the store, or why it is refused. It is parsed before, as
// nothing else is decided while the node handles a message.
type DocumentRead struct {
	Key      string
	Document config.Document
	Err      error
}

// DocumentsComplete reports that every document of the store has been read.
type DocumentsComplete struct{}

// StoreAnswered reports that the store has answered a query sent after the last
// RereadStore.
type StoreAnswered struct{}

// GateDue reports that the delay of a GateAfter has passed.
type GateDue struct{}

// Tick reports that time has passed. It must be sent several times a second.
type Tick struct{}

// Shutdown asks the daemon to stop once its work is done, and at AnswerBy at the latest;
// zero is no limit.
type Shutdown struct{ AnswerBy time.Time }

// Closing reports that this daemon is about to close its ports.
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
func (ZonesEvacuated) message()    {}
func (DocumentRead) message()      {}
func (DocumentsComplete) message() {}
func (StoreAnswered) message()     {}
func (Tick) message()              {}
func (Shutdown) message()          {}
func (Closing) message()           {}
