package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// reader turns nodes into values and collects every fault on the way. A value
// that is at fault is read as its default.
type reader struct {
	file   string
	faults []Fault
	more   int
}

func (r *reader) fault(line int, field, format string, args ...any) {
	if len(r.faults) >= maxFaults {
		r.more++
		return
	}
	if field == "" {
		field = "document"
	}
	text := fmt.Sprintf(format, args...)
	r.faults = append(r.faults, Fault{File: r.file, Line: line, Field: field, Text: text})
}

// err returns the collected faults by line, or nil when there are none.
func (r *reader) err(revision uint64) error {
	if len(r.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(r.faults, func(x, y Fault) int { return x.Line - y.Line })
	if r.more > 0 {
		last := r.faults[len(r.faults)-1]
		last.Field = "document"
		last.Text = fmt.Sprintf("%d more faults are not listed", r.more)
		r.faults = append(r.faults, last)
	}
	return &InvalidError{faults: r.faults, revision: revision}
}

// object is one JSON object that is being read.
type object struct {
	r    *reader
	node *node
	path string
}

// object checks that n is an object with no names but those given, each once.
func (r *reader) object(n *node, path string, names ...string) object {
	o := object{r: r, node: n, path: path}
	if !r.is(n, path, objectNode) {
		return o
	}
	r.unique(n, path)
	for _, m := range n.members {
		if !slices.Contains(names, m.name) {
			r.fault(m.line, join(path, shown(m.name)), "unknown field")
		}
	}
	return o
}

func (r *reader) is(n *node, path string, kind nodeKind) bool {
	if n.kind != kind {
		r.fault(n.line, path, "is of type %s, want %s", n.kind, kind)
		return false
	}
	return true
}

// unique refuses names that stand twice in n.
func (r *reader) unique(n *node, path string) {
	seen := make(map[string]bool, len(n.members))
	for _, m := range n.members {
		if seen[m.name] {
			r.fault(m.line, join(path, shown(m.name)), "stands twice")
		}
		seen[m.name] = true
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

func (o object) at(name string) string { return join(o.path, name) }

// child returns the object in the field name, which holds only names. A field
// that is left out reads as an empty object.
func (o object) child(name string, names ...string) object {
	n, ok := o.field(name)
	if !ok {
		n = &node{kind: objectNode, line: o.node.line}
	}
	return o.r.object(n, o.at(name), names...)
}

// text returns the string in the field name, which must pass check.
func (o object) text(name string, check func(string) string) string {
	n, ok := o.field(name)
	if !ok {
		o.r.fault(o.node.line, o.at(name), "is missing")
		return ""
	}
	return o.r.text(n, o.at(name), check)
}

func (r *reader) text(n *node, path string, check func(string) string) string {
	if !r.is(n, path, textNode) {
		return ""
	}
	if wrong := check(n.text); wrong != "" {
		r.fault(n.line, path, "%s %s", clip(strconv.Quote(n.text)), wrong)
	}
	return n.text
}

// whole returns the whole number in the field name, or standard when the field
// is left out or at fault.
func (o object) whole(name string, lowest, highest, standard uint64) uint64 {
	n, ok := o.field(name)
	if !ok || !o.r.is(n, o.at(name), numberNode) {
		return standard
	}
	v, err := strconv.ParseUint(n.text, 10, 64)
	if err != nil || v < lowest || v > highest {
		o.r.fault(n.line, o.at(name), "is %s, want a whole number from %d to %d", clip(n.text), lowest, highest)
		return standard
	}
	return v
}

// number returns the number in the field name, or standard when the field is
// left out or at fault.
func (o object) number(name string, lowest, highest, standard float64) float64 {
	n, ok := o.field(name)
	if !ok || !o.r.is(n, o.at(name), numberNode) {
		return standard
	}
	v, err := strconv.ParseFloat(n.text, 64)
	if err != nil || v < lowest || v > highest {
		o.r.fault(n.line, o.at(name), "is %s, want a number from %v to %v", clip(n.text), lowest, highest)
		return standard
	}
	return v
}

// truth returns the boolean in the field name, or false when it is left out.
func (o object) truth(name string) bool {
	n, ok := o.field(name)
	return ok && o.r.is(n, o.at(name), boolNode) && n.truth
}

// list returns the items in the field name and whether the field is there.
func (o object) list(name string, most int) ([]*node, bool) {
	n, ok := o.field(name)
	if !ok || !o.r.is(n, o.at(name), listNode) {
		return nil, false
	}
	if len(n.items) > most {
		o.r.fault(n.line, o.at(name), "has %d items, at most %d are allowed", len(n.items), most)
		return nil, true
	}
	return n.items, true
}

// texts returns a list of distinct strings that each pass check, and whether
// the field is there.
func (o object) texts(name string, most int, check func(string) string) ([]string, bool) {
	items, ok := o.list(name, most)
	texts := make([]string, 0, len(items))
	for i, item := range items {
		path := indexed(o.at(name), i)
		text := o.r.text(item, path, check)
		if item.kind == textNode && slices.Contains(texts, text) {
			o.r.fault(item.line, path, "%s stands twice", clip(strconv.Quote(text)))
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

func indexed(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

// shown returns a name of a document as it stands in the path of a field:
// quoted if it holds what would break a line of the report.
func shown(name string) string {
	if checkName(name) != "" {
		name = strconv.Quote(name)
	}
	return clip(name)
}

// clip shortens text of a document that is shown in a fault.
func clip(text string) string {
	const most = 60
	if len(text) <= most {
		return text
	}
	return strings.ToValidUTF8(text[:most], "") + "..."
}
