package spread

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Limits of one item, in bytes.
const (
	MaxBody = 64 << 10
	MaxKey  = 256
)

// The reasons why an item is refused, here as at every other daemon.
var (
	ErrBodyTooLarge = errors.New("body too large")
	ErrBadKey       = errors.New("bad key")
)

// RefusedPrefix begins the key under which a refused document travels, so that
// every daemon can report it. Its version is the platform's, and its body is
// empty if it was larger than MaxBody.
const RefusedPrefix = "refused/"

// Version orders the bodies of one key. Of a document Major is the operators'
// revision and Minor what orders two documents of one revision. Of a membership
// record they are what membership.Record.Order returns.
type Version struct {
	Major uint64 `json:"major"`
	Minor uint64 `json:"minor"`
}

// Compare returns -1, 0 or 1 as v is older than, equal to or newer than other.
func (v Version) Compare(other Version) int {
	if order := cmp.Compare(v.Major, other.Major); order != 0 {
		return order
	}
	return cmp.Compare(v.Minor, other.Minor)
}

// Item is one document or record at one version.
type Item struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Body    []byte  `json:"body,omitempty"`
	// Source is the platform's version at which the body was read, so that
	// other readers need not read it.
	Source uint64 `json:"source,omitempty"`
	// Tombstone marks an item that is forgotten after Config.TombstoneLife.
	Tombstone bool `json:"tombstone,omitempty"`
	// AgeMs is how long a tombstone has existed, counted on its way from
	// daemon to daemon, as they share no clock.
	AgeMs int64 `json:"ageMs,omitempty"`
}

func (i Item) check() error {
	if i.Key == "" || len(i.Key) > MaxKey {
		return fmt.Errorf("item %.32q: %w", i.Key, ErrBadKey)
	}
	if len(i.Body) > MaxBody {
		return fmt.Errorf("item %q of %d bytes: %w", i.Key, len(i.Body), ErrBodyTooLarge)
	}
	return nil
}

// Offer tells that a daemon holds an item.
type Offer struct {
	Key       string  `json:"key"`
	Version   Version `json:"version"`
	Tombstone bool    `json:"tombstone,omitempty"`
	AgeMs     int64   `json:"ageMs,omitempty"`
}

func (o Offer) outlived(life time.Duration) bool {
	return o.Tombstone && time.Duration(o.AgeMs)*time.Millisecond >= life
}
