package admit

import "time"

// averageDivisor is the inverse of the weight of a new sample in the average
// service time.
const averageDivisor = 8

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
	a.mean += (sample - a.mean) / averageDivisor
}

// Load is the state of a Gate as reported to other daemons.
type Load struct {
	InFlight    int           `json:"inFlight"`
	Queued      int           `json:"queued"`
	Slots       int           `json:"slots"`
	ServiceTime time.Duration `json:"serviceTime"`
	// Wait is the predicted wait of a call that arrives now at the end of the
	// queue; zero if a slot is free.
	Wait     time.Duration `json:"wait"`
	Draining bool          `json:"draining"`
	// Resumed is true for Config.PauseLimit after the process resumed from a pause,
	// when its earlier state is uncertain.
	Resumed bool `json:"woke"`
}

// Load returns the current load. It does not change the Gate.
func (g *Gate) Load(now time.Time) Load {
	load := Load{
		InFlight:    g.InFlight(),
		Queued:      g.Queued(),
		Slots:       g.capacity(now),
		ServiceTime: g.serviceTime.mean,
		Draining:    g.draining,
		Resumed:     !g.resumedAt.IsZero() && now.Sub(g.resumedAt) < g.pauseLimit,
	}
	if load.InFlight >= load.Slots || g.waitsForCold(now) {
		load.Wait = g.predictWait(load.Queued, now)
	}
	return load
}

// InFlight returns the number of running calls.
func (g *Gate) InFlight() int { return len(g.running) }

// Queued returns the number of queued calls.
func (g *Gate) Queued() int { return g.queue.len() }

// Limits returns the limits in force.
func (g *Gate) Limits() Limits { return g.limits }

// ServiceTime returns the average time that the upstream takes for a call.
func (g *Gate) ServiceTime() time.Duration { return g.serviceTime.mean }

// Draining reports whether new work is refused.
func (g *Gate) Draining() bool { return g.draining }

// Idle reports whether no call is running or queued.
func (g *Gate) Idle() bool { return len(g.running) == 0 && g.queue.len() == 0 }
