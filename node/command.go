package node

import (
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/peer"
	"pomelodoor.example/pomelodoor/spread"
)

// Command is something to be done outside. The types in this file are all
// there are.
type Command interface{ command() }

// Forward sends a caller's request to a daemon, which may be this one.
type Forward struct {
	ID string
	// Number tells the attempts of one call apart, from 1.
	Number int
	To     membership.Instance
	// Incarnation of the daemon that is meant; 0 when it is not known.
	Incarnation uint64
	// Request is what to send on, with an ID of its own.
	Request call.Request
	// Choice is what the choice of the instance rests on, and Routes the revision
	// of the routes document; 0 without one.
	Choice balance.Choice
	Routes uint64
}

// CancelForward ends an attempt whose answer is no longer wanted.
type CancelForward struct {
	ID     string
	Number int
}

// Answer answers the caller for pomelodoor itself.
type Answer struct {
	ID      string
	Outcome call.Outcome
	Reason  call.Reason
	// ComeBack is when the caller of a request that did not run may try again;
	// zero says nothing.
	ComeBack time.Duration
}

// Deliver passes the answer of an attempt on to the caller.
type Deliver struct {
	ID     string
	Number int
}

// HedgeAfter asks for a HedgeDue after a delay.
type HedgeAfter struct {
	ID    string
	Delay time.Duration
}

// Run sends a request to this daemon's own upstream.
type Run struct {
	ID string
	// Before is the moment after which it must no longer be sent; zero means
	// that only the request's deadline binds.
	Before time.Time
	// Pace is the upstream's pace at this moment in percent of the usual; 0 when
	// not known.
	Pace int
	// Upstream names the life of the upstream that is meant; "" is any.
	Upstream string
}

// Refuse answers the sender of a PeerRequest that ends without a Run.
type Refuse struct {
	ID      string
	Outcome call.Outcome
	Reason  call.Reason
	// Status is that of the first run's answer when Reason is call.Replayed
	// and Outcome is call.Run. Body is its body when Whole is true; otherwise
	// it was too long to keep.
	Status int
	Body   []byte
	Whole  bool
}

// HandOn passes a request to a sibling, and answers its sender with what the
// sibling answers. It ends with HandOnEnded.
type HandOn struct {
	ID          string
	To          membership.Instance
	Incarnation uint64
	Request     call.Request
}

// Settled corrects the outcome of a run or of a HandOn that has just ended. A
// home that was paused or cut off may no longer say notRun of a key.
type Settled struct {
	ID      string
	Outcome call.Outcome
}

// CancelRun ends a Run whose answer nobody waits for.
type CancelRun struct {
	ID string
}

// Probe reads the load of this daemon's own upstream.
type Probe struct{}

// CancelProbe gives up the Probe under way.
type CancelProbe struct{}

// ReadPlatform reads the platform's service once. It is answered by IndexRead,
// ValueRead, InstancesRead or ReadFailed.
type ReadPlatform struct {
	Read spread.Read
}

// WakeGate asks for a GateDue after a delay.
type WakeGate struct {
	After time.Duration
}

// RereadStore ends the watches of the users' store and asks it anew.
type RereadStore struct{}

// Send sends a control message to another daemon's control address.
type Send struct {
	Address  string
	Envelope peer.Envelope
}

// Note is something that the operators should find in the log.
type Note struct {
	// Part is the fixed prefix of the part that speaks.
	Part string
	Text string
	// Warn marks what may need an operator.
	Warn bool
	// Fields are names and values by turns.
	Fields []any
}

func (Forward) command()       {}
func (CancelForward) command() {}
func (Answer) command()        {}
func (Deliver) command()       {}
func (HedgeAfter) command()    {}
func (Run) command()           {}
func (Refuse) command()        {}
func (HandOn) command()        {}
func (Settled) command()       {}
func (CancelRun) command()     {}
func (Probe) command()         {}
func (CancelProbe) command()   {}
func (ReadPlatform) command()  {}
func (WakeGate) command()      {}
func (RereadStore) command()   {}
func (Send) command()          {}
func (Note) command()          {}
