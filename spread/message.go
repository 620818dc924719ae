package spread

import "time"

// Message is what two daemons send each other. Any of its parts may be absent.
type Message struct {
	From        string `json:"from"`
	Incarnation uint64 `json:"incarnation"`
	// PlatformAgeMs is how long ago the sender, or any daemon that it has heard
	// of, last had an answer of the platform; below zero if never.
	PlatformAgeMs int64 `json:"platformAgeMs"`
	// Confirmed tells whether the sender has compared with the fleet.
	Confirmed bool     `json:"confirmed,omitempty"`
	Summary   *Summary `json:"summary,omitempty"`
	Same      *Same    `json:"same,omitempty"`
	Offers    []Offer  `json:"offers,omitempty"`
	// Leaves names the leaves of the hash tree whose items Offers lists in
	// full, so that the receiver can offer what the sender lacks.
	Leaves []byte   `json:"leaves,omitempty"`
	Want   []string `json:"want,omitempty"`
	Items  []Item   `json:"items,omitempty"`
}

// Summary holds hashes of nodes of the sender's hash tree.
type Summary struct {
	// Round numbers the comparison that began with this summary.
	Round uint64 `json:"round"`
	// Level is 0 for the root, 1 for its 16 children and 2 for the 256 leaves.
	Level int `json:"level"`
	// Nodes names nodes of the level, Hashes has 8 bytes for each.
	Nodes  []byte `json:"nodes"`
	Hashes []byte `json:"hashes"`
}

// Same answers a summary of the root that equals the receiver's own.
type Same struct {
	Round uint64 `json:"round"`
}

// ActionKind says what an Action asks for.
type ActionKind string

// The kinds of Action.
const (
	// Send asks to send Message to the instance To.
	Send ActionKind = "send"
	// ReadPlatform asks to carry out Read.
	ReadPlatform ActionKind = "readPlatform"
	// Deliver hands over an Item that is newer than any before it.
	Deliver ActionKind = "deliver"
	// Refuse reports that an Item of the platform or a daemon was not taken.
	Refuse ActionKind = "refuse"
)

// Action is one thing that a State asks to be done.
type Action struct {
	Kind    ActionKind
	To      string
	Message Message
	Read    Read
	Item    Item
	Err     error
}

// message returns a message with what every message tells.
func (s *State) message(now time.Time) Message {
	m := Message{
		From:          s.config.Self,
		Incarnation:   s.config.Incarnation,
		PlatformAgeMs: -1,
		Confirmed:     s.Confirmed(now),
	}
	if !s.reading.contact.IsZero() {
		m.PlatformAgeMs = now.Sub(s.reading.contact).Milliseconds()
	}
	return m
}
