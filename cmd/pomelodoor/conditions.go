package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"pomelodoor.example/pomelodoor/node"
)

const (
	// maxGroups limits the groups of daemons on a line, and maxNames the daemons that are
	// named of each, so that a line stays readable whatever the size of the fleet.
	maxGroups = 3
	maxNames  = 3
)

// daemonGroup is daemons that are in the same condition.
type daemonGroup struct {
	label string
	names []string
}

// groupDaemons groups daemons by label, the largest group first. Daemons for which label
// returns "" are left out.
func groupDaemons(statuses map[string]node.Status, label func(node.Status) string) []daemonGroup {
	byLabel := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(statuses)) {
		if l := label(statuses[name]); l != "" {
			byLabel[l] = append(byLabel[l], name)
		}
	}
	var groups []daemonGroup
	for l, names := range byLabel {
		groups = append(groups, daemonGroup{l, names})
	}
	slices.SortFunc(groups, func(a, b daemonGroup) int {
		return cmp.Or(cmp.Compare(len(b.names), len(a.names)), cmp.Compare(a.label, b.label))
	})
	return groups
}

// writeConditions writes a line for each of these conditions that any daemon is in: evacuated
// zones, limited cold upstreams, shortages, and known eras of the store.
func writeConditions(out io.Writer, statuses map[string]node.Status) error {
	for _, line := range []string{
		evacuationLine(statuses), coldLine(statuses), shortageLine(statuses), eraLine(statuses),
	} {
		if line == "" {
			continue
		}
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

// evacuationLine names the evacuated zones, and the daemons that do not know of each.
func evacuationLine(statuses map[string]node.Status) string {
	unaware := map[string][]string{}
	for _, s := range statuses {
		for _, zone := range s.EvacuatedZones {
			unaware[zone] = nil
		}
	}
	for _, name := range slices.Sorted(maps.Keys(statuses)) {
		for zone := range unaware {
			if !slices.Contains(statuses[name].EvacuatedZones, zone) {
				unaware[zone] = append(unaware[zone], name)
			}
		}
	}
	if len(unaware) == 0 {
		return ""
	}
	var zones []string
	for _, zone := range slices.Sorted(maps.Keys(unaware)) {
		text := fmt.Sprintf("%s known to %d of %d daemons", zone, len(statuses)-len(unaware[zone]), len(statuses))
		if names := unaware[zone]; len(names) > 0 {
			text += ", not to " + listSome(names, maxNames, ", ")
		}
		zones = append(zones, text)
	}
	return fmt.Sprintf("evacuated zones: %d: %s", len(zones), listSome(zones, maxGroups, "; "))
}

// coldLine names the upstreams that get a limited rate of requests, by service and rate.
func coldLine(statuses map[string]node.Status) string {
	groups := groupDaemons(statuses, func(s node.Status) string {
		if s.Cold == nil || !s.Cold.InForce {
			return ""
		}
		return fmt.Sprintf("%s, %s, %d/s", serviceOf(s), s.Cold.Warmth, s.Cold.PerSecond)
	})
	return groupsLine("cold, limited", groups, len(statuses))
}

// shortageLine names the upstreams whose daemons refuse requests for lack of capacity, by
// service.
func shortageLine(statuses map[string]node.Status) string {
	groups := groupDaemons(statuses, func(s node.Status) string {
		if !s.Shedding.Shortage {
			return ""
		}
		return serviceOf(s)
	})
	return groupsLine("shortage", groups, len(statuses))
}

// eraLine names the eras of the store. It returns "" if no daemon knows of one.
func eraLine(statuses map[string]node.Status) string {
	named := false
	groups := groupDaemons(statuses, func(s node.Status) string {
		if s.Store == nil {
			return ""
		}
		named = named || s.Store.Era > 0
		return fmt.Sprintf("era %d", s.Store.Era)
	})
	if !named {
		return ""
	}
	if len(groups) == 1 {
		return fmt.Sprintf("store: %s at %d daemons", groups[0].label, len(groups[0].names))
	}
	return groupsLine("store, eras differ", groups, len(statuses))
}

// serviceOf returns the service of a daemon. Daemons of builds that do not state it count as
// of an unknown one.
func serviceOf(s node.Status) string { return cmp.Or(s.Service, "unknown service") }

// groupsLine formats groups of daemons, or returns "" without any.
func groupsLine(title string, groups []daemonGroup, daemons int) string {
	if len(groups) == 0 {
		return ""
	}
	total := 0
	var texts []string
	for _, g := range groups {
		total += len(g.names)
		texts = append(texts, fmt.Sprintf("%s: %d (%s)", g.label, len(g.names), listSome(g.names, maxNames, ", ")))
	}
	return fmt.Sprintf("%s: %d of %d daemons; %s", title, total, daemons, listSome(texts, maxGroups, "; "))
}

// listSome joins the first entries and counts the others.
func listSome(entries []string, limit int, separator string) string {
	if more := len(entries) - limit; more > 0 {
		return fmt.Sprintf("%s%sand %d more", strings.Join(entries[:limit], separator), separator, more)
	}
	return strings.Join(entries, separator)
}
