package config

import (
	"slices"
	"strings"
)

// maxRegions is the maximum number of regions that a route names.
const maxRegions = 255

// regions is the set of regions in which requests of a route may run, sorted. Without any
// there is no restriction.
type regions struct {
	names []string
	// key is the same for equal sets, and "" without a restriction.
	key string
}

// Regions returns the regions in which requests of the route may run, sorted; none means any.
// The caller must not modify the slice.
func (r *Route) Regions() []string { return r.regions.names }

// RegionsKey returns a text that is the same for routes with the same regions; "" means any
// region.
func (r *Route) RegionsKey() string { return r.regions.key }

// AllowsRegion reports whether requests of the route may run in a region. One that is not
// known, "", is allowed only without a restriction.
func (r *Route) AllowsRegion(region string) bool {
	if len(r.regions.names) == 0 {
		return true
	}
	_, found := slices.BinarySearch(r.regions.names, region)
	return found && region != ""
}

// regions decodes the regions of a route. An empty list is rejected, since it reads as
// allowing none.
func (o object) regions() regions {
	names, ok := o.texts("regions", maxRegions, checkZone)
	if n, _ := o.field("regions"); ok && len(n.items) == 0 {
		o.r.fault(n.line, o.fieldPath("regions"), "is empty, omit it to allow every region")
	}
	slices.Sort(names)
	return regions{names: names, key: strings.Join(names, "\n")}
}

// checkRegionsByName reports two routes of the same name with different regions. Other daemons
// learn only the name of a request's route.
func (r *reader) checkRegionsByName(item *node, path string, route *Route, byName map[string]*Route) {
	if other := byName[route.name]; other != nil && other.regions.key != route.regions.key {
		r.fault(item.line, join(path, "regions"), "differ from those of the other route with the name %q", truncate(route.name))
	}
	byName[route.name] = route
}

// Named returns the route with a name, or false if there is none. Of several it returns one;
// all have the same regions.
func (r *Routes) Named(name string) (*Route, bool) {
	route, ok := r.byName[name]
	return route, ok
}

// HasRegions reports whether any route names regions.
func (r *Routes) HasRegions() bool {
	for _, route := range r.byName {
		if route.regions.key != "" {
			return true
		}
	}
	return false
}
