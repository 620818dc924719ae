package config

import (
	"math"
	"slices"
	"strings"
	"time"
)

// KeyRoutes is the key of the routes document.
const KeyRoutes = "routes"

// MaxRoutesBytes is the size limit of the routes document. It is larger than
// MaxDocumentBytes because the document holds the routes of all services, and larger
// than the values of the platforms from which it is generated.
const MaxRoutesBytes = 16 << 20

// Bounds of the numbers in a routes document. Its lists and names are limited only by
// its size.
const (
	MaxRouteRank     = math.MaxInt32
	MaxRouteAttempts = 1000
	MaxRouteWeight   = 1_000_000
	// MaxRouteTimeout limits the timeout and the target latency.
	MaxRouteTimeout = maxTimeoutMs * time.Millisecond

	defaultAttempts = 3
	unlimited       = math.MaxInt
)

// Route maps the requests for a host and path prefix to one service, or to
// several by weight. It is immutable and safe for concurrent use.
type Route struct {
	name             string
	host             string
	prefix           string
	idempotent       bool
	rank             int
	timeout          time.Duration
	targetLatency    time.Duration
	attempts         int
	closed           bool
	weightedServices []WeightedService
	regions          regions
	index            int // position in the document
}

// WeightedService is a service of a route and its weight.
type WeightedService struct {
	service string
	weight  int
}

// Service returns the service name.
func (w WeightedService) Service() string { return w.service }

// Weight returns the weight relative to those of the route's other services.
func (w WeightedService) Weight() int { return w.weight }

// Name returns the route name.
func (r *Route) Name() string { return r.name }

// Idempotent reports whether requests of the route may run more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

// Rank returns the route's priority when an upstream is overloaded; rank 0 is
// served first.
func (r *Route) Rank() int { return r.rank }

// Timeout returns the maximum time that a caller waits for an answer.
func (r *Route) Timeout() time.Duration { return r.timeout }

// TargetLatency returns the target latency. An answer is most useful within this time.
func (r *Route) TargetLatency() time.Duration { return r.targetLatency }

// MaxAttempts returns the maximum number of upstreams that one request is sent to.
func (r *Route) MaxAttempts() int { return r.attempts }

// Closed reports whether every request of the route is refused.
func (r *Route) Closed() bool { return r.closed }

// WeightedServices returns the services of the route, at least one unless the route is
// closed. The caller must not modify the slice.
func (r *Route) WeightedServices() []WeightedService { return r.weightedServices }

// UpstreamSettings holds the settings in a routes document for the upstreams of one
// service.
type UpstreamSettings struct {
	connections int
	probePath   string
	cold        ColdSettings
}

// Connections returns the maximum number of connections to one upstream.
func (s UpstreamSettings) Connections() int { return s.connections }

// ProbePath returns the URL path at which an upstream reports its load.
func (s UpstreamSettings) ProbePath() string { return s.probePath }

// Cold returns the settings for upstreams of the service that have just started.
func (s UpstreamSettings) Cold() ColdSettings { return s.cold }

// Routes is the content of a routes document.
type Routes struct {
	byHost           map[string][]*Route // longest prefix first
	byName           map[string]*Route
	upstreamSettings map[string]UpstreamSettings
	maxBody          int64
}

// Find returns the route for host with the longest prefix of path, or false if
// no route matches.
func (r *Routes) Find(host, path string) (*Route, bool) {
	for _, route := range r.byHost[host] {
		if strings.HasPrefix(path, route.prefix) {
			return route, true
		}
	}
	return nil, false
}

// UpstreamSettings returns the settings for the upstreams of a service, or false if the
// document does not list the service.
func (r *Routes) UpstreamSettings(service string) (UpstreamSettings, bool) {
	s, ok := r.upstreamSettings[service]
	return s, ok
}

// MaxBodyBytes returns the maximum size of a request body.
func (r *Routes) MaxBodyBytes() int64 { return r.maxBody }

// routes decodes a routes document.
func (r *reader) routes(root *node) *Routes {
	o := r.object(root, "", "kind", "revision", "maxBodyBytes", "services", "routes")
	parsed := &Routes{
		byHost:           map[string][]*Route{},
		byName:           map[string]*Route{},
		upstreamSettings: r.upstreamSettings(o),
		maxBody:          int64(o.integer("maxBodyBytes", 0, MaxBodyBytes, defaultMaxBodyBytes)),
	}
	items, _ := o.list("routes", unlimited)
	for i, item := range items {
		path := joinIndex("routes", i)
		route := r.route(item, path, parsed.upstreamSettings)
		r.checkRegionsByName(item, path, route, parsed.byName)
		route.index = i
		parsed.byHost[route.host] = append(parsed.byHost[route.host], route)
	}
	for _, list := range parsed.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.prefix) - len(a.prefix) })
	}
	return parsed
}

func (r *reader) upstreamSettings(root object) map[string]UpstreamSettings {
	settings := map[string]UpstreamSettings{}
	items, _ := root.list("services", unlimited)
	for i, item := range items {
		o := r.object(item, joinIndex("services", i), "service", "connections", "probePath", "coldMs", "coldPerSecond")
		name := o.text("service", checkRouteService)
		if _, duplicate := settings[name]; duplicate {
			r.fault(item.line, o.fieldPath("service"), "%q is listed twice", truncate(name))
		}
		settings[name] = UpstreamSettings{
			connections: int(o.integer("connections", 1, MaxConnections, defaultSlots*connectionsPerSlot)),
			probePath:   o.optionalText("probePath", checkPath, "/load"),
			cold:        o.coldSettings(),
		}
	}
	return settings
}

func (r *reader) route(item *node, path string, settings map[string]UpstreamSettings) *Route {
	o := r.object(item, path, "name", "host", "prefix", "idempotent", "rank", "timeoutMs", "targetMs", "attempts", "closed", "parts", "regions")
	route := &Route{
		name:          o.text("name", checkRouteName),
		host:          o.text("host", checkHost),
		prefix:        o.text("prefix", checkPrefix),
		idempotent:    o.boolean("idempotent"),
		rank:          int(o.integer("rank", 0, MaxRouteRank, 0)),
		timeout:       time.Duration(o.integer("timeoutMs", 1, maxTimeoutMs, defaultTimeoutMs)) * time.Millisecond,
		targetLatency: time.Duration(o.integer("targetMs", 1, maxTimeoutMs, defaultTimeoutMs)) * time.Millisecond,
		attempts:      int(o.integer("attempts", 1, MaxRouteAttempts, defaultAttempts)),
		closed:        o.boolean("closed"),
		regions:       o.regions(),
	}
	parts, _ := o.list("parts", unlimited)
	for i, part := range parts {
		p := r.object(part, joinIndex(o.fieldPath("parts"), i), "service", "weight")
		route.weightedServices = append(route.weightedServices, WeightedService{
			service: p.text("service", checkRouteService),
			weight:  int(p.integer("weight", 1, MaxRouteWeight, 1)),
		})
	}
	if len(route.weightedServices) == 0 && !route.closed {
		r.fault(item.line, o.fieldPath("parts"), "names no service")
	}
	for _, part := range route.weightedServices {
		if _, ok := settings[part.service]; !ok {
			r.fault(item.line, o.fieldPath("parts"), "%q is not listed in services", truncate(part.service))
		}
	}
	return route
}

// optionalText returns the string in the field name, or defaultValue if the
// field is missing.
func (o object) optionalText(name string, check func(string) string, defaultValue string) string {
	n, ok := o.field(name)
	if !ok {
		return defaultValue
	}
	return o.r.text(n, o.fieldPath(name), check)
}

func checkRouteName(text string) string {
	if text == "" {
		return "is not a valid route name"
	}
	return ""
}

// checkRouteService accepts every name. A service of a route need not be a host name,
// as no Host header names it.
func checkRouteService(text string) string {
	if text == "" {
		return "is not a valid service name"
	}
	return ""
}

func checkHost(text string) string {
	if text == "" || text != strings.ToLower(text) {
		return "is not a host name in lower case"
	}
	return ""
}

func checkPath(text string) string {
	if !strings.HasPrefix(text, "/") {
		return "is not a valid path"
	}
	return ""
}

func checkPrefix(text string) string {
	if checkPath(text) != "" || !strings.HasSuffix(text, "/") {
		return "is not a prefix that begins and ends with a slash"
	}
	return ""
}
