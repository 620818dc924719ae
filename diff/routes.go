package diff

import (
	"fmt"
	"slices"
	"strings"

	"pomelodoor.example/pomelodoor/config"
)

// routeValues lists the fields of a route that are compared one by one.
var routeValues = []struct {
	name string
	text func(*config.Route) string
}{
	{"name", (*config.Route).Name},
	{"host and prefix", func(r *config.Route) string { return r.Host() + r.Prefix() }},
	{"requests may run more than once (idempotent)", func(r *config.Route) string { return yesNo(r.Idempotent()) }},
	{"rank, 0 is served first (rank)", func(r *config.Route) string { return fmt.Sprint(r.Rank()) }},
	{"longest time that a caller waits (timeoutMs)", func(r *config.Route) string { return r.Timeout().String() }},
	{"target time of a response (targetMs)", func(r *config.Route) string { return r.TargetLatency().String() }},
	{"most upstreams that a request is sent to (attempts)", func(r *config.Route) string { return fmt.Sprint(r.MaxAttempts()) }},
	{"services", shares},
}

// located is a route and its place in the text of the document.
type located struct {
	*config.Route
	element config.Element
}

func (l located) subject() string {
	return fmt.Sprintf("route %s (%s%s)", l.Name(), l.Host(), l.Prefix())
}

// regions returns the regions that the route allows.
func (l located) regions() string {
	var names []string
	for _, item := range l.element.Field("regions").Items() {
		names = append(names, item.Text())
	}
	if len(names) == 0 {
		return "any"
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

func locate(routes *config.Routes, root config.Element) []located {
	if routes == nil {
		return nil
	}
	items := root.Field("routes").Items()
	list := make([]located, 0, len(items))
	for i, route := range routes.All() {
		list = append(list, located{route, items[i]})
	}
	return list
}

func (c *comparison) routes(before, after *config.Routes, beforeRoot, afterRoot config.Element) {
	old, next := locate(before, beforeRoot), locate(after, afterRoot)
	predecessors, removed := pair(old, next)
	for i, route := range next {
		switch {
		case predecessors[i] < 0:
			c.add(route.subject(), "is new: requests go to %s", shares(route.Route))
		default:
			c.route(old[predecessors[i]], route)
		}
	}
	for _, i := range removed {
		c.add(old[i].subject(), "is removed")
	}
	if before == nil {
		return
	}
	c.value("", "largest request body (maxBodyBytes)", bytesText(before.MaxBodyBytes()), bytesText(after.MaxBodyBytes()))
	c.upstreamSettings(before, after)
}

// route compares two versions of a route.
func (c *comparison) route(before, after located) {
	subject := before.subject()
	switch {
	case after.Closed() && !before.Closed():
		c.add(subject, "is closed: every request is refused")
	case !after.Closed() && before.Closed():
		c.add(subject, "is open again")
	}
	for _, v := range routeValues {
		c.value(subject, v.name, v.text(before.Route), v.text(after.Route))
	}
	c.value(subject, "regions in which requests may run (regions)", before.regions(), after.regions())
}

// pair finds for each route its predecessor, or -1: the one with the same name and place,
// or else with the same place, or else with the same name. It also returns the old routes
// that have no successor.
func pair(old, next []located) (predecessors, removed []int) {
	predecessors = make([]int, len(next))
	for i := range predecessors {
		predecessors[i] = -1
	}
	succeeded := make([]bool, len(old))
	place := func(r located) string { return r.Host() + r.Prefix() }
	for _, identity := range []func(located) string{
		func(r located) string { return r.Name() + "\n" + place(r) }, place, func(r located) string { return r.Name() },
	} {
		free := map[string][]int{}
		for i, r := range old {
			if !succeeded[i] {
				free[identity(r)] = append(free[identity(r)], i)
			}
		}
		for i, r := range next {
			if candidates := free[identity(r)]; predecessors[i] < 0 && len(candidates) > 0 {
				predecessors[i], free[identity(r)] = candidates[0], candidates[1:]
				succeeded[candidates[0]] = true
			}
		}
	}
	for i := range old {
		if !succeeded[i] {
			removed = append(removed, i)
		}
	}
	return predecessors, removed
}

// shares describes the services of a route and their shares of the requests.
func shares(r *config.Route) string {
	total := 0
	for _, part := range r.WeightedServices() {
		total += part.Weight()
	}
	var parts []string
	for _, part := range r.WeightedServices() {
		parts = append(parts, fmt.Sprintf("%s %.4g %%", part.Service(), 100*float64(part.Weight())/float64(total)))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// upstreamSettings compares the entries of the list of services.
func (c *comparison) upstreamSettings(before, after *config.Routes) {
	for _, name := range after.Services() {
		subject := "service " + name
		is, _ := after.UpstreamSettings(name)
		was, exists := before.UpstreamSettings(name)
		if !exists {
			c.add(subject, "is new")
			continue
		}
		c.value(subject, "number of connections to an upstream (connections)", fmt.Sprint(was.Connections()), fmt.Sprint(is.Connections()))
		c.value(subject, "path of probes (probePath)", was.ProbePath(), is.ProbePath())
		c.value(subject, "time for which an upstream is cold (coldMs)", was.Cold().Duration().String(), is.Cold().Duration().String())
		c.value(subject, "requests per second that a cold upstream accepts (coldPerSecond)", perSecond(was.Cold()), perSecond(is.Cold()))
	}
	for _, name := range before.Services() {
		if _, exists := after.UpstreamSettings(name); !exists {
			c.add("service "+name, "is removed")
		}
	}
}

func perSecond(cold config.ColdSettings) string {
	if cold.PerSecond() == 0 {
		return "unlimited"
	}
	return fmt.Sprint(cold.PerSecond())
}
