package config

import (
	"slices"
	"strings"
)

// Bounds of the lists in a service document.
const (
	maxRules    = 256
	maxPatterns = 512
	maxLabels   = 64
)

// service reads a service document.
func (r *reader) service(root *node) *Service {
	o := r.object(root, "", "kind", "revision", "service", "labels", "selectors",
		"priorities", "limits", "budgets", "serviceLevel")
	s := &Service{
		name:       o.text("service", checkService),
		rules:      r.labelRules(o),
		priorities: r.priorities(o),
		limits:     r.limits(o),
		budgets:    r.budgets(o),
		level:      r.level(o),
	}
	s.selectors = r.selectors(o, s)
	return s
}

func (r *reader) labelRules(root object) []labelRule {
	items, _ := root.list("labels", maxRules)
	rules := make([]labelRule, 0, len(items))
	for i, item := range items {
		o := r.object(item, indexed("labels", i), "instances", "availabilityZones", "set")
		set := o.labels("set")
		if n, ok := o.field("set"); !ok || n.kind == objectNode && len(n.members) == 0 {
			r.fault(item.line, o.at("set"), "sets no label")
		}
		rules = append(rules, labelRule{
			instances: o.patterns("instances"),
			zones:     o.patterns("availabilityZones"),
			set:       set,
		})
	}
	return rules
}

// selectors reads the selectors of s. A document that leaves them out serves
// every caller with every upstream; an empty list serves nobody.
func (r *reader) selectors(root object, s *Service) []*Selector {
	items, ok := root.list("selectors", maxRules)
	if !ok {
		return []*Selector{{name: "default"}}
	}
	selectors := make([]*Selector, 0, len(items))
	for i, item := range items {
		o := r.object(item, indexed("selectors", i), "name", "callers", "upstreams")
		sel := &Selector{
			name:      o.text("name", checkName),
			callers:   o.patterns("callers"),
			upstreams: o.labels("upstreams"),
		}
		r.checkSelector(o, sel, s, selectors)
		selectors = append(selectors, sel)
	}
	return selectors
}

// checkSelector refuses a name that stands twice and labels that no rule sets.
// Whether a rule matches a live instance is left open, since daemons see
// different lists of instances and must all give the same verdict.
func (r *reader) checkSelector(o object, sel *Selector, s *Service, before []*Selector) {
	same := func(other *Selector) bool { return other.name == sel.name }
	if n, ok := o.field("name"); ok && sel.name != "" && slices.ContainsFunc(before, same) {
		r.fault(n.line, o.at("name"), "the name %q stands twice", clip(sel.name))
	}
	upstreams, _ := o.field("upstreams")
	for _, want := range sel.upstreams {
		if !s.sets(want) {
			line := upstreams.lineOf(want.name)
			path := join(o.at("upstreams"), shown(want.name))
			r.fault(line, path, "no rule in labels sets %s to %q", shown(want.name), clip(want.value))
		}
	}
}

// lineOf returns the line of the field name in n.
func (n *node) lineOf(name string) int {
	for _, m := range n.members {
		if m.name == name {
			return m.line
		}
	}
	return n.line
}

// patterns returns the patterns in the field name. A field that is left out
// matches all; an empty list would match none and is refused.
func (o object) patterns(name string) patterns {
	texts, ok := o.texts(name, maxPatterns, checkPattern)
	if n, _ := o.field(name); ok && len(n.items) == 0 {
		o.r.fault(n.line, o.at(name), "is empty, leave it out to match all")
	}
	return texts
}

// labels returns the names and values of the object in the field name, sorted
// by name.
func (o object) labels(name string) []label {
	n, ok := o.field(name)
	if !ok || !o.r.is(n, o.at(name), objectNode) {
		return nil
	}
	if len(n.members) > maxLabels {
		o.r.fault(n.line, o.at(name), "has %d labels, at most %d are allowed", len(n.members), maxLabels)
		return nil
	}
	o.r.unique(n, o.at(name))
	labels := make([]label, 0, len(n.members))
	for _, m := range n.members {
		path := join(o.at(name), shown(m.name))
		if wrong := checkName(m.name); wrong != "" {
			o.r.fault(m.line, path, "the name %s", wrong)
		}
		labels = append(labels, label{m.name, o.r.text(m.value, path, checkName)})
	}
	slices.SortFunc(labels, func(x, y label) int { return strings.Compare(x.name, y.name) })
	return labels
}
