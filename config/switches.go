package config

import (
	"math/bits"
	"slices"
	"strings"
)

// Switches is the content of a switches document: the automatic actions that are
// allowed in the whole fleet.
type Switches struct {
	allOff bool
	allow  uint32 // bit set of Action.bit
}

// AllOff reports whether every action is off, regardless of the allowed list.
func (s *Switches) AllOff() bool { return s.allOff }

// Allows reports whether a is listed and AllOff is false.
func (s *Switches) Allows(a Action) bool {
	return !s.allOff && s.allow&a.bit() != 0
}

// Allowed returns the allowed actions.
func (s *Switches) Allowed() []Action {
	return slices.DeleteFunc(Actions(), func(a Action) bool { return !s.Allows(a) })
}

// count returns the number of allowed actions.
func (s *Switches) count() int {
	if s.allOff {
		return 0
	}
	return bits.OnesCount32(s.allow)
}

// switches decodes a switches document.
func (r *reader) switches(root *node) *Switches {
	o := r.object(root, "", "kind", "revision", "allOff", "allow")
	s := &Switches{allOff: o.boolean("allOff")}
	names, _ := o.texts("allow", 2*len(Actions()), checkAction)
	for _, name := range names {
		s.allow |= Action(name).bit()
	}
	return s
}

func checkAction(text string) string {
	if Action(text).bit() != 0 {
		return ""
	}
	names := make([]string, 0, len(Actions()))
	for _, a := range Actions() {
		names = append(names, string(a))
	}
	return "is an unknown action, want one of " + strings.Join(names, ", ")
}
