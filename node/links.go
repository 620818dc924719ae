package node

import "time"

// links learns the extra round trip to each availability zone from answers:
// their latency less the time that the other daemon says it took. Queueing on
// the way only adds, so the least of recent samples stands for the link.
type links struct {
	own   string
	zones map[string]*link
}

// linkSamples is the number of samples after which a link's minimum is taken
// anew.
const linkSamples = 64

type link struct {
	current time.Duration
	next    time.Duration
	samples int
}

func newLinks(own string) *links {
	return &links{own: own, zones: map[string]*link{}}
}

// observe counts one round trip to a zone.
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
	if z.samples++; z.samples >= linkSamples {
		z.current, z.next, z.samples = z.next, trip, 0
	}
}

// least returns the shortest round trip to a zone of late.
func (l *links) least(zone string) time.Duration {
	if z := l.zones[zone]; z != nil {
		return z.current
	}
	return 0
}

// perKilobyte is the time that a kilobyte sent to another availability zone
// counts as: such links are dear.
const perKilobyte = 3 * time.Millisecond

// cost returns what a round trip to a zone takes beyond one in the own zone;
// zero while that is not known.
func (l *links) cost(zone string) time.Duration {
	z, own := l.zones[zone], l.zones[l.own]
	if z == nil || zone == l.own {
		return 0
	}
	if own == nil {
		return z.current
	}
	return max(z.current-own.current, 0)
}
