package lint

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/config"
)

func (c *checker) service(service *config.Service, root config.Element) {
	classes := c.instanceClasses(service.LabelRules())
	c.labels(service, root, classes)
	c.selectors(service, root, classes)
	c.priorities(service, root)
	c.serviceRoute(service, root)
	c.serviceLimits(service, root)
	c.budgets(root.Field("budgets"))
}

// serviceRoute reports a service that no request can reach.
func (c *checker) serviceRoute(service *config.Service, root config.Element) {
	if c.set.Routes() == nil {
		return
	}
	if text := c.unreached(service.Name()); text != "" {
		c.warn(root.Field("service"), "%s %s", text, service.Name())
	}
}

// reached returns the services that routes lead to; true means that one of them is open.
func reached(routes *config.Routes) map[string]bool {
	open := map[string]bool{}
	if routes == nil {
		return open
	}
	for _, route := range routes.All() {
		for _, part := range route.WeightedServices() {
			open[part.Service()] = open[part.Service()] || !route.Closed()
		}
	}
	return open
}

// unreached returns why no request reaches a service, or "".
func (c *checker) unreached(service string) string {
	switch open, routed := c.reached[service]; {
	case open:
		return ""
	case routed:
		return "only closed routes lead to"
	}
	return "no route leads to"
}

func (c *checker) serviceLimits(service *config.Service, root config.Element) {
	limits, level := service.Limits(), service.ServiceLevel()
	body := root.Field("limits").Field("maxBodyBytes")
	routes := c.set.Routes()
	switch {
	case routes == nil:
		c.body(body, limits.MaxBodyBytes())
	case body.Present() && routes.MaxBodyBytes() != limits.MaxBodyBytes():
		c.warn(body, "has no effect beside a routes document, whose limit of %d applies", routes.MaxBodyBytes())
	}
	if latency := root.Field("serviceLevel").Field("latencyMs"); latency.Present() && level.Latency() > limits.Timeout() {
		c.warn(latency, "is %v, above limits.timeoutMs of %v: no later answer can occur", level.Latency(), limits.Timeout())
	}
}

// body reports a limit of request bodies that a daemon cannot hold in memory.
func (c *checker) body(at config.Element, limit int64) {
	if c.AccountBytes > 0 && limit > c.AccountBytes {
		c.warn(at, "is %d, above the %d bytes of memory that a daemon has for bodies (--memory-mb)", limit, c.AccountBytes)
	}
}

// shortestTimeout returns the shortest timeout among the documents of services, and its
// service. Services without a document have the longest one.
func (c *checker) shortestTimeout(services []config.WeightedService) (service string, timeout time.Duration) {
	timeout = config.MaxRouteTimeout
	for _, s := range services {
		if d, ok := c.set.Document(config.KeyService(s.Service())); ok && d.Service().Limits().Timeout() < timeout {
			service, timeout = s.Service(), d.Service().Limits().Timeout()
		}
	}
	return service, timeout
}

// servesNobody reports whether the document of a service has an empty list of selectors.
func (c *checker) servesNobody(service string) bool {
	s, ok := c.set.Service(service)
	return ok && len(s.Selectors()) == 0
}

// servesNone reports whether no service of a route serves any caller.
func (c *checker) servesNone(services []config.WeightedService) bool {
	return !slices.ContainsFunc(services, func(s config.WeightedService) bool { return !c.servesNobody(s.Service()) })
}
