package config

import (
	"fmt"
	"strings"
)

// maxNameBytes is the maximum length of the names, patterns and labels in a
// service document.
const maxNameBytes = 128

// patterns is a list of names and prefixes. A trailing * makes a pattern match
// every name with that prefix. An empty list matches every name.
type patterns []string

// match reports whether name matches any pattern. It does not allocate.
func (p patterns) match(name string) bool {
	if len(p) == 0 {
		return true
	}
	for _, pattern := range p {
		if matchPattern(pattern, name) {
			return true
		}
	}
	return false
}

func matchPattern(pattern, name string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(name, prefix)
	}
	return pattern == name
}

// The check functions describe the problem with text, or return "" if it is
// valid.

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

// checkName accepts names that need no quoting in a header or a report.
func checkName(text string) string {
	if text == "" {
		return "is empty"
	}
	if len(text) > maxNameBytes {
		return fmt.Sprintf("is longer than %d bytes", maxNameBytes)
	}
	for _, c := range []byte(text) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`*",;\`, c) >= 0 {
			return fmt.Sprintf("contains the character %q", rune(c))
		}
	}
	return ""
}

// checkService accepts only lower-case host names, since a service is identified
// by the Host header, which is case-insensitive.
func checkService(text string) string {
	if problem := checkName(text); problem != "" {
		return problem
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
