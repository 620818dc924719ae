package experiment

import "time"

// Service is one service of a fleet and the number of its upstreams.
type Service struct {
	Name      string
	Upstreams int
}

// Size describes a fleet.
type Size struct {
	Name     string
	Services []Service
	Zones    []string
	// Link lies between each two availability zones, in each direction.
	Link Link
	// Slots and Queue bound what each upstream's daemon lets in.
	Slots, Queue int
	// Conns is the number of connections that an upstream serves.
	Conns int
	// ProbeTime is how long an upstream takes to report its load.
	ProbeTime time.Duration
	// ProbesPerSecond is the budget of each upstream.
	ProbesPerSecond float64
}

// queuePerSlot bounds the calls that wait at an upstream's daemon.
const queuePerSlot = 2

// Zeigerwerk is the fleet of Zeigerwerk Bahnuhren.
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

// Brightfield is the fleet of Brightfield Lamp Care.
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

// upstreams returns the number of upstreams of all services.
func (s Size) upstreams() int {
	n := 0
	for _, service := range s.Services {
		n += service.Upstreams
	}
	return n
}
