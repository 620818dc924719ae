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
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// AgeMs is the time since the lender's copy was last confirmed.
	AgeMs   int64         `json:"ageMs"`
	Certain bool          `json:"certain"`
	Items   []itemMessage `json:"items"`
}

type itemMessage struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

func (m itemMessage) item() (Item, error) {
	if m.Key == "" || m.Revision == 0 {
		return Item{}, fmt.Errorf("%w: item %q of revision %d", ErrCopy, m.Key, m.Revision)
	}
	return Item{Key: m.Key, Value: m.Value, Revision: m.Revision}, nil
}

// EncodeCopy returns the message for a copy.
func EncodeCopy(c Copy) ([]byte, error) {
	m := copyMessage{Era: c.Era, Revision: c.Revision, AgeMs: c.Age.Milliseconds(), Certain: c.Certain, Items: make([]itemMessage, 0, len(c.Items))}
	for _, item := range c.Items {
		m.Items = append(m.Items, itemMessage{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	text, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode a copy: %w", err)
	}
	return text, nil
}

// DecodeCopy decodes a message with a copy. Errors wrap ErrCopy.
func DecodeCopy(text []byte) (Copy, error) {
	var m copyMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return Copy{}, fmt.Errorf("%w: %w", ErrCopy, err)
	}
	if m.Revision == 0 || m.AgeMs < 0 {
		return Copy{}, fmt.Errorf("%w: revision %d, age %d ms", ErrCopy, m.Revision, m.AgeMs)
	}
	c := Copy{Era: m.Era, Revision: m.Revision, Age: decodeAge(m.AgeMs), Certain: m.Certain, Items: make([]Item, 0, len(m.Items))}
	for _, encoded := range m.Items {
		item, err := encoded.item()
		if err != nil {
			return Copy{}, err
		}
		c.Items = append(c.Items, item)
	}
	return c, nil
}

func decodeAge(ms int64) time.Duration {
	return time.Duration(min(ms, MaxAge.Milliseconds())) * time.Millisecond
}
