package lint

import (
	"maps"
	"slices"

	"pomelodoor.example/pomelodoor/config"
)

// instanceClass stands for all instances that the label rules of a service treat alike, by the
// name and zone of one of them.
type instanceClass struct{ instance, zone string }

// instanceClasses returns a class for each way in which label rules can apply to an instance. If
// the zones are known, instances are only in them.
func (c *checker) instanceClasses(rules []config.LabelRule) []instanceClass {
	var byInstance, byZone [][]string
	for _, r := range rules {
		byInstance = append(byInstance, r.Instances())
		byZone = append(byZone, r.AvailabilityZones())
	}
	zones := representatives(byZone)
	if c.Regions != nil {
		zones = slices.Sorted(maps.Keys(c.Regions))
	}
	var classes []instanceClass
	for _, instance := range representatives(byInstance) {
		for _, zone := range zones {
			classes = append(classes, instanceClass{instance, zone})
		}
	}
	return classes
}

// labels reports label rules that apply to no instance, that later rules override, or whose
// labels no selector needs.
func (c *checker) labels(service *config.Service, root config.Element, classes []instanceClass) {
	rules := service.LabelRules()
	list := root.Field("labels")
	needed := neededLabels(service)
	for i, rule := range rules {
		at := list.Item(i)
		if !c.ruleZones(rule, at) {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(rule.Labels())) {
			item := at.Field("set").Field(name)
			switch {
			case !setsAnywhere(rules, i, name, classes):
				c.warn(item, "has no effect: later rules set %s on every instance of this rule", name)
			case len(needed) > 0 && !needed[name]:
				c.warn(item, "no selector requires the label %s", name)
			}
		}
	}
}

// neededLabels returns the names of the labels that selectors require.
func neededLabels(service *config.Service) map[string]bool {
	needed := map[string]bool{}
	for _, s := range service.Selectors() {
		for name := range s.Upstreams() {
			needed[name] = true
		}
	}
	return needed
}

// ruleZones reports the patterns of a rule that match no known zone. It returns false if the
// rule applies to none.
func (c *checker) ruleZones(rule config.LabelRule, at config.Element) bool {
	if c.Regions == nil || len(rule.AvailabilityZones()) == 0 {
		return true
	}
	applies := false
	for i, pattern := range rule.AvailabilityZones() {
		if c.zoneMatches(pattern) {
			applies = true
			continue
		}
		c.warn(at.Field("availabilityZones").Item(i), "%q matches no zone of --zones", pattern)
	}
	return applies
}

// zoneMatches reports whether a pattern matches any known zone.
func (c *checker) zoneMatches(pattern string) bool {
	for zone := range c.Regions {
		if matches([]string{pattern}, zone) {
			return true
		}
	}
	return false
}

// setsAnywhere reports whether there is an instance on which rule i sets a label and no later
// rule does.
func setsAnywhere(rules []config.LabelRule, i int, name string, classes []instanceClass) bool {
	return slices.ContainsFunc(classes, func(class instanceClass) bool {
		if !applies(rules[i], class) {
			return false
		}
		return !slices.ContainsFunc(rules[i+1:], func(later config.LabelRule) bool {
			_, sets := later.Labels()[name]
			return sets && applies(later, class)
		})
	})
}

func applies(rule config.LabelRule, class instanceClass) bool {
	return matches(rule.Instances(), class.instance) && matches(rule.AvailabilityZones(), class.zone)
}
