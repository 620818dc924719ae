package config

import (
	"slices"
	"strings"
	"time"
)

// KeyRoutes is the key of the routes document.
const KeyRoutes = "routes"

// MaxRoutesBytes bounds the routes document, which holds the routes of every
// service.
const MaxRoutesBytes = 1 << 20

// Bounds of a routes document.
const (
	maxRoutes       = 20_000
	maxRouteParts   = 64
	maxRouteRank    = 1000
	maxAttempts     = 16
	maxWeight       = 1_000_000
	maxPrefixBytes  = 1024
	maxServices     = 10_000
	defaultAttempts = 3
)

// Route sends the requests of one host and path prefix to a service, or to
// several in fixed shares. It does not change, so that goroutines may share it.
type Route struct {
	name       string
	host       string
	prefix     string
	idempotent bool
	rank       int
	timeout    time.Duration
	target     time.Duration
	attempts   int
	parts      []Part
}

// Part is the share of a route's requests that one service gets.
type Part struct {
	service string
	weight  int
}

// Service returns the name of the service.
func (p Part) Service() string { return p.service }

// Weight returns the share, in relation to the weights of the other parts.
func (p Part) Weight() int { return p.weight }

// Name returns the name that the operator gave the route.
func (r *Route) Name() string { return r.name }

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

// Rank returns the route's place when an upstream has more than it can do; 0 is
// served first.
func (r *Route) Rank() int { return r.rank }

// Timeout returns the longest time that a caller is kept waiting.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Target returns the time within which an answer is worth most.
func (r *Route) Target() time.Duration { return r.target }

// Attempts returns how many upstreams may be sent one request.
func (r *Route) Attempts() int { return r.attempts }

// Parts returns the services of the route, at least one. The caller must not
// change them.
func (r *Route) Parts() []Part { return r.parts }

// Endpoint is what a routes document says of one service's upstreams.
type Endpoint struct {
	connections int
	probePath   string
}

// Connections returns how many connections one upstream takes.
func (e Endpoint) Connections() int { return e.connections }

// ProbePath returns the path at which an upstream tells its load.
func (e Endpoint) ProbePath() string { return e.probePath }

// Routes is what a routes document declares.
type Routes struct {
	byHost    map[string][]*Route
	endpoints map[string]Endpoint
	maxBody   int64
}

// Find returns the route of a host whose prefix is the longest that begins
// path, or false when there is none.
func (r *Routes) Find(host, path string) (*Route, bool) {
	for _, route := range r.byHost[host] {
		if strings.HasPrefix(path, route.prefix) {
			return route, true
		}
	}
	return nil, false
}

// Endpoint returns what is said of a service's upstreams, or false when the
// document does not name the service.
func (r *Routes) Endpoint(service string) (Endpoint, bool) {
	e, ok := r.endpoints[service]
	return e, ok
}

// MaxBodyBytes returns the size of the largest request body.
func (r *Routes) MaxBodyBytes() int64 { return r.maxBody }

// routes reads a routes document.
func (r *reader) routes(root *node) *Routes {
	o := r.object(root, "", "kind", "revision", "maxBodyBytes", "services", "routes")
	rs := &Routes{
		byHost:    map[string][]*Route{},
		endpoints: r.endpoints(o),
		maxBody:   int64(o.whole("maxBodyBytes", 0, maxBodyBytes, defaultMaxBodyBytes)),
	}
	items, _ := o.list("routes", maxRoutes)
	for i, item := range items {
		route := r.route(item, indexed("routes", i), rs.endpoints)
		rs.byHost[route.host] = append(rs.byHost[route.host], route)
	}
	for _, list := range rs.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.prefix) - len(a.prefix) })
	}
	return rs
}

func (r *reader) endpoints(root object) map[string]Endpoint {
	endpoints := map[string]Endpoint{}
	items, _ := root.list("services", maxServices)
	for i, item := range items {
		o := r.object(item, indexed("services", i), "service", "connections", "probePath")
		name := o.text("service", checkService)
		if _, twice := endpoints[name]; twice {
			r.fault(item.line, o.at("service"), "%q stands twice", clip(name))
		}
		endpoints[name] = Endpoint{
			connections: int(o.whole("connections", 1, maxConnections, defaultSlots*connectionsPerSlot)),
			probePath:   o.optional("probePath", checkPath, "/load"),
		}
	}
	return endpoints
}

func (r *reader) route(item *node, path string, endpoints map[string]Endpoint) *Route {
	o := r.object(item, path, "name", "host", "prefix", "idempotent", "rank", "timeoutMs", "targetMs", "attempts", "parts")
	route := &Route{
		name:       o.text("name", checkRouteName),
		host:       o.text("host", checkHost),
		prefix:     o.text("prefix", checkPrefix),
		idempotent: o.truth("idempotent"),
		rank:       int(o.whole("rank", 0, maxRouteRank, 0)),
		timeout:    time.Duration(o.whole("timeoutMs", 1, maxTimeoutMs, defaultTimeoutMs)) * time.Millisecond,
		target:     time.Duration(o.whole("targetMs", 1, maxTimeoutMs, defaultTimeoutMs)) * time.Millisecond,
		attempts:   int(o.whole("attempts", 1, maxAttempts, defaultAttempts)),
	}
	parts, _ := o.list("parts", maxRouteParts)
	for i, part := range parts {
		p := r.object(part, indexed(o.at("parts"), i), "service", "weight")
		route.parts = append(route.parts, Part{
			service: p.text("service", checkService),
			weight:  int(p.whole("weight", 1, maxWeight, 1)),
		})
	}
	if len(route.parts) == 0 {
		r.fault(item.line, o.at("parts"), "names no service")
	}
	for _, part := range route.parts {
		if _, ok := endpoints[part.service]; !ok {
			r.fault(item.line, o.at("parts"), "%q is not among the services", clip(part.service))
		}
	}
	return route
}

// optional returns the string in the field name, or standard when it is left
// out.
func (o object) optional(name string, check func(string) string, standard string) string {
	n, ok := o.field(name)
	if !ok {
		return standard
	}
	return o.r.text(n, o.at(name), check)
}

func checkRouteName(text string) string {
	if text == "" || len(text) > maxPrefixBytes {
		return "is no name of a route"
	}
	return ""
}

func checkHost(text string) string {
	if text == "" || len(text) > maxPrefixBytes || text != strings.ToLower(text) {
		return "is no host name in lower case"
	}
	return ""
}

func checkPath(text string) string {
	if !strings.HasPrefix(text, "/") || len(text) > maxPrefixBytes {
		return "is no path"
	}
	return ""
}

func checkPrefix(text string) string {
	if checkPath(text) != "" || !strings.HasSuffix(text, "/") {
		return "is no prefix that begins and ends with a slash"
	}
	return ""
}
