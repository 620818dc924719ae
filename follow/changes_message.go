package follow

import (
	"encoding/json"
	"fmt"
	"time"
	"unicode/utf8"
)

// The answer to a poll has two parts. The state differs from answer to answer; the items
// are the same for all that poll with the same revision, and are encoded once.

// stateMessage is the encoding of a Copy without its items.
type stateMessage struct {
	Era       uint64 `json:"era,omitempty"`
	Revision  uint64 `json:"revision"`
	AgeMs     int64  `json:"ageMs"`
	GraceMs   int64  `json:"graceMs,omitempty"`
	Leaving   bool   `json:"leaving,omitempty"`
	ReadStore bool   `json:"readStore,omitempty"`
}

// changeMessage is the encoding of a changed item.
type changeMessage struct {
	itemMessage
	// Text replaces the value if that is valid UTF-8: it is shorter than base64,
	// and can be compressed.
	Text    string `json:"text,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// EncodeState returns the state part of the answer to a poll.
func EncodeState(c Copy) ([]byte, error) {
	text, err := json.Marshal(stateMessage{
		Era: c.Era, Revision: c.Revision, AgeMs: c.Age.Milliseconds(), GraceMs: c.Grace.Milliseconds(), Leaving: c.Leaving, ReadStore: c.ReadStore,
	})
	if err != nil {
		return nil, fmt.Errorf("encode the state of a copy: %w", err)
	}
	return text, nil
}

// EncodeChanges returns the items part of the answer to a poll.
func EncodeChanges(items []Item) ([]byte, error) {
	messages := make([]changeMessage, 0, len(items))
	for _, item := range items {
		m := changeMessage{itemMessage: itemMessage{Key: item.Key, Value: item.Value, Revision: item.Revision}, Deleted: item.Deleted}
		if utf8.Valid(item.Value) {
			m.Value, m.Text = nil, string(item.Value)
		}
		messages = append(messages, m)
	}
	text, err := json.Marshal(messages)
	if err != nil {
		return nil, fmt.Errorf("encode changes: %w", err)
	}
	return text, nil
}

// maxGrace limits the grace period that a message may announce.
const maxGrace = time.Minute

// DecodeChanges decodes both parts of the answer to a poll. Errors wrap ErrCopy.
func DecodeChanges(state, changes []byte) (Copy, error) {
	var m stateMessage
	if err := json.Unmarshal(state, &m); err != nil {
		return Copy{}, fmt.Errorf("%w: state: %w", ErrCopy, err)
	}
	if m.Revision == 0 || m.AgeMs < 0 || m.GraceMs < 0 || m.GraceMs > maxGrace.Milliseconds() {
		return Copy{}, fmt.Errorf("%w: revision %d, age %d ms, grace %d ms", ErrCopy, m.Revision, m.AgeMs, m.GraceMs)
	}
	var messages []changeMessage
	if err := json.Unmarshal(changes, &messages); err != nil {
		return Copy{}, fmt.Errorf("%w: changes: %w", ErrCopy, err)
	}
	c := Copy{
		Era: m.Era, Revision: m.Revision, Age: decodeAge(m.AgeMs), Grace: time.Duration(m.GraceMs) * time.Millisecond,
		Leaving: m.Leaving, ReadStore: m.ReadStore,
	}
	for _, encoded := range messages {
		item, err := encoded.item()
		if err != nil {
			return Copy{}, err
		}
		if encoded.Text != "" {
			item.Value = []byte(encoded.Text)
		}
		item.Deleted = encoded.Deleted
		c.Items = append(c.Items, item)
	}
	return c, nil
}
