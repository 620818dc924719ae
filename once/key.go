package once

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// MaxKeyBytes bounds the length of an Idempotency-Key.
const MaxKeyBytes = 200

// issuedPrefix begins every key that a daemon has issued.
const issuedPrefix = "pomelo1."

// KeyKind says how a key came to be, and so how its home is found.
type KeyKind string

// The kinds of key.
const (
	// Issued keys name the one incarnation that may run them.
	Issued KeyKind = "issued"
	// Timed keys are the caller's own and carry the time of their making, as
	// UUID version 7 (RFC 9562, section 5.7).
	Timed KeyKind = "timed"
	// Opaque keys are the caller's own and say nothing.
	Opaque KeyKind = "opaque"
)

// Incarnation names one life of one instance's daemon.
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
	// Expiry is when an issued key ends, counted from the start of its home.
	Expiry time.Duration
	// Made is when a timed key was made, by its maker's clock.
	Made time.Time
}

// ParseKey reads an Idempotency-Key. It reports false for a key that is empty,
// longer than MaxKeyBytes, or has the prefix of an issued key without its form.
func ParseKey(text string) (Key, bool) {
	if text == "" || len(text) > MaxKeyBytes {
		return Key{}, false
	}
	if rest, ok := strings.CutPrefix(text, issuedPrefix); ok {
		return parseIssued(rest)
	}
	if made, ok := parseTime(text); ok {
		return Key{Kind: Timed, Made: made}, true
	}
	return Key{Kind: Opaque}, true
}

// formatIssued writes the key NUMBER.EXPIRY.NONCE.ID in base 36; the ID comes
// last because it may contain dots.
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

// parseTime reads the time from a UUID version 7 in its canonical form.
func parseTime(text string) (time.Time, bool) {
	const version, variant = 14, 19
	if len(text) != 36 || text[version] != '7' || !strings.ContainsRune("89abAB", rune(text[variant])) {
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
