package admit

import (
	"math"
	"time"
)

const (
	// floorShare is the least share of a route's calls that is served, as a part of the
	// share of all calls that is served: no route starves, and higher ranks lose little.
	floorShare = 0.25
	// floorTimeConstant is the time after which counts have decayed by 63 %. It covers
	// several calls of a route with one call a second.
	floorTimeConstant = 10 * time.Second
	// maxFloorRoutes limits the routes that are counted.
	maxFloorRoutes = 1024
)

// callCount is a decaying number of calls offered and served.
type callCount struct {
	offered, served float64
	updatedAt       time.Time
}

func (c *callCount) add(offered, served float64, now time.Time) {
	if age := now.Sub(c.updatedAt); age > 0 {
		rest := math.Exp(-float64(age) / float64(floorTimeConstant))
		c.offered, c.served, c.updatedAt = c.offered*rest, c.served*rest, now
	}
	c.offered += offered
	c.served += served
}

// floor counts which share of each route's calls is served.
type floor struct {
	all    callCount
	routes map[string]*callCount
}

// add counts calls that arrive or start. Calls without a route are not counted.
func (f *floor) add(route string, offered, served float64, now time.Time) {
	if route == "" {
		return
	}
	c := f.routes[route]
	if c == nil {
		if len(f.routes) >= maxFloorRoutes {
			return
		}
		if f.routes == nil {
			f.routes = make(map[string]*callCount)
		}
		c = &callCount{}
		f.routes[route] = c
	}
	c.add(offered, served, now)
	f.all.add(offered, served, now)
}

// below reports whether less than the given part of the share of all calls is served of
// a route's calls, if pending ones are counted as served.
func (f *floor) below(route string, part float64, pending int, now time.Time) bool {
	c := f.routes[route]
	if c == nil {
		return false
	}
	c.add(0, 0, now)
	f.all.add(0, 0, now)
	return (c.served+float64(pending))*f.all.offered < part*f.all.served*c.offered
}
