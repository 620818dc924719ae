package config

import (
	"math/bits"
	"slices"
	"strings"
)

// Switches says which automatic actions are allowed anywhere.
type Switches struct {
	allOff bool
	allow  uint32 // one bit for each of Actions, by index
}

// AllOff reports whether every action is off, whatever is listed.
func (s *Switches) AllOff() bool { return s.allOff }

// Allows reports whether a is on: listed, and not all are off.
func (s *Switches) Allows(a Action) bool {
	return !s.allOff && s.allow&a.bit() != 0
}

// Allowed returns the actions that are on.
func (s *Switches) Allowed() []Action {
	return slices.DeleteFunc(Actions(), func(a Action) bool { return !s.Allows(a) })
}

// count returns how many actions are on.
func (s *Switches) count() int {
	if s.allOff {
		return 0
	}
	return bits.OnesCount32(s.allow)
}

// switches reads a switches document.
func (r *reader) switches(root *node) *Switches {
	o := r.object(root, "", "kind", "revision", "allOff", "allow")
	s := &Switches{allOff: o.truth("allOff")}
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
	return "is no action, want one of " + strings.Join(names, ", ")
}
