package measure

import (
	"math"
	"time"
)

// Action is what the daemon is to do.
type Action string

// The actions of Next.
const (
	Wait   Action = "wait"
	Probe  Action = "probe"
	Cancel Action = "cancel"
)

const (
	// defaultTimeout is how long a probe may take.
	defaultTimeout = time.Second
	// bucketSize is the number of probes that can be saved up, and burstSize
	// that of probes that are asked for.
	bucketSize = 1.0
	burstSize  = 20.0
	// shortestWait and longestWait bound the time to the next call of Next.
	shortestWait = time.Millisecond
	longestWait  = time.Hour
)

// Config describes a Meter.
type Config struct {
	// Rand draws uniform random numbers.
	Rand func() uint64
	// Timeout is how long a probe may take; 0 means 1 s.
	Timeout time.Duration
}

// Meter decides when to probe. A new Meter has no budget. It is not safe for
// concurrent use.
type Meter struct {
	config    Config
	perSecond float64
	tokens    float64
	counted   time.Time // up to when tokens holds the budget
	started   time.Time // of the probe under way
	underWay  bool
	cancelled bool
	asked     bool // probes come by Ask
	sent      uint64
	failures  int
	reading   Reading
	readAt    time.Time
}

// New returns a Meter that does not probe until SetBudget.
func New(config Config) *Meter {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	return &Meter{config: config}
}

// SetBudget sets the probes allowed per second. Zero, a number that is not
// finite and allowed == false all mean never. The first probe after never
// comes after one interval and a random share of another, because a fresh
// process cannot know what the one before it has spent.
func (m *Meter) SetBudget(perSecond float64, allowed bool, now time.Time) {
	if !allowed || !(perSecond > 0) || math.IsInf(perSecond, 0) {
		perSecond = 0
	}
	m.count(now)
	if m.perSecond == 0 {
		m.tokens = -float64(m.config.Rand()>>11) / (1 << 53)
	}
	m.perSecond = perSecond
}

// Next says what to do now. Probe and Cancel are said once each. After Wait,
// Next is to be called again at wakeAt, or after the next Done or SetBudget if
// that comes first; a zero wakeAt means only then.
func (m *Meter) Next(now time.Time) (action Action, wakeAt time.Time) {
	m.count(now)
	now = m.counted
	if m.underWay {
		return m.watch(now)
	}
	if m.perSecond == 0 {
		return Wait, time.Time{}
	}
	if m.tokens < bucketSize {
		return Wait, now.Add(m.untilToken())
	}
	m.underWay, m.cancelled, m.started = true, false, now
	m.sent++
	return Probe, now.Add(m.config.Timeout)
}

// Ask starts a probe that is wanted now, if the budget has one and none is under
// way. Such probes come as requests do, so a few can be saved up.
func (m *Meter) Ask(now time.Time) bool {
	m.asked = true
	m.count(now)
	if m.underWay || m.perSecond == 0 || m.tokens < 1 {
		return false
	}
	m.underWay, m.cancelled, m.started = true, false, m.counted
	m.sent++
	return true
}

// watch handles a probe under way. One that has timed out stays under way
// until Done, because the upstream may still be busy with it.
func (m *Meter) watch(now time.Time) (Action, time.Time) {
	deadline := m.started.Add(m.config.Timeout)
	switch {
	case m.cancelled:
		return Wait, time.Time{}
	case now.Before(deadline) && m.perSecond > 0:
		return Wait, deadline
	}
	m.cancelled = true
	return Cancel, time.Time{}
}

// Done ends the probe under way with what it read, or with an error. It must
// be called once after each Probe. An answer that comes after Cancel counts
// as a failure.
//
// The bucket is emptied here and not in Next: a process that is paused between
// reading the clock and sending sends later than Next was told, but never later
// than Done.
func (m *Meter) Done(reading Reading, err error, now time.Time) {
	if !m.underWay {
		return
	}
	m.count(now)
	m.underWay = false
	if m.asked {
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

// Reading returns the last answer of the upstream, and when it came; a zero
// time means never.
func (m *Meter) Reading() (Reading, time.Time) { return m.reading, m.readAt }

// Failures returns the number of probes that have failed since the last
// answer.
func (m *Meter) Failures() int { return m.failures }

// Sent returns the number of probes started.
func (m *Meter) Sent() uint64 { return m.sent }

// UnderWay reports whether a probe has started and is not done.
func (m *Meter) UnderWay() bool { return m.underWay }

// count adds to the bucket what the budget gave since the last count. A clock
// that goes back gives nothing until it has caught up.
func (m *Meter) count(now time.Time) {
	if !now.After(m.counted) {
		return
	}
	if !m.counted.IsZero() {
		m.tokens = min(m.size(), m.tokens+m.perSecond*now.Sub(m.counted).Seconds())
	}
	m.counted = now
}

func (m *Meter) size() float64 {
	if m.asked {
		return burstSize
	}
	return bucketSize
}

// untilToken returns the time until the bucket holds a probe.
func (m *Meter) untilToken() time.Duration {
	seconds := (bucketSize - m.tokens) / m.perSecond
	if seconds > longestWait.Seconds() {
		return longestWait
	}
	return max(shortestWait, time.Duration(math.Ceil(seconds*float64(time.Second))))
}
