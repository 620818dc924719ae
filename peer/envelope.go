package peer

import (
	"encoding/json"
	"errors"
)

var (
	// ErrFrame means that a frame's length is malformed or above the bound.
	ErrFrame = errors.New("peer: bad frame")
	// ErrBacklog means that a connection's messages are not taken fast enough.
	ErrBacklog = errors.New("peer: backlog full")
)

// Envelope is one control message. Kind is the jsonrpc2 method; the rest are
// its parameters.
type Envelope struct {
	Kind string `json:"-"`
	// From and Incarnation name the daemon that sends.
	From        string `json:"from"`
	Incarnation uint64 `json:"incarnation"`
	// Control is the sender's own address, for a receiver that does not know it
	// yet.
	Control string `json:"control"`
	// To names the daemon that is meant. An address may have passed to another
	// instance, which then drops the message.
	To   string          `json:"to,omitempty"`
	Body json.RawMessage `json:"body,omitempty"`
}
