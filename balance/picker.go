package balance

import "time"

const (
	// defaultChoices is the number of candidates compared in the daemon's
	// availability zone, and the number compared outside it.
	defaultChoices = 2
	// drawsPerChoice bounds the random draws that search for them.
	drawsPerChoice = 6
	// defaultSlots is assumed for an upstream that reports no slots.
	defaultSlots = 10
	// defaultRamp is how long the share of a new upstream grows.
	defaultRamp = 10 * time.Second
	// minRampShare is the share of calls for which a cold upstream, or a new one
	// at first, is considered.
	minRampShare = 0.1
	// typicalServiceTimeWeight is the weight of one report in the typical service
	// time.
	typicalServiceTimeWeight = 0.02
)

// Config describes a Picker.
type Config struct {
	// SelfZone is the availability zone of the daemon, and SelfRegion its region, if
	// known.
	SelfZone   string
	SelfRegion string
	// LinkCost returns the extra round-trip time to an availability zone; nil
	// means none.
	LinkCost func(zone string) time.Duration
	// Rand draws uniform random numbers.
	Rand func() uint64
	// Choices is the number of candidates compared in the daemon's availability
	// zone, and the number compared outside it; 0 means 2.
	Choices int
	// SameZoneChoices is the number of candidates compared in the daemon's
	// availability zone if the load reports of that zone are fresh; 0 means
	// Choices.
	SameZoneChoices int
	// Ramp is how long the share of a new upstream grows; 0 means 10 s.
	Ramp time.Duration
}

// Candidate is an upstream that the caller's selector allows.
type Candidate struct {
	// ID names the instance.
	ID string
	// Zone is its availability zone, and Region its region, if known.
	Zone   string
	Region string
	// Incarnation distinguishes successive instances with the same ID.
	Incarnation uint64
}

// Options holds the operators' switches and the properties of one call.
type Options struct {
	// LoadAware compares predicted costs. Without it Pick rotates over all
	// candidates.
	LoadAware bool
	// SpillOver allows a call to leave the daemon's availability zone although
	// that has a usable candidate.
	SpillOver bool
	// Eject withholds calls from upstreams that fail.
	Eject bool
	// SlowStart gives a new upstream a growing share.
	SlowStart bool
	// EjectPercent is the largest share of the candidates that is ejected. If
	// more fail, none is ejected: the fault may be on this side.
	EjectPercent int
	// ExpectedWork is how long this call holds a slot at nominal pace; 0 if unknown. It
	// replaces the service times that the upstreams report.
	ExpectedWork time.Duration
	// ExtraLinkCost is added to the link cost outside the daemon's availability
	// zone, for costs of this call there other than time.
	ExtraLinkCost time.Duration
	// TimeToTarget is the time that is left until the call misses its target; 0 if it
	// has none. A call that can meet it stays in the daemon's region.
	TimeToTarget time.Duration
	// NoTrial is true for a call that must not be used to test whether an ejected
	// upstream has recovered.
	NoTrial bool
}

// Picker chooses among the upstreams of one service. It is not safe for
// concurrent use.
type Picker struct {
	config             Config
	upstreams          map[string]*upstream
	ejected            []string
	typicalServiceTime float64   // typical time in a slot, nanoseconds
	firstPick          time.Time // time of the first Pick
	lastIndex          int       // index of the last round-robin choice
	cold               ColdLimit
}

// New returns a Picker without any state.
func New(config Config) *Picker {
	if config.Choices == 0 {
		config.Choices = defaultChoices
	}
	if config.SameZoneChoices == 0 {
		config.SameZoneChoices = config.Choices
	}
	if config.Ramp == 0 {
		config.Ramp = defaultRamp
	}
	if config.LinkCost == nil {
		config.LinkCost = func(string) time.Duration { return 0 }
	}
	return &Picker{config: config, upstreams: make(map[string]*upstream)}
}

// Started counts a call that is sent to the upstream.
func (p *Picker) Started(id string, now time.Time) {
	p.upstream(id).start(now)
}

// Finished counts the end of a call that was counted by Started.
func (p *Picker) Finished(id string, r Result, now time.Time) {
	u, ok := p.upstreams[id]
	if !ok {
		return
	}
	u.finish(r, now)
	if u.load.ServiceTime == 0 && !r.Failed && !r.NotRun {
		p.learnServiceTime(r.Latency)
	}
	if r.Cancelled || (r.NotRun && !r.Failed) {
		return
	}
	if u.ejection.record(r.Failed, now) {
		u.observed.failShare, u.rampStart = 0, now
	}
	p.track(id, u)
}

// ObserveSlowdown counts the slowdown of one call at the upstream: its duration at
// nominal pace as a multiple of the typical duration of such calls.
func (p *Picker) ObserveSlowdown(id string, factor float64, now time.Time) {
	p.upstream(id).observeSlowdown(min(max(factor, 1/maxSlowdown), maxSlowdown), now)
}

// ObserveLinkDelay counts the excess link delay of one call: how much longer than
// the baseline its request and response were in transit. The link of the upstream's
// host may be saturated.
func (p *Picker) ObserveLinkDelay(id string, excess time.Duration, now time.Time) {
	p.upstream(id).observeLinkDelay(float64(excess), now)
}

// ObserveLoad applies a load report for the upstream. Reports may arrive late,
// twice and out of order.
func (p *Picker) ObserveLoad(id string, load Load, now time.Time) {
	u := p.upstream(id)
	p.noteWarmed(u, load, now)
	u.applyReport(load, now.Add(-load.Age))
	p.learnServiceTime(load.ServiceTime)
}

// learnServiceTime adds one service time to the typical one of the service.
func (p *Picker) learnServiceTime(service time.Duration) {
	if service <= 0 {
		return
	}
	if p.typicalServiceTime == 0 {
		p.typicalServiceTime = float64(service)
	}
	p.typicalServiceTime += typicalServiceTimeWeight * (float64(service) - p.typicalServiceTime)
}

// MarkDown counts a failed connection attempt and ejects the upstream. The call
// has not run.
func (p *Picker) MarkDown(id string, now time.Time) {
	u := p.upstream(id)
	u.observed.Observe(0, true, now)
	u.ejection.eject(now)
	p.track(id, u)
}

// Forget drops the state of an upstream that no longer exists.
func (p *Picker) Forget(id string) {
	delete(p.upstreams, id)
	p.untrack(id)
}

// Retain forgets every upstream for which keep returns false.
func (p *Picker) Retain(keep func(id string) bool) {
	for id := range p.upstreams {
		if !keep(id) {
			p.Forget(id)
		}
	}
}

// upstream returns the state of id, creating it if necessary.
func (p *Picker) upstream(id string) *upstream {
	u, ok := p.upstreams[id]
	if !ok {
		u = &upstream{}
		p.upstreams[id] = u
	}
	return u
}

// track updates the list of ejected upstreams after u has changed.
func (p *Picker) track(id string, u *upstream) {
	p.untrack(id)
	if u.ejection.active {
		p.ejected = append(p.ejected, id)
	}
}

func (p *Picker) untrack(id string) {
	for i, other := range p.ejected {
		if other == id {
			p.ejected = append(p.ejected[:i], p.ejected[i+1:]...)
			return
		}
	}
}

// ExpectedSlow reports whether the upstream is expected to be slow or full now.
func (p *Picker) ExpectedSlow(id string, now time.Time) bool {
	u := p.upstream(id)
	return u.paceFactor(now) >= slowPaceFactor || u.expectedCalls(now) >= float64(max(u.load.Slots, 1))
}

// Choice holds the data that a choice was based on, for the log.
type Choice struct {
	// Cost is the predicted time of the call at the upstream.
	Cost time.Duration
	// LoadAge is the age of the last load report; 0 if there was none.
	LoadAge time.Duration
	// Candidates is the number of upstreams that the selector allows.
	Candidates int
}

// Choice describes the choice of an upstream among candidates for a call of the
// given work. It is called before Started, which counts the call.
func (p *Picker) Choice(id string, candidates int, work time.Duration, now time.Time) Choice {
	u := p.upstream(id)
	mean := p.costForCalls(u, float64(work), u.expectedCalls(now), now)
	c := Choice{Cost: time.Duration(mean), Candidates: candidates}
	if !u.measuredAt.IsZero() {
		c.LoadAge = now.Sub(u.measuredAt)
	}
	return c
}
