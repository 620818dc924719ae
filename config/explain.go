package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pomelodoor.example/pomelodoor/call"
)

// Candidate is an instance about which Explain is asked.
type Candidate struct {
	Instance         string `json:"instance"`
	AvailabilityZone string `json:"availabilityZone"`
}

// Explanation says how a service chooses the upstreams of one caller.
type Explanation struct {
	Service string `json:"service"`
	Caller  string `json:"caller"`
	// Selector is empty when no selector matches the caller.
	Selector  string                `json:"selector"`
	Priority  call.Priority         `json:"priority"`
	Selectors []SelectorExplanation `json:"selectors"`
	Upstreams []UpstreamExplanation `json:"upstreams"`
}

// SelectorExplanation says why a selector was or was not chosen.
type SelectorExplanation struct {
	Name   string `json:"name"`
	Chosen bool   `json:"chosen"`
	Why    string `json:"why"`
}

// UpstreamExplanation says why an instance does or does not serve the caller.
type UpstreamExplanation struct {
	Candidate
	Labels map[string]string `json:"labels"`
	Serves bool              `json:"serves"`
	Why    string            `json:"why"`
}

// Explain says which selector of svc matches caller, which of the instances
// serve it, and why the others do not. It only knows the document: an instance
// that serves may still be full, ejected or gone.
func Explain(svc *Service, caller string, instances ...Candidate) Explanation {
	sel, _ := svc.Select(caller)
	e := Explanation{Service: svc.name, Caller: caller, Priority: svc.Priority(caller)}
	if sel != nil {
		e.Selector = sel.name
	}
	passed := false
	for _, other := range svc.selectors {
		e.Selectors = append(e.Selectors, explainSelector(other, sel, passed))
		passed = passed || other == sel
	}
	for _, c := range instances {
		e.Upstreams = append(e.Upstreams, explainUpstream(svc, sel, c))
	}
	return e
}

func explainSelector(other, chosen *Selector, passed bool) SelectorExplanation {
	s := SelectorExplanation{Name: other.name, Chosen: other == chosen}
	switch {
	case s.Chosen:
		s.Why = "first match: callers " + other.callers.String()
	case passed:
		s.Why = "comes after the first match"
	default:
		s.Why = "matches only callers " + other.callers.String()
	}
	return s
}

func explainUpstream(svc *Service, sel *Selector, c Candidate) UpstreamExplanation {
	u := UpstreamExplanation{
		Candidate: c,
		Labels:    svc.Labels(c.Instance, c.AvailabilityZone),
		Serves:    svc.Serves(sel, c.Instance, c.AvailabilityZone),
	}
	switch {
	case sel == nil:
		u.Why = "no selector matches the caller"
	case len(sel.upstreams) == 0:
		u.Why = "the selector takes every upstream"
	case u.Serves:
		u.Why = "has " + formatLabels(sel.upstreams)
	default:
		u.Why = strings.Join(missing(sel, u.Labels), ", ")
	}
	return u
}

// missing returns a text for each label that sel asks for and labels lack.
func missing(sel *Selector, labels map[string]string) []string {
	var texts []string
	for _, want := range sel.upstreams {
		value, ok := labels[want.name]
		switch {
		case !ok:
			texts = append(texts, fmt.Sprintf("has no label %s, want %s", want.name, want.value))
		case value != want.value:
			texts = append(texts, fmt.Sprintf("has %s=%s, want %s", want.name, value, want.value))
		}
	}
	return texts
}

// String returns the explanation as lines of text that end in a line break.
func (e Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "service %s, caller %s, priority %s\n", e.Service, e.Caller, e.Priority)
	for _, s := range e.Selectors {
		fmt.Fprintf(&b, "%s selector %s: %s\n", mark(s.Chosen), s.Name, s.Why)
	}
	if e.Selector == "" {
		fmt.Fprintln(&b, "no selector matches: the caller is refused")
	}
	for _, u := range e.Upstreams {
		fmt.Fprintf(&b, "%s upstream %s in %s {%s}: %s\n",
			mark(u.Serves), u.Instance, u.AvailabilityZone, formatMap(u.Labels), u.Why)
	}
	return b.String()
}

func mark(yes bool) string {
	if yes {
		return "+"
	}
	return "-"
}

// String returns the patterns, or * when there are none.
func (p patterns) String() string {
	if len(p) == 0 {
		return "*"
	}
	return strings.Join(p, ", ")
}

func formatLabels(labels []label) string {
	texts := make([]string, 0, len(labels))
	for _, l := range labels {
		texts = append(texts, l.name+"="+l.value)
	}
	return strings.Join(texts, ", ")
}

func formatMap(labels map[string]string) string {
	texts := make([]string, 0, len(labels))
	for _, name := range slices.Sorted(maps.Keys(labels)) {
		texts = append(texts, name+"="+labels[name])
	}
	return strings.Join(texts, ", ")
}
