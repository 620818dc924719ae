package config

import (
	"slices"

	"pomelodoor.example/pomelodoor/call"
)

// LabelRules returns the label rules in the order in which they apply.
func (s *Service) LabelRules() []LabelRule { return slices.Clone(s.labelRules) }

// Selectors returns the selectors in the order in which they are tried.
func (s *Service) Selectors() []*Selector { return slices.Clone(s.selectors) }

// Priorities returns the priority rules in the order in which they are tried.
func (s *Service) Priorities() []PriorityRule { return slices.Clone(s.priorities) }

// Instances returns the patterns of instances that the rule applies to; none means all.
func (l LabelRule) Instances() []string { return slices.Clone(l.instances) }

// AvailabilityZones returns the patterns of zones that the rule applies to; none means all.
func (l LabelRule) AvailabilityZones() []string { return slices.Clone(l.zones) }

// Labels returns the labels that the rule sets.
func (l LabelRule) Labels() map[string]string { return labelMap(l.labels) }

// Callers returns the patterns of callers that the selector applies to; none means all.
func (s *Selector) Callers() []string { return slices.Clone(s.callers) }

// Upstreams returns the labels that an upstream needs.
func (s *Selector) Upstreams() map[string]string { return labelMap(s.upstreamLabels) }

// Callers returns the patterns of callers that the rule applies to; none means all.
func (p PriorityRule) Callers() []string { return slices.Clone(p.callers) }

// Priority returns the priority that the rule sets.
func (p PriorityRule) Priority() call.Priority { return p.priority }

func labelMap(labels []label) map[string]string {
	m := make(map[string]string, len(labels))
	for _, l := range labels {
		m[l.name] = l.value
	}
	return m
}

// Host returns the host whose requests the route applies to.
func (r *Route) Host() string { return r.host }

// Prefix returns the prefix of the paths that the route applies to.
func (r *Route) Prefix() string { return r.prefix }

// All returns the routes in the order of the document.
func (r *Routes) All() []*Route {
	var routes []*Route
	for _, list := range r.byHost {
		routes = append(routes, list...)
	}
	slices.SortFunc(routes, func(a, b *Route) int { return a.index - b.index })
	return routes
}

// Services returns the names of the services that the document lists, sorted.
func (r *Routes) Services() []string {
	names := make([]string, 0, len(r.upstreamSettings))
	for name := range r.upstreamSettings {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Lists reports whether a is listed as allowed, also while AllOff is true.
func (s *Switches) Lists(a Action) bool { return s.allow&a.bit() != 0 }
