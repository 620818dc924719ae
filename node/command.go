package node

import (
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/peer"
	"pomelodoor.example/pomelodoor/spread"
)

// Command is an action to be carried out by the caller of Node.Update. This
// file defines all implementations.
type Command interface{ command() }

// Forward sends a caller's request to a daemon, which may be this one.
type Forward struct {
	ID string
	// Number identifies the attempt within its call, starting at 1.
	Number int
	To     membership.Instance
	// Incarnation is that of the addressed daemon; 0 if it is not known.
	Incarnation uint64
	// Request is the request to forward, with an ID of its own.
	Request call.Request
	// Choice describes the basis of the choice of instance, and Routes is the
	// revision of the routes document; 0 without one.
	Choice balance.Choice
	Routes uint64
}

// CancelForward ends an attempt whose answer is no longer wanted.
type CancelForward struct {
	ID     string
	Number int
}

// Answer answers the caller on behalf of pomelodoor itself.
type Answer struct {
	ID      string
	Outcome call.Outcome
	Reason  call.Reason
	// RetryAfter is the delay after which the caller of a request that did not
	// run may try again; zero means none is stated.
	RetryAfter time.Duration
}

// Deliver passes the answer of an attempt to the caller.
type Deliver struct {
	ID     string
	Number int
}

// HedgeAfter requests a HedgeDue after a delay.
type HedgeAfter struct {
	ID    string
	Delay time.Duration
}

// Run sends a request to the local upstream.
type Run struct {
	ID string
	// SendBefore is the latest time to send it; zero means that only the request's
	// deadline applies.
	SendBefore time.Time
	// Pace is the upstream's current pace in percent of nominal; 0 if not
	// known.
	Pace int
	// UpstreamIncarnation is the incarnation of the upstream that the request is for;
	// empty means any.
	UpstreamIncarnation string
}

// Refuse answers the sender of a PeerRequest that ends without a Run.
type Refuse struct {
	ID      string
	Outcome call.Outcome
	Reason  call.Reason
	// Status is that of the first run's answer if Reason is call.Replayed and
	// Outcome is call.Run. Body is its body if BodyComplete is true; otherwise the
	// body was too long to keep.
	Status       int
	Body         []byte
	BodyComplete bool
}

// HandOn forwards a request to a sibling and answers its sender with the
// sibling's answer. It ends with HandOnEnded.
type HandOn struct {
	ID          string
	To          membership.Instance
	Incarnation uint64
	Request     call.Request
}

// CorrectOutcome corrects the outcome of a run or a HandOn that has just ended: a home
// that was paused or cut off can no longer report notRun for a key.
type CorrectOutcome struct {
	ID      string
	Outcome call.Outcome
}

// CancelRun ends a Run whose sender no longer waits for the answer.
type CancelRun struct {
	ID string
}

// Probe reads the load of the local upstream.
type Probe struct{}

// CancelProbe cancels the Probe in progress.
type CancelProbe struct{}

// ReadPlatform reads once from the platform's service. It is answered by
// IndexRead, ValueRead, InstancesRead or ReadFailed.
type ReadPlatform struct {
	Read spread.Read
}

// GateAfter requests a GateDue after a delay.
type GateAfter struct {
	After time.Duration
}

// RereadStore ends the watches of the store and queries it again.
type RereadStore struct{}

// Send sends a control message to the control address of another daemon.
type Send struct {
	Address  string
	Envelope peer.Envelope
}

// LogEntry is a log entry for operators.
type LogEntry struct {
	// Part is the log prefix of the component that reports.
	Part string
	Text string
	// Warn marks an entry that may need an operator's attention.
	Warn bool
	// Fields alternates between names and values.
	Fields []any
}

func (Forward) command()        {}
func (CancelForward) command()  {}
func (Answer) command()         {}
func (Deliver) command()        {}
func (HedgeAfter) command()     {}
func (Run) command()            {}
func (Refuse) command()         {}
func (HandOn) command()         {}
func (CorrectOutcome) command() {}
func (CancelRun) command()      {}
func (Probe) command()          {}
func (CancelProbe) command()    {}
func (ReadPlatform) command()   {}
func (GateAfter) command()      {}
func (RereadStore) command()    {}
func (Send) command()           {}
func (LogEntry) command()       {}
