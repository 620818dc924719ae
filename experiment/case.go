package experiment

import "time"

// Case is what happens during a run.
type Case string

// The cases. Each fault begins a quarter into the measured time and stays.
const (
	// Steady is an even load with no fault.
	Steady Case = "steady"
	// Shifting moves the load between services and availability zones every
	// few milliseconds.
	Shifting Case = "shifting"
	// Slow makes one upstream ten times slower.
	Slow Case = "slow"
	// FailFast lets one upstream answer 500 at once.
	FailFast Case = "failFast"
	// Drain lets one upstream report that it drains.
	Drain Case = "drain"
	// Cold starts one upstream cold.
	Cold Case = "cold"
	// CutZone cuts the last availability zone off from the others.
	CutZone Case = "cutZone"
	// Lagging lets every upstream report a load that is half a second old.
	Lagging Case = "lagging"
)

// Cases returns all cases.
func Cases() []Case {
	return []Case{Steady, Shifting, Slow, FailFast, Drain, Cold, CutZone, Lagging}
}

const (
	// slowFactor is how much slower the slow upstream gets.
	slowFactor = 10
	// coldFactor is how much slower a cold upstream starts; it must be that of
	// the stand-in worker.
	coldFactor = 10
	// coldTime is how long a cold start lasts.
	coldTime = 2 * time.Second
	// loadLag is the age of load reports in the case Lagging.
	loadLag = 500 * time.Millisecond
	// shiftEvery is the time between two moves of the load, on average.
	shiftEvery = 5 * time.Millisecond
)

// strike lets the fault of a case begin. The struck upstream is the first of
// the first service.
func (f *Fleet) strike(c Case, now time.Time) {
	victim := f.upstreams[0]
	switch c {
	case Slow:
		victim.worker.SetFactor(slowFactor)
		f.ledger.alter(0, func(t *truth) { t.factor = slowFactor })
	case FailFast:
		victim.worker.SetFailFast(true)
		f.ledger.alter(0, func(t *truth) { t.closed = true })
	case Drain:
		victim.worker.SetDrain(true)
		f.ledger.alter(0, func(t *truth) { t.closed = true })
	case Cold:
		victim.worker.SetCold(true)
		f.ledger.alter(0, func(t *truth) { t.coldEnd = now.Add(coldTime) })
	case CutZone:
		zone := f.size.Zones[len(f.size.Zones)-1]
		f.links.Cut(zone)
		f.ledger.cutOff(zone)
	}
}
