package config

import (
	"fmt"
	"strings"
)

// maxNameBytes bounds every name, pattern and label in a document.
const maxNameBytes = 128

// patterns is a list of names, any of which may end in * to match all names
// that start with what precedes it. An empty list matches every name.
type patterns []string

// match reports whether name matches a pattern. It does not allocate.
func (p patterns) match(name string) bool {
	if len(p) == 0 {
		return true
	}
	for _, pattern := range p {
		if matchOne(pattern, name) {
			return true
		}
	}
	return false
}

func matchOne(pattern, name string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(name, prefix)
	}
	return pattern == name
}

// The check functions return what is wrong with text, or "".

func checkPattern(text string) string {
	if text == "*" {
		return ""
	}
	name := strings.TrimSuffix(text, "*")
	if strings.Contains(name, "*") {
		return "has a * that is not at its end"
	}
	return checkName(name)
}

// checkName allows what can stand in a header and in a report without quotes.
func checkName(text string) string {
	if text == "" {
		return "is empty"
	}
	if len(text) > maxNameBytes {
		return fmt.Sprintf("is longer than %d bytes", maxNameBytes)
	}
	for _, c := range []byte(text) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`*",;\`, c) >= 0 {
			return fmt.Sprintf("holds the character %q", rune(c))
		}
	}
	return ""
}

// checkService allows host names in lower case, since a service is named by
// the Host header, which has no case.
func checkService(text string) string {
	if wrong := checkName(text); wrong != "" {
		return wrong
	}
	for _, c := range []byte(text) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '.' {
			return "is not a host name of a-z, 0-9, - and ."
		}
	}
	for part := range strings.SplitSeq(text, ".") {
		if part == "" || part[0] == '-' || part[len(part)-1] == '-' {
			return "has a part that is empty or starts or ends with -"
		}
	}
	return ""
}
