package lint

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pomelodoor.example/pomelodoor/config"
)

// callerRule is an entry that applies to callers, unless an earlier one does.
type callerRule struct {
	name    string
	callers []string
}

// hiddenCallers reports the entries of the list, and the patterns in them, whose callers an
// earlier entry already matches.
func (c *checker) hiddenCallers(rules []callerRule, list config.Element) {
	for i, rule := range rules {
		at := list.Item(i)
		patterns := rule.callers
		if len(patterns) == 0 {
			patterns = []string{"*"}
		}
		var hidden []string
		var first []int
		for _, pattern := range patterns {
			if j := slices.IndexFunc(rules[:i], func(r callerRule) bool { return covers(r.callers, pattern) }); j >= 0 {
				hidden = append(hidden, pattern)
				first = append(first, j)
			}
		}
		if len(hidden) == len(patterns) {
			c.warn(at, "%s never applies: %s comes first for all its callers", rule.name, rules[first[0]].name)
			continue
		}
		for k, pattern := range hidden {
			item := at.Field("callers").Item(slices.Index(patterns, pattern))
			c.warn(item, "%s has no effect: %s comes first for these callers", pattern, rules[first[k]].name)
		}
	}
}

// selectors reports selectors that never apply, or that no instance can meet.
func (c *checker) selectors(service *config.Service, root config.Element, classes []instanceClass) {
	list := root.Field("selectors")
	if !list.Present() {
		return
	}
	selectors := service.Selectors()
	if len(selectors) == 0 {
		c.warn(list, "is empty: the service serves no caller")
		return
	}
	var rules []callerRule
	for i, s := range selectors {
		rules = append(rules, callerRule{name: "selector " + s.Name(), callers: s.Callers()})
		served := slices.ContainsFunc(classes, func(class instanceClass) bool { return service.Serves(s, class.instance, class.zone) })
		if !served {
			c.warn(list.Item(i).Field("upstreams"), "no instance that the rules in labels describe has %s", labelText(s.Upstreams()))
		}
	}
	c.hiddenCallers(rules, list)
}

// priorities reports priority rules that never apply.
func (c *checker) priorities(service *config.Service, root config.Element) {
	list := root.Field("priorities")
	if !list.Present() {
		return
	}
	if c.set.Routes() != nil {
		c.warn(list, "has no effect beside a routes document, whose ranks apply")
		return
	}
	var rules []callerRule
	for i, r := range service.Priorities() {
		rules = append(rules, callerRule{name: fmt.Sprintf("priorities[%d] (%s)", i, joinPatterns(r.Callers())), callers: r.Callers()})
	}
	c.hiddenCallers(rules, list)
}

func labelText(labels map[string]string) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(labels)) {
		parts = append(parts, name+"="+labels[name])
	}
	return strings.Join(parts, " and ")
}
