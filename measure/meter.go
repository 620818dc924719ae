package measure

import (
	"math"
	"time"
)

// Action is the next step that the daemon must take.
type Action string

// The actions of Next.
const (
	Wait   Action = "wait"
	Probe  Action = "probe"
	Cancel Action = "cancel"
)

const (
	// defaultTimeout is the default time limit of a probe.
	defaultTimeout = time.Second
	// scheduledBurst is the capacity of the token bucket, in probes, when Next
	// schedules them; onDemandBurst is the capacity when TryProbe starts them.
	scheduledBurst = 1.0
	onDemandBurst  = 20.0
	// minWait and maxWait bound the delay until the next call of Next.
	minWait = time.Millisecond
	maxWait = time.Hour
)

// Config configures a Meter.
type Config struct {
	// Rand returns uniformly distributed random numbers.
	Rand func() uint64
	// Timeout is the time limit of a probe; 0 means 1 s.
	Timeout time.Duration
}

// Meter decides when to probe. A new Meter has no budget. It is not safe for
// concurrent use.
type Meter struct {
	config     Config
	perSecond  float64
	tokens     float64
	refilledAt time.Time // when tokens was last updated
	startedAt  time.Time // start of the running probe
	probing    bool
	cancelled  bool
	onDemand   bool // probes are started by TryProbe
	sent       uint64
	failures   int
	reading    Reading
	readAt     time.Time
}

// New returns a Meter that does not probe until SetBudget is called.
func New(config Config) *Meter {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	return &Meter{config: config}
}

// SetBudget sets the number of probes allowed per second. A rate that is not
// positive and finite, or allowed == false, disables probing. After probing
// was disabled, the first probe waits for one interval and a random fraction
// of another, because a new process cannot know how much of the budget the
// previous one has used.
func (m *Meter) SetBudget(perSecond float64, allowed bool, now time.Time) {
	if !allowed || !(perSecond > 0) || math.IsInf(perSecond, 0) {
		perSecond = 0
	}
	m.refill(now)
	if m.perSecond == 0 {
		m.tokens = -float64(m.config.Rand()>>11) / (1 << 53)
	}
	m.perSecond = perSecond
}

// Next returns the action to take now. It returns Probe and Cancel once per
// probe. After Wait, call Next again at wakeAt or after the next Done or
// SetBudget, whichever comes first; with a zero wakeAt, only after one of those.
func (m *Meter) Next(now time.Time) (action Action, wakeAt time.Time) {
	m.refill(now)
	now = m.refilledAt
	if m.probing {
		return m.nextWhileProbing(now)
	}
	if m.perSecond == 0 {
		return Wait, time.Time{}
	}
	if m.tokens < scheduledBurst {
		return Wait, now.Add(m.untilToken())
	}
	m.probing, m.cancelled, m.startedAt = true, false, now
	m.sent++
	return Probe, now.Add(m.config.Timeout)
}

// TryProbe starts a probe on demand and returns true if the budget allows it and no
// probe is running. On-demand probes follow the traffic, which comes in bursts,
// so up to onDemandBurst tokens can accumulate.
func (m *Meter) TryProbe(now time.Time) bool {
	m.onDemand = true
	m.refill(now)
	if m.probing || m.perSecond == 0 || m.tokens < 1 {
		return false
	}
	m.probing, m.cancelled, m.startedAt = true, false, m.refilledAt
	m.sent++
	return true
}

// nextWhileProbing returns the next action while a probe is running. A probe
// that has timed out keeps running until Done, because the upstream may still
// be processing it.
func (m *Meter) nextWhileProbing(now time.Time) (Action, time.Time) {
	deadline := m.startedAt.Add(m.config.Timeout)
	switch {
	case m.cancelled:
		return Wait, time.Time{}
	case now.Before(deadline) && m.perSecond > 0:
		return Wait, deadline
	}
	m.cancelled = true
	return Cancel, time.Time{}
}

// Done ends the running probe with its reading or an error. It must be called
// once after each Probe. A response that arrives after Cancel counts as a
// failure.
//
// Tokens are spent here and not in Next: a process that is paused between
// reading the clock and sending the probe sends it later than the time passed
// to Next, but never later than Done.
func (m *Meter) Done(reading Reading, err error, now time.Time) {
	if !m.probing {
		return
	}
	m.refill(now)
	m.probing = false
	if m.onDemand {
		m.tokens--
	} else {
		m.tokens = 0
	}
	if err != nil || m.cancelled {
		m.failures++
		return
	}
	m.failures = 0
	m.reading, m.readAt = reading, now
}

// Reading returns the last reading of the upstream and the time it arrived,
// which is zero if there is none.
func (m *Meter) Reading() (Reading, time.Time) { return m.reading, m.readAt }

// Failures returns the number of failed probes since the last successful one.
func (m *Meter) Failures() int { return m.failures }

// Sent returns the number of probes started.
func (m *Meter) Sent() uint64 { return m.sent }

// Probing reports whether a probe is running.
func (m *Meter) Probing() bool { return m.probing }

// refill adds the tokens granted since the last refill. A clock that goes
// backwards grants nothing until it has caught up.
func (m *Meter) refill(now time.Time) {
	if !now.After(m.refilledAt) {
		return
	}
	if !m.refilledAt.IsZero() {
		m.tokens = min(m.capacity(), m.tokens+m.perSecond*now.Sub(m.refilledAt).Seconds())
	}
	m.refilledAt = now
}

func (m *Meter) capacity() float64 {
	if m.onDemand {
		return onDemandBurst
	}
	return scheduledBurst
}

// untilToken returns the time until the bucket holds a token.
func (m *Meter) untilToken() time.Duration {
	seconds := (scheduledBurst - m.tokens) / m.perSecond
	if seconds > maxWait.Seconds() {
		return maxWait
	}
	return max(minWait, time.Duration(math.Ceil(seconds*float64(time.Second))))
}
