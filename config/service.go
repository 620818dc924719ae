package config

import (
	"slices"

	"pomelodoor.example/pomelodoor/call"
)

// Service is the content of a service document. It is immutable and safe for
// concurrent use.
type Service struct {
	name         string
	labelRules   []LabelRule
	selectors    []*Selector
	priorities   []PriorityRule
	limits       Limits
	budgets      Budgets
	serviceLevel ServiceLevel
}

// LabelRule assigns labels to matching instances.
type LabelRule struct {
	instances patterns
	zones     patterns
	labels    []label
}

type label struct{ name, value string }

func (l LabelRule) match(instance, zone string) bool {
	return l.instances.match(instance) && l.zones.match(zone)
}

// Selector restricts matching callers to the upstreams that carry all of its
// labels.
type Selector struct {
	name           string
	callers        patterns
	upstreamLabels []label
}

// Name returns the selector name.
func (s *Selector) Name() string { return s.name }

// Name returns the service name.
func (s *Service) Name() string { return s.name }

// Limits returns the request limits of one instance.
func (s *Service) Limits() Limits { return s.limits }

// Budgets returns the limits on extra load from automatic actions.
func (s *Service) Budgets() Budgets { return s.budgets }

// ServiceLevel returns the service level objective.
func (s *Service) ServiceLevel() ServiceLevel { return s.serviceLevel }

// Select returns the first selector that matches caller. It returns false if
// none does, in which case the caller must not be served.
func (s *Service) Select(caller string) (*Selector, bool) {
	for _, sel := range s.selectors {
		if sel.callers.match(caller) {
			return sel, true
		}
	}
	return nil, false
}

// Priority returns the priority from the first rule that matches caller, or
// call.Normal if none does.
func (s *Service) Priority(caller string) call.Priority {
	for _, rule := range s.priorities {
		if rule.callers.match(caller) {
			return rule.priority
		}
	}
	return call.Normal
}

// Labels returns the labels of an instance. Rules apply in order; a later rule
// overrides the value set by an earlier one.
func (s *Service) Labels(instance, availabilityZone string) map[string]string {
	labels := make(map[string]string)
	for _, rule := range s.labelRules {
		if !rule.match(instance, availabilityZone) {
			continue
		}
		for _, l := range rule.labels {
			labels[l.name] = l.value
		}
	}
	return labels
}

// Serves reports whether an instance has all labels that sel requires. A nil sel
// matches no instance. Serves does not allocate, because it is called for each
// choice of an upstream.
func (s *Service) Serves(sel *Selector, instance, availabilityZone string) bool {
	if sel == nil {
		return false
	}
	for _, want := range sel.upstreamLabels {
		value, ok := s.label(want.name, instance, availabilityZone)
		if !ok || value != want.value {
			return false
		}
	}
	return true
}

// label returns the value of the label name from the last matching rule.
func (s *Service) label(name, instance, zone string) (string, bool) {
	for i := len(s.labelRules) - 1; i >= 0; i-- {
		rule := &s.labelRules[i]
		for _, l := range rule.labels {
			if l.name == name && rule.match(instance, zone) {
				return l.value, true
			}
		}
	}
	return "", false
}

// setsLabel reports whether any rule can assign l to an instance.
func (s *Service) setsLabel(l label) bool {
	return slices.ContainsFunc(s.labelRules, func(rule LabelRule) bool {
		return slices.Contains(rule.labels, l)
	})
}
