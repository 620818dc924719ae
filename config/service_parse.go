package config

import (
	"slices"
	"strings"
)

// Maximum lengths of the lists in a service document.
const (
	maxRules    = 256
	maxPatterns = 512
	maxLabels   = 64
)

// service decodes a service document.
func (r *reader) service(root *node) *Service {
	o := r.object(root, "", "kind", "revision", "service", "labels", "selectors",
		"priorities", "limits", "budgets", "serviceLevel")
	s := &Service{
		name:         o.text("service", checkService),
		labelRules:   r.labelRules(o),
		priorities:   r.priorities(o),
		limits:       r.limits(o),
		budgets:      r.budgets(o),
		serviceLevel: r.serviceLevel(o),
	}
	s.selectors = r.selectors(o, s)
	return s
}

func (r *reader) labelRules(root object) []LabelRule {
	items, _ := root.list("labels", maxRules)
	rules := make([]LabelRule, 0, len(items))
	for i, item := range items {
		o := r.object(item, joinIndex("labels", i), "instances", "availabilityZones", "set")
		set := o.labels("set")
		if n, ok := o.field("set"); !ok || n.kind == objectNode && len(n.members) == 0 {
			r.fault(item.line, o.fieldPath("set"), "sets no label")
		}
		rules = append(rules, LabelRule{
			instances: o.patterns("instances"),
			zones:     o.patterns("availabilityZones"),
			labels:    set,
		})
	}
	return rules
}

// selectors decodes the selectors of s. If the field is missing, every upstream
// serves every caller. With an empty list no caller is served.
func (r *reader) selectors(root object, s *Service) []*Selector {
	items, ok := root.list("selectors", maxRules)
	if !ok {
		return []*Selector{{name: "default"}}
	}
	selectors := make([]*Selector, 0, len(items))
	for i, item := range items {
		o := r.object(item, joinIndex("selectors", i), "name", "callers", "upstreams")
		sel := &Selector{
			name:           o.text("name", checkName),
			callers:        o.patterns("callers"),
			upstreamLabels: o.labels("upstreams"),
		}
		r.checkSelector(o, sel, s, selectors)
		selectors = append(selectors, sel)
	}
	return selectors
}

// checkSelector reports a duplicate selector name and labels that no rule sets.
// It does not check whether a rule matches a live instance: daemons see different
// lists of instances but must all reach the same result.
func (r *reader) checkSelector(o object, sel *Selector, s *Service, earlier []*Selector) {
	sameName := func(other *Selector) bool { return other.name == sel.name }
	if n, ok := o.field("name"); ok && sel.name != "" && slices.ContainsFunc(earlier, sameName) {
		r.fault(n.line, o.fieldPath("name"), "the name %q is used twice", truncate(sel.name))
	}
	upstreams, _ := o.field("upstreams")
	for _, want := range sel.upstreamLabels {
		if !s.setsLabel(want) {
			line := upstreams.memberLine(want.name)
			path := join(o.fieldPath("upstreams"), printableName(want.name))
			r.fault(line, path, "no rule in labels sets %s to %q", printableName(want.name), truncate(want.value))
		}
	}
}

// memberLine returns the line of the field name in n, or the line of n if there
// is no such field.
func (n *node) memberLine(name string) int {
	for _, m := range n.members {
		if m.name == name {
			return m.line
		}
	}
	return n.line
}

// patterns returns the patterns in the field name. A missing field matches every
// name. An empty list is rejected, since it reads as matching nothing.
func (o object) patterns(name string) patterns {
	texts, ok := o.texts(name, maxPatterns, checkPattern)
	if n, _ := o.field(name); ok && len(n.items) == 0 {
		o.r.fault(n.line, o.fieldPath(name), "is empty, omit it to match every name")
	}
	return texts
}

// labels returns the label names and values of the object in the field name,
// sorted by name.
func (o object) labels(name string) []label {
	n, ok := o.field(name)
	if !ok || !o.r.requireKind(n, o.fieldPath(name), objectNode) {
		return nil
	}
	if len(n.members) > maxLabels {
		o.r.fault(n.line, o.fieldPath(name), "has %d labels, at most %d are allowed", len(n.members), maxLabels)
		return nil
	}
	o.r.checkDuplicates(n, o.fieldPath(name))
	labels := make([]label, 0, len(n.members))
	for _, m := range n.members {
		path := join(o.fieldPath(name), printableName(m.name))
		if problem := checkName(m.name); problem != "" {
			o.r.fault(m.line, path, "the name %s", problem)
		}
		labels = append(labels, label{m.name, o.r.text(m.value, path, checkName)})
	}
	slices.SortFunc(labels, func(x, y label) int { return strings.Compare(x.name, y.name) })
	return labels
}
