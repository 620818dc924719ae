package lint

import (
	"maps"
	"slices"
	"strings"

	"pomelodoor.example/pomelodoor/config"
)

// zones reports evacuated zones that do not exist, and an evacuation of every zone. Without
// a table of zones, those that label rules name are the only ones known.
func (c *checker) zones(zones *config.Zones, root config.Element) {
	list := root.Field("evacuated")
	named := c.zonePatterns()
	for _, item := range list.Items() {
		switch zone := item.Text(); {
		case c.Regions != nil && !c.zoneExists(zone):
			c.warn(item, "zone %q is not in --zones, so nothing is evacuated", zone)
		case c.Regions == nil && len(named) > 0 && !matches(named, zone):
			c.warn(item, "no other document names the zone %q (named: %s)", zone, strings.Join(named, ", "))
		}
	}
	all := len(c.Regions) > 0
	for zone := range c.Regions {
		all = all && zones.Evacuates(zone)
	}
	if all {
		c.warn(list, "evacuates every zone: every request would be refused")
	}
}

func (c *checker) zoneExists(zone string) bool {
	_, ok := c.Regions[zone]
	return ok
}

// zonePatterns returns the patterns of zones in the label rules of all documents, sorted.
func (c *checker) zonePatterns() []string {
	patterns := map[string]bool{}
	for _, d := range c.set.Documents() {
		if d.Service() == nil {
			continue
		}
		for _, rule := range d.Service().LabelRules() {
			for _, pattern := range rule.AvailabilityZones() {
				patterns[pattern] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(patterns))
}

// unknownRegions returns the regions that no zone of the table is in.
func unknownRegions(regions []string, table map[string]string) []string {
	known := slices.Collect(maps.Values(table))
	return slices.DeleteFunc(slices.Clone(regions), func(region string) bool { return slices.Contains(known, region) })
}
