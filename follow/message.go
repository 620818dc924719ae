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
	AgeMs   int64         `json:"ageMs"`
	Certain bool          `json:"certain"`
	Items   []itemMessage `json:"items"`
}

type itemMessage struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// EncodeCopy returns the message for a copy; age is the time since the store last
// responded.
func EncodeCopy(c Copy, age time.Duration) ([]byte, error) {
	m := copyMessage{Revision: c.Revision, AgeMs: age.Milliseconds(), Certain: c.Certain, Items: make([]itemMessage, 0, len(c.Items))}
	for _, item := range c.Items {
		m.Items = append(m.Items, itemMessage{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	text, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode a copy: %w", err)
	}
	return text, nil
}

// DecodeCopy decodes a message with a copy and returns the copy and its age. Errors
// wrap ErrCopy.
func DecodeCopy(text []byte) (Copy, time.Duration, error) {
	var m copyMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return Copy{}, 0, fmt.Errorf("%w: %w", ErrCopy, err)
	}
	if m.Revision == 0 || m.AgeMs < 0 {
		return Copy{}, 0, fmt.Errorf("%w: revision %d, age %d ms", ErrCopy, m.Revision, m.AgeMs)
	}
	c := Copy{Revision: m.Revision, Certain: m.Certain, Items: make([]Item, 0, len(m.Items))}
	for _, item := range m.Items {
		if item.Key == "" || item.Revision == 0 {
			return Copy{}, 0, fmt.Errorf("%w: item %q of revision %d", ErrCopy, item.Key, item.Revision)
		}
		c.Items = append(c.Items, Item{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	return c, time.Duration(m.AgeMs) * time.Millisecond, nil
}
