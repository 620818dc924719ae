package experiment

import "time"

// Service is a service of a fleet with the number of its upstreams.
type Service struct {
	Name      string
	Upstreams int
}

// Size describes the services, zones, links and limits of a fleet.
type Size struct {
	Name     string
	Services []Service
	Zones    []string
	// Link is the link between any two availability zones, in each direction.
	Link Link
	// Slots and Queue limit the calls that run and wait at each upstream.
	Slots, Queue int
	// Conns is the maximum number of connections to an upstream.
	Conns int
	// ProbeTime is how long an upstream takes to answer a probe of its load.
	ProbeTime time.Duration
	// ProbesPerSecond is the probe budget of each upstream.
	ProbesPerSecond float64
}

// queuePerSlot is the queue length of an upstream per slot.
const queuePerSlot = 2

// Zeigerwerk returns the fleet of Zeigerwerk Bahnuhren.
func Zeigerwerk() Size {
	const slots = 12
	return Size{
		Name:     "zeigerwerk",
		Services: []Service{{"faults", 5}, {"orders", 4}, {"images", 3}},
		Zones:    []string{"a", "b", "c"},
		Link:     Link{OneWay: 3 * time.Millisecond, Jitter: time.Millisecond, Loss: 0.001},
		Slots:    slots, Queue: queuePerSlot * slots, Conns: 240,
		ProbeTime: time.Millisecond, ProbesPerSecond: 2,
	}
}

// Brightfield returns the fleet of Brightfield Lamp Care.
func Brightfield() Size {
	const slots = 9
	return Size{
		Name:     "brightfield",
		Services: []Service{{"routes", 4}, {"wipes", 4}, {"photos", 4}},
		Zones:    []string{"a", "b", "c", "d"},
		Link:     Link{OneWay: 5 * time.Millisecond, Jitter: 2 * time.Millisecond, Loss: 0.002},
		Slots:    slots, Queue: queuePerSlot * slots, Conns: 220,
		ProbeTime: 6 * time.Millisecond, ProbesPerSecond: 2,
	}
}

// Sizes returns the fleets of both users.
func Sizes() []Size { return []Size{Zeigerwerk(), Brightfield()} }

// upstreamCount returns the number of upstreams of all services.
func (s Size) upstreamCount() int {
	n := 0
	for _, service := range s.Services {
		n += service.Upstreams
	}
	return n
}
