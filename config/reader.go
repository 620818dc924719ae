package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// reader decodes nodes into values and collects the faults it finds, so that
// one pass reports all of them. A number out of range or of the wrong type
// decodes as its default.
type reader struct {
	file    string
	faults  []Fault
	omitted int // faults not recorded because of maxFaults
}

func (r *reader) fault(line int, field, format string, args ...any) {
	if len(r.faults) >= maxFaults {
		r.omitted++
		return
	}
	if field == "" {
		field = "document"
	}
	text := fmt.Sprintf(format, args...)
	r.faults = append(r.faults, Fault{File: r.file, Line: line, Field: field, Text: text})
}

// err returns an InvalidError with the collected faults in line order, or nil if
// there are none.
func (r *reader) err(revision uint64) error {
	if len(r.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(r.faults, func(x, y Fault) int { return x.Line - y.Line })
	if r.omitted > 0 {
		last := r.faults[len(r.faults)-1]
		last.Field = "document"
		last.Text = fmt.Sprintf("%d more faults are not listed", r.omitted)
		r.faults = append(r.faults, last)
	}
	return &InvalidError{faults: r.faults, revision: revision}
}

// object is a JSON object being decoded.
type object struct {
	r    *reader
	node *node
	path string
}

// object returns n for decoding. It reports a fault if n is not an object, and
// for each duplicate field and each field not in names.
func (r *reader) object(n *node, path string, names ...string) object {
	o := object{r: r, node: n, path: path}
	if !r.requireKind(n, path, objectNode) {
		return o
	}
	r.checkDuplicates(n, path)
	for _, m := range n.members {
		if !slices.Contains(names, m.name) {
			r.fault(m.line, join(path, printableName(m.name)), "unknown field")
		}
	}
	return o
}

func (r *reader) requireKind(n *node, path string, kind nodeKind) bool {
	if n.kind != kind {
		r.fault(n.line, path, "is of type %s, want %s", n.kind, kind)
		return false
	}
	return true
}

// fewMembers is the number of fields up to which comparing all names is cheaper than a
// map.
const fewMembers = 16

// checkDuplicates reports a fault for each repeated field name in n.
func (r *reader) checkDuplicates(n *node, path string) {
	var seen map[string]bool
	if len(n.members) > fewMembers {
		seen = make(map[string]bool, len(n.members))
	}
	for i, m := range n.members {
		repeated := seen[m.name]
		if seen != nil {
			seen[m.name] = true
		} else {
			repeated = slices.ContainsFunc(n.members[:i], func(other member) bool { return other.name == m.name })
		}
		if repeated {
			r.fault(m.line, join(path, printableName(m.name)), "duplicate field")
		}
	}
}

func (o object) field(name string) (*node, bool) {
	for _, m := range o.node.members {
		if m.name == name {
			return m.value, true
		}
	}
	return nil, false
}

func (o object) fieldPath(name string) string { return join(o.path, name) }

// child returns the object in the field name, whose fields are limited to names.
// A missing field decodes as an empty object.
func (o object) child(name string, names ...string) object {
	n, ok := o.field(name)
	if !ok {
		n = &node{kind: objectNode, line: o.node.line}
	}
	return o.r.object(n, o.fieldPath(name), names...)
}

// text returns the string in the required field name and reports a fault if it
// does not pass check.
func (o object) text(name string, check func(string) string) string {
	n, ok := o.field(name)
	if !ok {
		o.r.fault(o.node.line, o.fieldPath(name), "is missing")
		return ""
	}
	return o.r.text(n, o.fieldPath(name), check)
}

func (r *reader) text(n *node, path string, check func(string) string) string {
	if !r.requireKind(n, path, stringNode) {
		return ""
	}
	if problem := check(n.text); problem != "" {
		r.fault(n.line, path, "%s %s", truncate(strconv.Quote(n.text)), problem)
	}
	// The text of a node keeps that of the whole document in memory.
	return strings.Clone(n.text)
}

// integer returns the integer in the field name, or defaultValue if the field is
// missing or invalid.
func (o object) integer(name string, minValue, maxValue, defaultValue uint64) uint64 {
	n, ok := o.field(name)
	if !ok || !o.r.requireKind(n, o.fieldPath(name), numberNode) {
		return defaultValue
	}
	v, err := strconv.ParseUint(n.text, 10, 64)
	if err != nil || v < minValue || v > maxValue {
		o.r.fault(n.line, o.fieldPath(name), "is %s, want an integer from %d to %d", truncate(n.text), minValue, maxValue)
		return defaultValue
	}
	return v
}

// number returns the number in the field name, or defaultValue if the field is
// missing or invalid.
func (o object) number(name string, minValue, maxValue, defaultValue float64) float64 {
	n, ok := o.field(name)
	if !ok || !o.r.requireKind(n, o.fieldPath(name), numberNode) {
		return defaultValue
	}
	v, err := strconv.ParseFloat(n.text, 64)
	if err != nil || v < minValue || v > maxValue {
		o.r.fault(n.line, o.fieldPath(name), "is %s, want a number from %v to %v", truncate(n.text), minValue, maxValue)
		return defaultValue
	}
	return v
}

// boolean returns the boolean in the field name, or false if the field is
// missing or of another type.
func (o object) boolean(name string) bool {
	n, ok := o.field(name)
	return ok && o.r.requireKind(n, o.fieldPath(name), boolNode) && n.boolValue
}

// list returns the items of the list in the field name, and whether the field is
// present and a list. A list longer than maxItems is a fault and returns no
// items.
func (o object) list(name string, maxItems int) ([]*node, bool) {
	n, ok := o.field(name)
	if !ok || !o.r.requireKind(n, o.fieldPath(name), listNode) {
		return nil, false
	}
	if len(n.items) > maxItems {
		o.r.fault(n.line, o.fieldPath(name), "has %d items, at most %d are allowed", len(n.items), maxItems)
		return nil, true
	}
	return n.items, true
}

// texts returns the list of strings in the field name, and whether the field is
// present and a list. It reports a fault for each duplicate and each string that
// does not pass check.
func (o object) texts(name string, maxItems int, check func(string) string) ([]string, bool) {
	items, ok := o.list(name, maxItems)
	texts := make([]string, 0, len(items))
	for i, item := range items {
		path := joinIndex(o.fieldPath(name), i)
		text := o.r.text(item, path, check)
		if item.kind == stringNode && slices.Contains(texts, text) {
			o.r.fault(item.line, path, "%s is listed twice", truncate(strconv.Quote(text)))
		}
		texts = append(texts, text)
	}
	return texts, ok
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func joinIndex(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

// printableName returns a name from a document for use in a field path. A name
// with characters that would garble a line of the report is quoted.
func printableName(name string) string {
	if checkName(name) != "" {
		name = strconv.Quote(name)
	}
	return truncate(name)
}

// truncate shortens text from a document for use in a fault.
func truncate(text string) string {
	const maxBytes = 60
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes], "") + "..."
}
