package node

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
)

// split divides the requests of one route among its services by smooth weighted
// round robin, as in nginx. The credit of each service grows by its weight with
// each request; the service with the most credit gets the request and pays the
// total weight.
type split struct {
	services []config.WeightedService
	credit   []int
}

// route finds the route of a request and sets the fields that it determines.
// The reason is set if there is none.
func (n *Node) route(c *callState, now time.Time) (call.Reason, bool) {
	routes := n.config.Routes()
	if routes == nil {
		if n.cfg.Direct {
			return call.NoConfiguration, false
		}
		return "", true
	}
	route, ok := routes.Find(c.request.Host, c.request.Path)
	if !ok {
		return call.UnknownService, false
	}
	if route.Closed() {
		return call.RouteClosed, false
	}
	c.route = route
	c.request.Service = n.nextService(route)
	c.request.Repeat = call.Unsafe
	if route.Idempotent() {
		c.request.Repeat = call.Safe
	}
	c.request.Priority = call.PriorityOfRank(route.Rank())
	c.request.Route = route.Name()
	c.request.Target = now.Add(route.TargetLatency())
	c.limitDeadline(now.Add(route.Timeout()))
	return "", true
}

// routesRevision returns the revision of the routes in force, or 0.
func (n *Node) routesRevision() uint64 {
	d, _ := n.config.Document(config.KeyRoutes)
	return d.Revision()
}

// limitDeadline brings the deadline forward to latest if it is later or not
// set.
func (c *callState) limitDeadline(latest time.Time) {
	if c.request.Deadline.IsZero() || c.request.Deadline.After(latest) {
		c.request.Deadline = latest
	}
}

// nextService returns the service that gets the next request of a route.
func (n *Node) nextService(route *config.Route) string {
	services := route.WeightedServices()
	if len(services) == 1 {
		return services[0].Service()
	}
	s := n.splits[route.Name()]
	if s == nil || !slices.Equal(s.services, services) {
		s = n.newSplit(services)
		n.splits[route.Name()] = s
	}
	return s.next()
}

// newSplit starts at a random position of the round, so that daemons started
// together do not all begin with the same service.
func (n *Node) newSplit(services []config.WeightedService) *split {
	s := &split{services: services, credit: make([]int, len(services))}
	total := 0
	for _, service := range services {
		total += service.Weight()
	}
	for i, service := range services {
		s.credit[i] = int(n.cfg.Rand()%uint64(total)) * service.Weight() / total
	}
	return s
}

func (s *split) next() string {
	best, total := 0, 0
	for i, service := range s.services {
		s.credit[i] += service.Weight()
		total += service.Weight()
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return s.services[best].Service()
}
