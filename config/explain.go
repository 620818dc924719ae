package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pomelodoor.example/pomelodoor/call"
)

// Candidate is an instance to be evaluated by Explain.
type Candidate struct {
	Instance         string `json:"instance"`
	AvailabilityZone string `json:"availabilityZone"`
	// Evacuated is true if the zone is evacuated, so that the instance gets no requests.
	Evacuated bool `json:"evacuated,omitempty"`
}

// Explanation describes how a service chooses the upstreams for a caller.
type Explanation struct {
	Service string `json:"service"`
	Caller  string `json:"caller"`
	// Selector is empty if no selector matches the caller.
	Selector  string                `json:"selector"`
	Priority  call.Priority         `json:"priority"`
	Selectors []SelectorExplanation `json:"selectors"`
	Upstreams []UpstreamExplanation `json:"upstreams"`
}

// SelectorExplanation describes why a selector was or was not chosen.
type SelectorExplanation struct {
	Name   string `json:"name"`
	Chosen bool   `json:"chosen"`
	Why    string `json:"why"`
}

// UpstreamExplanation describes why an instance does or does not serve the
// caller.
type UpstreamExplanation struct {
	Candidate
	Labels map[string]string `json:"labels"`
	Serves bool              `json:"serves"`
	Why    string            `json:"why"`
}

// Explain describes which selector of svc matches caller and, for each of the
// instances, why it does or does not serve the caller. It considers only
// documents: an instance that is said to serve may still be full, ejected or gone.
func Explain(svc *Service, caller string, instances ...Candidate) Explanation {
	sel, _ := svc.Select(caller)
	e := Explanation{Service: svc.name, Caller: caller, Priority: svc.Priority(caller)}
	if sel != nil {
		e.Selector = sel.name
	}
	afterMatch := false
	for _, other := range svc.selectors {
		e.Selectors = append(e.Selectors, explainSelector(other, sel, afterMatch))
		afterMatch = afterMatch || other == sel
	}
	for _, c := range instances {
		e.Upstreams = append(e.Upstreams, explainUpstream(svc, sel, c))
	}
	return e
}

func explainSelector(other, chosen *Selector, afterMatch bool) SelectorExplanation {
	s := SelectorExplanation{Name: other.name, Chosen: other == chosen}
	switch {
	case s.Chosen:
		s.Why = "first match: callers " + other.callers.String()
	case afterMatch:
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
		Serves:    !c.Evacuated && svc.Serves(sel, c.Instance, c.AvailabilityZone),
	}
	switch {
	case sel == nil:
		u.Why = "no selector matches the caller"
	case c.Evacuated:
		u.Why = "its availability zone is evacuated"
	case len(sel.upstreamLabels) == 0:
		u.Why = "the selector matches every upstream"
	case u.Serves:
		u.Why = "has " + formatLabels(sel.upstreamLabels)
	default:
		u.Why = strings.Join(missingLabels(sel, u.Labels), ", ")
	}
	return u
}

// missingLabels describes each label that sel requires and that labels lacks or
// sets to another value.
func missingLabels(sel *Selector, labels map[string]string) []string {
	var texts []string
	for _, want := range sel.upstreamLabels {
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

// String returns the explanation as text, each line ending in a newline.
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

// String returns the patterns separated by commas, or * if there are none.
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
