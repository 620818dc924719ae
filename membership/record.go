package membership

import "time"

// Instance says what an instance is and where it is reached. Addresses have
// the form IP:PORT.
type Instance struct {
	// ID names the instance; a replacement may take the same ID.
	ID string `json:"id"`
	// Service is the service that its upstream belongs to.
	Service          string `json:"service"`
	AvailabilityZone string `json:"availabilityZone"`
	Region           string `json:"region"`
	// Listen takes callers, Peer takes requests of other daemons, Control
	// takes control messages of other daemons.
	Listen  string `json:"listen"`
	Peer    string `json:"peer"`
	Control string `json:"control"`
	// Upstream names the life of the upstream, so that another one at the same
	// address can refuse what was meant for it; empty when not known.
	Upstream string `json:"upstream,omitempty"`
	// Slots is how many calls the upstream runs at once; 0 when not known.
	Slots int `json:"slots,omitempty"`
	// ColdUntil is until when the upstream is slow after its start.
	ColdUntil time.Time `json:"coldUntil,omitzero"`
}

// Name returns what operators call the instance: the name of its upstream where
// that has one of its own.
func (i Instance) Name() string {
	if i.Upstream != "" {
		return i.Upstream
	}
	return i.ID
}

// State says whether an instance may be given work.
type State string

// The states of an instance. Within one incarnation and sequence a state only
// moves from the first to the last of these.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// rank orders states; unknown ones come first and lose against all others.
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

// Record is what daemons tell each other of one instance.
type Record struct {
	Instance
	// Incarnation names one life of the instance's daemon. Zero means that
	// only the platform's list has spoken of it.
	Incarnation uint64 `json:"incarnation"`
	// Sequence is raised by the instance itself to deny that it is gone. At
	// incarnation zero it is the version of the list.
	Sequence uint64 `json:"sequence"`
	State    State  `json:"state"`
}

// Order returns the record's place among the records of its instance: the
// incarnation first, then the sequence and the state in one number.
func (r Record) Order() (incarnation, rest uint64) {
	return r.Incarnation, r.Sequence<<2 | r.State.rank()
}

// Newer reports whether r takes the place of other, both of one instance.
func (r Record) Newer(other Record) bool {
	incarnation, rest := r.Order()
	otherIncarnation, otherRest := other.Order()
	if incarnation != otherIncarnation {
		return incarnation > otherIncarnation
	}
	return rest > otherRest
}

// valid reports whether a record can be stored at all.
func (r Record) valid() bool { return r.ID != "" && r.State.rank() > 0 }
