package admit

import "time"

// averageWeight is the inverse of the share that a new sample has in the
// average service time.
const averageWeight = 8

// average is an exponentially weighted moving average.
type average struct {
	mean time.Duration
}

func (a *average) add(sample time.Duration) {
	if sample <= 0 {
		return
	}
	if a.mean == 0 {
		a.mean = sample
		return
	}
	a.mean += (sample - a.mean) / averageWeight
}

// Load describes a Gate to other daemons.
type Load struct {
	InFlight    int           `json:"inFlight"`
	Queued      int           `json:"queued"`
	Slots       int           `json:"slots"`
	ServiceTime time.Duration `json:"serviceTime"`
	// Wait is the predicted wait of a call that arrives now at the end of the
	// queue; zero while a slot is free.
	Wait     time.Duration `json:"wait"`
	Draining bool          `json:"draining"`
	// Woke is true for the pause limit after the process woke from a pause;
	// what it knew before is then doubtful.
	Woke bool `json:"woke"`
}

// Load reports the Gate as it is now. It changes nothing.
func (g *Gate) Load(now time.Time) Load {
	load := Load{
		InFlight:    g.InFlight(),
		Queued:      g.Queued(),
		Slots:       g.room(now),
		ServiceTime: g.service.mean,
		Draining:    g.draining,
		Woke:        !g.woke.IsZero() && now.Sub(g.woke) < g.pauseLimit,
	}
	if load.InFlight >= load.Slots {
		load.Wait = g.waitFor(load.Queued, now)
	}
	return load
}

// InFlight returns the number of calls that the upstream runs.
func (g *Gate) InFlight() int { return len(g.running) }

// Queued returns the number of calls that wait.
func (g *Gate) Queued() int { return g.queue.len() }

// Limits returns the limits in force.
func (g *Gate) Limits() Limits { return g.limits }

// ServiceTime returns the average time that the upstream takes for one call.
func (g *Gate) ServiceTime() time.Duration { return g.service.mean }

// Draining reports whether new work is refused.
func (g *Gate) Draining() bool { return g.draining }

// Idle reports whether nothing runs and nothing waits.
func (g *Gate) Idle() bool { return len(g.running) == 0 && g.queue.len() == 0 }
