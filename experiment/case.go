package experiment

import "time"

// Case is the scenario of a run.
type Case string

// The cases. The faults from Slow to CutZone begin after a quarter of the measured time
// and last until the end, except that a cold start ends by itself. The other cases
// apply to the whole run.
const (
	// Steady is a constant load without faults.
	Steady Case = "steady"
	// Shifting moves the load between services and availability zones every
	// few milliseconds.
	Shifting Case = "shifting"
	// Slow makes one upstream ten times slower.
	Slow Case = "slow"
	// FailFast makes one upstream answer 500 immediately.
	FailFast Case = "failFast"
	// Drain makes one upstream report that it is draining.
	Drain Case = "drain"
	// Cold makes one upstream slow as after a cold start.
	Cold Case = "cold"
	// CutZone isolates the last availability zone from the others.
	CutZone Case = "cutZone"
	// Lagging makes every upstream report a load that is half a second old.
	Lagging Case = "lagging"
)

// Cases returns all cases.
func Cases() []Case {
	return []Case{Steady, Shifting, Slow, FailFast, Drain, Cold, CutZone, Lagging}
}

const (
	// slowFactor multiplies the service time of the slow upstream.
	slowFactor = 10
	// coldFactor multiplies the service time of a cold upstream at first. It must
	// equal the factor in the stand-in worker.
	coldFactor = 10
	// coldStartTime is how long a cold start lasts.
	coldStartTime = 2 * time.Second
	// loadLag is the age of load reports in case Lagging.
	loadLag = 500 * time.Millisecond
	// meanShiftGap is the mean time between two shifts of the load.
	meanShiftGap = 5 * time.Millisecond
)

// injectFault starts the fault of a case. A fault of one upstream hits the first
// upstream of the first service.
func (f *Fleet) injectFault(c Case, now time.Time) {
	victim := f.upstreams[0]
	switch c {
	case Slow:
		victim.worker.SetServiceTimeFactor(slowFactor)
		f.state.updateUpstream(0, func(s *upstreamState) { s.factor = slowFactor })
	case FailFast:
		victim.worker.SetFailFast(true)
		f.state.updateUpstream(0, func(s *upstreamState) { s.unavailable = true })
	case Drain:
		victim.worker.SetDrain(true)
		f.state.updateUpstream(0, func(s *upstreamState) { s.unavailable = true })
	case Cold:
		victim.worker.SetCold(true)
		f.state.updateUpstream(0, func(s *upstreamState) { s.coldEnd = now.Add(coldStartTime) })
	case CutZone:
		zone := f.size.Zones[len(f.size.Zones)-1]
		f.links.IsolateZone(zone)
		f.state.isolateZone(zone)
	}
}
