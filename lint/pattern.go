package lint

import "strings"

// suffixInNoName continues a prefix to a name that no longer pattern matches: names contain no
// such character.
const suffixInNoName = "\x00"

// matches reports whether any of the patterns matches a name. No pattern means all names.
func matches(patterns []string, name string) bool {
	for _, pattern := range patterns {
		if prefix, ok := strings.CutSuffix(pattern, "*"); pattern == name || ok && strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return len(patterns) == 0
}

// covers reports whether one of the patterns matches every name that the pattern narrow
// matches. No pattern means all names.
func covers(patterns []string, narrow string) bool {
	return matches(patterns, representative(narrow))
}

// representative returns a name that a pattern matches, and that other patterns match only
// if they match every name of the pattern.
func representative(pattern string) string {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return prefix + suffixInNoName
	}
	return pattern
}

// representatives returns a name for each different way in which a name can match lists of
// patterns.
func representatives(lists [][]string) []string {
	names := map[string]string{classOf(lists, suffixInNoName): suffixInNoName}
	order := []string{suffixInNoName}
	for _, list := range lists {
		for _, pattern := range list {
			name := representative(pattern)
			if class := classOf(lists, name); names[class] == "" {
				names[class] = name
				order = append(order, name)
			}
		}
	}
	return order
}

// classOf returns a text that is the same for names that the same lists match.
func classOf(lists [][]string, name string) string {
	class := make([]byte, len(lists))
	for i, list := range lists {
		class[i] = '0'
		if matches(list, name) {
			class[i] = '1'
		}
	}
	return string(class)
}

// joinPatterns joins patterns for a report.
func joinPatterns(patterns []string) string {
	if len(patterns) == 0 {
		return "*"
	}
	return strings.Join(patterns, ", ")
}
