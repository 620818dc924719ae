package config

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// canonicalHash returns a hash that ignores white space, the order of fields,
// the order of items in lists that represent sets, and the notation of numbers
// and strings. Defaults are not filled in, so that the hash does not change in a
// release with other defaults.
func canonicalHash(n *node) uint64 {
	return xxhash.Sum64(appendCanonical(nil, n, ""))
}

// appendCanonical appends the canonical form of n, the value of the field name:
// fields sorted by name, no white space, and lists that represent sets sorted.
func appendCanonical(b []byte, n *node, name string) []byte {
	switch n.kind {
	case objectNode:
		return appendObject(b, n)
	case listNode:
		return appendList(b, n, name)
	case stringNode:
		return appendText(b, n.text)
	case numberNode:
		return appendNumber(b, n.text)
	case boolNode:
		return strconv.AppendBool(b, n.boolValue)
	}
	return append(b, "null"...)
}

func appendObject(b []byte, n *node) []byte {
	var few [fewMembers]member
	members := append(few[:0], n.members...)
	slices.SortFunc(members, func(x, y member) int { return strings.Compare(x.name, y.name) })
	b = append(b, '{')
	for i, m := range members {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendText(b, m.name)
		b = append(b, ':')
		b = appendCanonical(b, m.value, m.name)
	}
	return append(b, '}')
}

func appendList(b []byte, n *node, name string) []byte {
	items := n.items
	if isSet(name) {
		items = slices.Clone(items)
		slices.SortFunc(items, func(x, y *node) int { return strings.Compare(x.text, y.text) })
	}
	b = append(b, '[')
	for i, item := range items {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendCanonical(b, item, "")
	}
	return append(b, ']')
}

// isSet reports whether the list in the field name represents a set, so that the
// order of its items does not matter.
func isSet(name string) bool {
	switch name {
	case "allow", "callers", "instances", "availabilityZones", "evacuated", "regions":
		return true
	}
	return false
}

func appendText(b []byte, text string) []byte {
	if isPlain(text) {
		b = append(b, '"')
		b = append(b, text...)
		return append(b, '"')
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return strconv.AppendQuote(b, text)
	}
	return append(b, quoted...)
}

// isPlain reports whether encoding/json escapes nothing in a text.
func isPlain(text string) bool {
	for _, c := range []byte(text) {
		if c < ' ' || c >= utf8.RuneSelf || strings.IndexByte("\"\\<>&\x7f", c) >= 0 {
			return false
		}
	}
	return true
}

// maxPlainDigits is the length up to which an integer has a single notation.
const maxPlainDigits = 15

// isPlainInteger reports whether a number is a short sequence of digits.
func isPlainInteger(text string) bool {
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(text) <= maxPlainDigits
}

// appendNumber appends a number in a single notation. Valid numbers are below
// 2^53, where float64 represents every integer exactly.
func appendNumber(b []byte, text string) []byte {
	if isPlainInteger(text) {
		return append(b, text...)
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return append(b, text...)
	}
	if v == 0 {
		v = 0 // turns -0 into 0
	}
	return strconv.AppendFloat(b, v, 'f', -1, 64)
}
