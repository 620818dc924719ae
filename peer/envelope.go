package peer

import (
	"encoding/json"
	"errors"
)

var (
	// ErrFrame means that the length of a frame is malformed or above the limit.
	ErrFrame = errors.New("peer: bad frame")
	// ErrBacklog means that the frames of a connection are not read fast enough.
	ErrBacklog = errors.New("peer: backlog full")
)

// Envelope is one control message. Kind is the jsonrpc2 method; the rest are
// its parameters.
type Envelope struct {
	Kind string `json:"-"`
	// From and Incarnation identify the sending daemon.
	From        string `json:"from"`
	Incarnation uint64 `json:"incarnation"`
	// Control is the control address of the sender, for a receiver that does not know
	// it yet.
	Control string `json:"control"`
	// To identifies the intended daemon. Another instance may have taken over the
	// address; it drops the message.
	To   string          `json:"to,omitempty"`
	Body json.RawMessage `json:"body,omitempty"`
}
