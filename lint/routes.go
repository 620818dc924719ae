package lint

import (
	"time"

	"pomelodoor.example/pomelodoor/config"
)

// minShare is the smallest share of a route's requests that is not reported. A smaller one is
// more likely a mistake in the weights than a trial.
const minShare = 0.001

func (c *checker) routes(routes *config.Routes, root config.Element) {
	c.body(root.Field("maxBodyBytes"), routes.MaxBodyBytes())
	for _, item := range root.Field("services").Items() {
		c.upstreamSettings(routes, item)
	}
	byPrefix, byName := map[[2]string]string{}, map[string]string{}
	items := root.Field("routes").Items()
	for i, route := range routes.All() {
		item := items[i]
		prefix := [2]string{route.Host(), route.Prefix()}
		if first, hidden := byPrefix[prefix]; hidden {
			c.warn(item.Field("prefix"), "the route never matches: %s has the same host and prefix and comes first", first)
			continue
		}
		byPrefix[prefix] = route.Name() + " (" + item.Path() + ")"
		if first, twice := byName[route.Name()]; twice {
			c.warn(item.Field("name"), "%s has the same name, so counters and weights of the two are mixed", first)
		}
		byName[route.Name()] = item.Path()
		c.route(route, item)
	}
}

func (c *checker) route(route *config.Route, item config.Element) {
	c.regions(item.Field("regions"))
	if route.Closed() {
		c.warn(item.Field("closed"), "every request for %s%s is refused (routeClosed)", route.Host(), route.Prefix())
		return
	}
	c.parts(route, item.Field("parts"))
	c.times(route, item)
}

// regions reports regions that no zone is in.
func (c *checker) regions(list config.Element) {
	if c.Regions == nil {
		return
	}
	var names []string
	for _, item := range list.Items() {
		names = append(names, item.Text())
	}
	unknown := unknownRegions(names, c.Regions)
	for _, region := range unknown {
		c.warn(list, "no zone of --zones is in the region %q", region)
	}
	if len(names) > 0 && len(unknown) == len(names) {
		c.warn(list, "no region exists: every request of the route would be refused")
	}
}

// parts reports services of a route that get hardly any request, or serve none.
func (c *checker) parts(route *config.Route, list config.Element) {
	weights, total := map[string]int{}, 0
	for i, part := range route.WeightedServices() {
		if _, twice := weights[part.Service()]; twice {
			c.warn(list.Item(i).Field("service"), "%s is listed twice; its weights add up", part.Service())
		}
		weights[part.Service()] += part.Weight()
		total += part.Weight()
	}
	none := c.servesNone(route.WeightedServices())
	if none {
		c.warn(list, "no service of the route serves any caller: their selectors are empty")
	}
	for i, part := range route.WeightedServices() {
		at := list.Item(i)
		if !none && c.servesNobody(part.Service()) {
			c.warn(at.Field("service"), "%s serves no caller: the selectors of its document are empty", part.Service())
		}
		if weight := weights[part.Service()]; float64(weight) < minShare*float64(total) {
			c.warn(at.Field("weight"), "%s gets %d of %d requests, less than a thousandth", part.Service(), weight, total)
		}
	}
}

// times reports a timeout, target and number of attempts that contradict each other.
func (c *checker) times(route *config.Route, item config.Element) {
	target, timeout := item.Field("targetMs"), item.Field("timeoutMs")
	longest := route.Timeout()
	service, limit := c.shortestTimeout(route.WeightedServices())
	if limit < longest {
		longest = limit
		if timeout.Present() {
			c.warn(timeout, "is %v, but limits.timeoutMs of service %s ends its requests after %v", route.Timeout(), service, limit)
		}
	}
	if !target.Present() {
		return
	}
	if route.TargetLatency() > longest {
		c.warn(target, "is %v, above the timeout of %v", route.TargetLatency(), longest)
		return
	}
	attempts := item.Field("attempts")
	needed := time.Duration(route.MaxAttempts()) * route.TargetLatency()
	if attempts.Present() && route.MaxAttempts() > 1 && needed > longest {
		c.warn(attempts, "is %d, but the timeout of %v has room for %d attempts of %v (targetMs)",
			route.MaxAttempts(), longest, longest/route.TargetLatency(), route.TargetLatency())
	}
}

// upstreamSettings checks an entry of the list of services.
func (c *checker) upstreamSettings(routes *config.Routes, item config.Element) {
	name := item.Field("service").Text()
	settings, _ := routes.UpstreamSettings(name)
	if text := c.unreached(name); text != "" {
		c.warn(item.Field("service"), "%s %s", text, name)
	}
	c.cold(settings.Cold(), item)
	connections := item.Field("connections")
	service, _ := c.set.Service(name)
	if service == nil || !connections.Present() {
		return
	}
	_, own := c.set.Document(config.KeyService(name))
	limits := service.Limits()
	switch {
	case own && limits.Connections() != settings.Connections():
		c.warn(connections, "has no effect: the document %s allows %d", config.KeyService(name), limits.Connections())
	case !own && limits.Connections() < limits.Slots():
		c.warn(connections, "is %d, below the default of %d slots, each of which needs a connection", limits.Connections(), limits.Slots())
	}
}

// cold reports settings of cold upstreams that set no limit, or not the one that they state.
func (c *checker) cold(cold config.ColdSettings, item config.Element) {
	perSecond := item.Field("coldPerSecond")
	switch {
	case cold.Duration() > 0 && cold.PerSecond() == 0:
		c.warn(perSecond, "is 0 although coldMs is %v: requests to cold upstreams are not limited", cold.Duration())
	case cold.PerSecond() > 0 && cold.PerSecond() < 1:
		c.warn(perSecond, "is %v: at least one request per second is sent to a cold upstream", cold.PerSecond())
	}
}
