package membership

import "time"

// Instance describes an instance and its addresses, which have the form
// IP:PORT.
type Instance struct {
	// ID identifies the instance; a replacement may reuse it.
	ID string `json:"id"`
	// Service is the service of the instance's upstream.
	Service          string `json:"service"`
	AvailabilityZone string `json:"availabilityZone"`
	Region           string `json:"region"`
	// Listen accepts requests from callers, Peer requests from other daemons
	// and Control control messages from other daemons.
	Listen  string `json:"listen"`
	Peer    string `json:"peer"`
	Control string `json:"control"`
	// UpstreamIncarnation identifies the incarnation of the upstream, so that another
	// incarnation at the same address can refuse requests meant for it; empty
	// if unknown.
	UpstreamIncarnation string `json:"upstream,omitempty"`
	// Slots is the number of calls that the upstream runs concurrently; 0 if
	// unknown.
	Slots int `json:"slots,omitempty"`
	// ColdUntil is the end of the period in which the upstream is slow after
	// its start.
	ColdUntil time.Time `json:"coldUntil,omitzero"`
}

// Name returns the name that operators use for the instance: that of its
// upstream if known, otherwise the ID.
func (i Instance) Name() string {
	if i.UpstreamIncarnation != "" {
		return i.UpstreamIncarnation
	}
	return i.ID
}

// State determines whether an instance may receive work.
type State string

// The states of an instance. Within one incarnation and sequence, the state
// only advances in this order.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// rank orders states; an unknown state ranks below all others.
func (s State) rank() uint64 {
	switch s {
	case Live:
		return 1
	case Leaving:
		return 2
	case Gone:
		return 3
	}
	return 0
}

// Record is the information that daemons exchange about one instance.
type Record struct {
	Instance
	// Incarnation identifies one run of the instance's daemon. Zero means that
	// the instance is known only from the platform's list.
	Incarnation uint64 `json:"incarnation"`
	// Sequence is incremented only by the instance itself, to refute a report
	// that it is gone or to become live again after leaving. At incarnation
	// zero it is the version of the list.
	Sequence uint64 `json:"sequence"`
	State    State  `json:"state"`
}

// Version returns the key that orders the records of one instance: the
// incarnation, and the sequence and the state packed into one number.
func (r Record) Version() (incarnation, rest uint64) {
	return r.Incarnation, r.Sequence<<2 | r.State.rank()
}

// Newer reports whether r supersedes other, a record of the same instance.
func (r Record) Newer(other Record) bool {
	incarnation, rest := r.Version()
	otherIncarnation, otherRest := other.Version()
	if incarnation != otherIncarnation {
		return incarnation > otherIncarnation
	}
	return rest > otherRest
}

// valid reports whether the record has an ID and a known state.
func (r Record) valid() bool { return r.ID != "" && r.State.rank() > 0 }
