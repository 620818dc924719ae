package node

import "time"

// links estimates the extra round trip to each availability zone from answers:
// their latency minus the processing time that the other daemon reports.
// Queueing on the link can only add to it, so the minimum of recent samples is
// used.
type links struct {
	selfZone string
	zones    map[string]*link
}

// samplesPerWindow is the number of samples after which a link's minimum is
// determined anew.
const samplesPerWindow = 64

// link tracks the minimum round trip to one zone: current since the start of the
// previous window, next since the start of the present one.
type link struct {
	current time.Duration
	next    time.Duration
	samples int
}

func newLinks(selfZone string) *links {
	return &links{selfZone: selfZone, zones: map[string]*link{}}
}

// observe adds one round trip to a zone.
func (l *links) observe(zone string, trip time.Duration) {
	if trip < 0 {
		return
	}
	z := l.zones[zone]
	if z == nil {
		l.zones[zone] = &link{current: trip, next: trip, samples: 1}
		return
	}
	z.current = min(z.current, trip)
	z.next = min(z.next, trip)
	if z.samples++; z.samples >= samplesPerWindow {
		z.current, z.next, z.samples = z.next, trip, 0
	}
}

// minTrip returns the shortest recent round trip to a zone.
func (l *links) minTrip(zone string) time.Duration {
	if z := l.zones[zone]; z != nil {
		return z.current
	}
	return 0
}

// costPerKilobyte is the cost, expressed as time, of a kilobyte sent to another
// availability zone, because links between zones are expensive.
const costPerKilobyte = 3 * time.Millisecond

// cost returns the round trip to a zone beyond that within the daemon's own
// zone; zero while it is not known.
func (l *links) cost(zone string) time.Duration {
	z, selfLink := l.zones[zone], l.zones[l.selfZone]
	if z == nil || zone == l.selfZone {
		return 0
	}
	if selfLink == nil {
		return z.current
	}
	return max(z.current-selfLink.current, 0)
}
