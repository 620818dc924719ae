package config

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// digest returns a hash that is equal for documents that differ only
// in white space, the order of fields, the order inside lists that are sets,
// and the spelling of numbers and strings. Defaults are not filled in, so that
// a release with other defaults still gives the same digest.
func digest(n *node) uint64 {
	return xxhash.Sum64(appendCanonical(nil, n, ""))
}

// appendCanonical appends the canonical form of n, the value of the field
// name: names sorted, no white space, lists that are sets sorted.
func appendCanonical(b []byte, n *node, name string) []byte {
	switch n.kind {
	case objectNode:
		return appendObject(b, n)
	case listNode:
		return appendList(b, n, name)
	case textNode:
		return appendText(b, n.text)
	case numberNode:
		return appendNumber(b, n.text)
	case boolNode:
		return strconv.AppendBool(b, n.truth)
	}
	return append(b, "null"...)
}

func appendObject(b []byte, n *node) []byte {
	members := slices.Clone(n.members)
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

// isSet reports whether the order inside the list called name has no meaning.
func isSet(name string) bool {
	switch name {
	case "allow", "callers", "instances", "availabilityZones":
		return true
	}
	return false
}

func appendText(b []byte, text string) []byte {
	quoted, err := json.Marshal(text)
	if err != nil {
		return strconv.AppendQuote(b, text)
	}
	return append(b, quoted...)
}

// appendNumber writes every spelling of a number alike. Accepted numbers are
// below 2^53, where float64 is exact for whole numbers.
func appendNumber(b []byte, text string) []byte {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return append(b, text...)
	}
	if v == 0 {
		v = 0 // -0 is 0
	}
	return strconv.AppendFloat(b, v, 'f', -1, 64)
}
