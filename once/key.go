package once

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// MaxKeyBytes is the maximum length of an Idempotency-Key.
const MaxKeyBytes = 200

// issuedPrefix starts every key issued by a daemon.
const issuedPrefix = "pomelo1."

// KeyKind is the origin of a key, which determines how its home is found.
type KeyKind string

// The kinds of keys.
const (
	// Issued keys are created by a daemon and name the only incarnation that
	// may run them.
	Issued KeyKind = "issued"
	// Timed keys are chosen by the caller and contain their creation time, as
	// UUID version 7 (RFC 9562, section 5.7).
	Timed KeyKind = "timed"
	// Opaque keys are chosen by the caller and contain no information.
	Opaque KeyKind = "opaque"
)

// Incarnation identifies one process of an instance's daemon.
type Incarnation struct {
	ID     string `json:"id"`
	Number uint64 `json:"number"`
}

func (i Incarnation) compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.ID, other.ID), cmp.Compare(i.Number, other.Number))
}

// Key is a parsed Idempotency-Key.
type Key struct {
	Kind KeyKind
	// Home is the incarnation that issued the key.
	Home Incarnation
	// Expiry is when an issued key expires, relative to the start of Home.
	Expiry time.Duration
	// CreatedAt is when a timed key was created, by its creator's clock.
	CreatedAt time.Time
}

// ParseKey parses an Idempotency-Key. It returns false if the key is empty,
// longer than MaxKeyBytes, or malformed after the prefix of an issued key.
func ParseKey(text string) (Key, bool) {
	if text == "" || len(text) > MaxKeyBytes {
		return Key{}, false
	}
	if rest, ok := strings.CutPrefix(text, issuedPrefix); ok {
		return parseIssued(rest)
	}
	if createdAt, ok := parseUUIDTime(text); ok {
		return Key{Kind: Timed, CreatedAt: createdAt}, true
	}
	return Key{Kind: Opaque}, true
}

// formatIssued formats an issued key as prefix, NUMBER.EXPIRY.NONCE.ID. The
// numbers are in base 36, EXPIRY in milliseconds. ID comes last because it may
// contain dots.
func formatIssued(home Incarnation, expiry time.Duration, nonce uint64) string {
	return fmt.Sprintf("%s%s.%s.%s.%s", issuedPrefix,
		strconv.FormatUint(home.Number, 36),
		strconv.FormatInt(expiry.Milliseconds(), 36),
		strconv.FormatUint(nonce, 36), home.ID)
}

func parseIssued(rest string) (Key, bool) {
	parts := strings.SplitN(rest, ".", 4)
	if len(parts) != 4 || parts[3] == "" {
		return Key{}, false
	}
	number, err := strconv.ParseUint(parts[0], 36, 64)
	if err != nil {
		return Key{}, false
	}
	expiry, err := strconv.ParseInt(parts[1], 36, 44)
	if err != nil {
		return Key{}, false
	}
	home := Incarnation{ID: parts[3], Number: number}
	return Key{Kind: Issued, Home: home, Expiry: time.Duration(expiry) * time.Millisecond}, true
}

// parseUUIDTime returns the time in a UUID version 7 in canonical form.
func parseUUIDTime(text string) (time.Time, bool) {
	const versionIndex, variantIndex = 14, 19
	if len(text) != 36 || text[versionIndex] != '7' || !strings.ContainsRune("89abAB", rune(text[variantIndex])) {
		return time.Time{}, false
	}
	digits := make([]byte, 0, 32)
	for i := range len(text) {
		dash := i == 8 || i == 13 || i == 18 || i == 23
		if dash != (text[i] == '-') {
			return time.Time{}, false
		}
		if !dash {
			digits = append(digits, text[i])
		}
	}
	raw, err := hex.DecodeString(string(digits))
	if err != nil {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}
