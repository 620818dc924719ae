package node

import (
	"maps"
	"slices"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
)

// routeOf returns the route of a request from its name, or nil if this daemon knows none.
func (n *Node) routeOf(r call.Request) *config.Route {
	routes := n.config.Routes()
	if routes == nil {
		return nil
	}
	route, _ := routes.Named(r.Route)
	return route
}

// allowsRegion reports whether the requests of a route may run in a region. Without a route
// they may.
func allowsRegion(route *config.Route, region string) bool {
	return route == nil || route.AllowsRegion(region)
}

// regionsKey returns the key of a route's regions.
func regionsKey(route *config.Route) string {
	if route == nil {
		return ""
	}
	return route.RegionsKey()
}

// runsInRegion reports whether the route of a request allows the region of this daemon.
func (n *Node) runsInRegion(r call.Request) bool {
	return allowsRegion(n.routeOf(r), n.cfg.Self.Region)
}

// RegionStatus describes, for operators, where requests of routes with regions may run.
type RegionStatus struct {
	// Own is the region of this daemon.
	Own string `json:"own"`
	// Zones holds the region of each availability zone with instances; "" if it is not known.
	Zones map[string]string `json:"zones"`
}

// Regions returns the regions of the known instances.
func (n *Node) Regions() RegionStatus {
	s := RegionStatus{Own: n.cfg.Self.Region, Zones: map[string]string{}}
	for _, r := range n.view.All() {
		s.Zones[r.AvailabilityZone] = r.Region
	}
	return s
}

// logRegions logs that routes are restricted to regions, and the zones where none of their
// requests can run because the region is not known.
func (n *Node) logRegions(d config.Document) []Command {
	if routes := d.Routes(); routes == nil || !routes.HasRegions() {
		return nil
	}
	zones := n.Regions().Zones
	maps.DeleteFunc(zones, func(_, region string) bool { return region != "" })
	unknown := slices.Sorted(maps.Keys(zones))
	return []Command{LogEntry{Part: "config", Text: "Routes are restricted to regions.", Warn: len(unknown) > 0, Fields: []any{
		"own", n.cfg.Self.Region, "zonesWithoutRegion", unknown,
	}}}
}
