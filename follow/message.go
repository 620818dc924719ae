package follow

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// ErrCopy means that a message does not hold a valid copy.
var ErrCopy = errors.New("follow: invalid copy message")

// copyMessage is the encoding of a Copy sent between daemons.
type copyMessage struct {
	Revision uint64 `json:"revision"`
	// AgeMs is the time since the store last responded to the lender.
	AgeMs   int64 `json:"ageMs"`
	Certain bool  `json:"certain"`
	// The remaining fields are those of answers to polls.
	GraceMs   int64         `json:"graceMs,omitempty"`
	Leaving   bool          `json:"leaving,omitempty"`
	ReadStore bool          `json:"readStore,omitempty"`
	Items     []itemMessage `json:"items"`
}

type itemMessage struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// EncodeCopy returns the message for a copy.
func EncodeCopy(c Copy) ([]byte, error) {
	m := copyMessage{
		Revision: c.Revision, AgeMs: c.Age.Milliseconds(), Certain: c.Certain,
		GraceMs: c.Grace.Milliseconds(), Leaving: c.Leaving, ReadStore: c.ReadStore,
		Items: make([]itemMessage, 0, len(c.Items)),
	}
	for _, item := range c.Items {
		m.Items = append(m.Items, itemMessage{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted})
	}
	text, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode a copy: %w", err)
	}
	return text, nil
}

// maxGrace limits the grace period that a message may announce.
const maxGrace = time.Minute

// DecodeCopy decodes a message with a copy. Errors wrap ErrCopy.
func DecodeCopy(text []byte) (Copy, error) {
	var m copyMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return Copy{}, fmt.Errorf("%w: %w", ErrCopy, err)
	}
	if m.Revision == 0 || m.AgeMs < 0 || m.GraceMs < 0 || m.GraceMs > maxGrace.Milliseconds() {
		return Copy{}, fmt.Errorf("%w: revision %d, age %d ms, grace %d ms", ErrCopy, m.Revision, m.AgeMs, m.GraceMs)
	}
	c := Copy{
		Revision: m.Revision, Age: time.Duration(min(m.AgeMs, maxCopyAge.Milliseconds())) * time.Millisecond, Certain: m.Certain,
		Grace: time.Duration(m.GraceMs) * time.Millisecond, Leaving: m.Leaving, ReadStore: m.ReadStore,
		Items: make([]Item, 0, len(m.Items)),
	}
	for _, item := range m.Items {
		if item.Key == "" || item.Revision == 0 {
			return Copy{}, fmt.Errorf("%w: item %q of revision %d", ErrCopy, item.Key, item.Revision)
		}
		c.Items = append(c.Items, Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted})
	}
	return c, nil
}
