package spread

import "time"

// Message is a message from one daemon to another. Any of its parts may be
// absent.
type Message struct {
	From        string `json:"from"`
	Incarnation uint64 `json:"incarnation"`
	// PlatformAgeMs is the time since the platform's last answer to the sender
	// or to any daemon that it knows about; negative if there was none.
	PlatformAgeMs int64 `json:"platformAgeMs"`
	// Confirmed is true if the sender is confirmed; see State.Confirmed.
	Confirmed bool       `json:"confirmed,omitempty"`
	Summary   *Summary   `json:"summary,omitempty"`
	RootMatch *RootMatch `json:"same,omitempty"`
	Offers    []Offer    `json:"offers,omitempty"`
	// Leaves lists the leaves of the hash tree whose items are all in Offers,
	// so that the receiver can offer the ones that the sender lacks.
	Leaves []byte   `json:"leaves,omitempty"`
	Want   []string `json:"want,omitempty"`
	Items  []Item   `json:"items,omitempty"`
}

// Summary contains hashes of nodes of the sender's hash tree.
type Summary struct {
	// Round numbers the comparison that began with this summary.
	Round uint64 `json:"round"`
	// Level is 0 for the root, 1 for its 16 children and 2 for the 256 leaves.
	Level int `json:"level"`
	// Nodes lists nodes of the level; Hashes has 8 bytes for each.
	Nodes  []byte `json:"nodes"`
	Hashes []byte `json:"hashes"`
}

// RootMatch answers a root summary whose hash equals that of the answering daemon.
type RootMatch struct {
	Round uint64 `json:"round"`
}

// ActionKind is the kind of an Action.
type ActionKind string

// The kinds of Action.
const (
	// Send requests sending Message to the instance To.
	Send ActionKind = "send"
	// ReadPlatform requests performing Read.
	ReadPlatform ActionKind = "readPlatform"
	// Deliver passes on an Item that is newer than any previous one of its key.
	Deliver ActionKind = "deliver"
	// Refuse reports that an Item from the platform or another daemon was
	// refused because of Err.
	Refuse ActionKind = "refuse"
)

// Action is an operation that a State requests from its caller.
type Action struct {
	Kind    ActionKind
	To      string
	Message Message
	Read    Read
	Item    Item
	Err     error
}

// message returns a message with the fields common to all messages.
func (s *State) message(now time.Time) Message {
	m := Message{
		From:          s.config.Self,
		Incarnation:   s.config.Incarnation,
		PlatformAgeMs: -1,
		Confirmed:     s.Confirmed(now),
	}
	if !s.reading.lastAnswer.IsZero() {
		m.PlatformAgeMs = now.Sub(s.reading.lastAnswer).Milliseconds()
	}
	return m
}
