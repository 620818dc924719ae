package config

import (
	"slices"

	"pomelodoor.example/pomelodoor/call"
)

// Service is what one service document declares. It does not change, so that
// goroutines may share it.
type Service struct {
	name       string
	rules      []labelRule
	selectors  []*Selector
	priorities []priorityRule
	limits     Limits
	budgets    Budgets
	level      Level
}

// labelRule sets labels on the instances that it matches.
type labelRule struct {
	instances patterns
	zones     patterns
	set       []label
}

type label struct{ name, value string }

func (l labelRule) match(instance, zone string) bool {
	return l.instances.match(instance) && l.zones.match(zone)
}

// Selector chooses which upstreams serve the callers that it matches.
type Selector struct {
	name      string
	callers   patterns
	upstreams []label
}

// Name returns the name that the operator gave the selector.
func (s *Selector) Name() string { return s.name }

// Name returns the name of the service.
func (s *Service) Name() string { return s.name }

// Limits returns what one instance takes.
func (s *Service) Limits() Limits { return s.limits }

// Budgets returns what automatic actions may add.
func (s *Service) Budgets() Budgets { return s.budgets }

// Level returns the promised service level.
func (s *Service) Level() Level { return s.level }

// Select returns the first selector that matches caller, or false when none
// does and the caller is not to be served.
func (s *Service) Select(caller string) (*Selector, bool) {
	for _, sel := range s.selectors {
		if sel.callers.match(caller) {
			return sel, true
		}
	}
	return nil, false
}

// Priority returns the priority of the first rule that matches caller, or
// call.Normal.
func (s *Service) Priority(caller string) call.Priority {
	for _, rule := range s.priorities {
		if rule.callers.match(caller) {
			return rule.priority
		}
	}
	return call.Normal
}

// Labels returns the labels of an instance. Rules apply in order, and a later
// one replaces the value that an earlier one set.
func (s *Service) Labels(instance, availabilityZone string) map[string]string {
	labels := make(map[string]string)
	for _, rule := range s.rules {
		if !rule.match(instance, availabilityZone) {
			continue
		}
		for _, l := range rule.set {
			labels[l.name] = l.value
		}
	}
	return labels
}

// Serves reports whether an instance carries every label that sel asks for.
// It is called for each choice of an upstream and does not allocate.
func (s *Service) Serves(sel *Selector, instance, availabilityZone string) bool {
	if sel == nil {
		return false
	}
	for _, want := range sel.upstreams {
		value, ok := s.label(want.name, instance, availabilityZone)
		if !ok || value != want.value {
			return false
		}
	}
	return true
}

// label returns the value that the last matching rule gives to the label name.
func (s *Service) label(name, instance, zone string) (string, bool) {
	for i := len(s.rules) - 1; i >= 0; i-- {
		rule := &s.rules[i]
		for _, l := range rule.set {
			if l.name == name && rule.match(instance, zone) {
				return l.value, true
			}
		}
	}
	return "", false
}

// sets reports whether some rule may give an instance the label l.
func (s *Service) sets(l label) bool {
	return slices.ContainsFunc(s.rules, func(rule labelRule) bool {
		return slices.Contains(rule.set, l)
	})
}
