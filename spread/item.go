package spread

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Limits of the body and the key of an item.
const (
	MaxBodyBytes = 64 << 10
	MaxKeyBytes  = 256
)

// Reasons for refusing an item; every daemon applies the same ones.
var (
	ErrBodyTooLarge = errors.New("body too large")
	ErrBadKey       = errors.New("key is empty or too long")
)

// RefusedPrefix begins the key under which a refused document is distributed,
// so that every daemon can report it. The item's version is the platform's, and
// its body is empty if the document was larger than MaxBodyBytes.
const RefusedPrefix = "refused/"

// Version orders the bodies of one key. For a document, Major is the revision
// set by the operators and Minor orders two documents with the same revision.
// For a membership record, they are the results of membership.Record.Version.
type Version struct {
	Major uint64 `json:"major"`
	Minor uint64 `json:"minor"`
}

// Compare returns -1, 0 or 1 if v is older than, equal to or newer than other.
func (v Version) Compare(other Version) int {
	if order := cmp.Compare(v.Major, other.Major); order != 0 {
		return order
	}
	return cmp.Compare(v.Minor, other.Minor)
}

// Item is one document or membership record at one version.
type Item struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Body    []byte  `json:"body,omitempty"`
	// Source is the platform's version of the value from which the body was
	// read, so that other readers need not read it again.
	Source uint64 `json:"source,omitempty"`
	// Tombstone marks an item that is removed after Config.TombstoneTTL.
	Tombstone bool `json:"tombstone,omitempty"`
	// AgeMs is the age of a tombstone. It is sent as an age because daemons do
	// not share a clock.
	AgeMs int64 `json:"ageMs,omitempty"`
}

func (i Item) check() error {
	if i.Key == "" || len(i.Key) > MaxKeyBytes {
		return fmt.Errorf("check item %.32q: %w", i.Key, ErrBadKey)
	}
	if len(i.Body) > MaxBodyBytes {
		return fmt.Errorf("check item %q of %d bytes: %w", i.Key, len(i.Body), ErrBodyTooLarge)
	}
	return nil
}

// Offer announces that a daemon holds an item.
type Offer struct {
	Key       string  `json:"key"`
	Version   Version `json:"version"`
	Tombstone bool    `json:"tombstone,omitempty"`
	AgeMs     int64   `json:"ageMs,omitempty"`
}

func (o Offer) expired(ttl time.Duration) bool {
	return o.Tombstone && time.Duration(o.AgeMs)*time.Millisecond >= ttl
}
