package balance

import "time"

const (
	// defaultChoices is how many candidates of the own availability zone, and
	// as many of the others, are compared.
	defaultChoices = 2
	// drawsPerChoice bounds the draws that look for them.
	drawsPerChoice = 6
	// defaultSlots stands for the slots of an upstream that reports none.
	defaultSlots = 10
	// defaultRamp is how long a new upstream's share grows.
	defaultRamp = 10 * time.Second
	// rampFloor is the share that a new or cold upstream starts with.
	rampFloor = 0.1
	// typicalWeight is the share of one report in the service's typical time.
	typicalWeight = 0.02
)

// Config describes a Picker.
type Config struct {
	// SelfZone is the daemon's own availability zone.
	SelfZone string
	// LinkCost returns the extra round trip to an availability zone; nil means
	// none.
	LinkCost func(zone string) time.Duration
	// Rand draws uniform random numbers.
	Rand func() uint64
	// Choices is the number of candidates compared, in the own availability
	// zone and outside it; 0 means 2.
	Choices int
	// Near is the number of candidates of the own availability zone that are
	// compared where the reports of that zone are fresh; 0 means Choices.
	Near int
	// Ramp is how long a new upstream's share grows; 0 means 10 s.
	Ramp time.Duration
}

// Candidate is an upstream that the caller's selector allows.
type Candidate struct {
	// ID names the instance.
	ID string
	// Zone is its availability zone.
	Zone string
	// Incarnation tells instances apart that use one ID after each other.
	Incarnation uint64
}

// Options are the operators' switches, and what the call allows.
type Options struct {
	// LoadAware compares predicted costs. Without it Pick goes round robin
	// over all candidates.
	LoadAware bool
	// SpillOver lets a call leave the own availability zone while that has a
	// usable candidate.
	SpillOver bool
	// Eject keeps calls from upstreams that fail.
	Eject bool
	// SlowStart gives a new upstream a share that grows.
	SlowStart bool
	// EjectPercent is the largest share of the candidates that is ejected.
	// When more look bad, none is: the fault may be on this side.
	EjectPercent int
	// Work is how long this call holds a slot at the usual pace; 0 when not
	// known. It then stands in place of what the upstreams report.
	Work time.Duration
	// Extra is added to the link's cost outside the own availability zone: what
	// this call costs there beyond its time.
	Extra time.Duration
	// NoTrial is true for a call that must not be spent on finding out
	// whether an ejected upstream works again.
	NoTrial bool
}

// Picker chooses upstreams of one service. It is not safe for concurrent use.
type Picker struct {
	config    Config
	upstreams map[string]*upstream
	ejected   []string
	typical   float64   // typical time in a slot, nanoseconds
	first     time.Time // of the first Pick
	next      int
}

// New returns a Picker that knows nothing yet.
func New(config Config) *Picker {
	if config.Choices == 0 {
		config.Choices = defaultChoices
	}
	if config.Near == 0 {
		config.Near = config.Choices
	}
	if config.Ramp == 0 {
		config.Ramp = defaultRamp
	}
	if config.LinkCost == nil {
		config.LinkCost = func(string) time.Duration { return 0 }
	}
	return &Picker{config: config, upstreams: make(map[string]*upstream)}
}

// Started counts a call that leaves for the upstream.
func (p *Picker) Started(id string, now time.Time) {
	p.upstream(id).start(now)
}

// Finished counts the end of a call that was Started.
func (p *Picker) Finished(id string, r Result, now time.Time) {
	u, ok := p.upstreams[id]
	if !ok {
		return
	}
	u.finish(r, now)
	if u.load.ServiceTime == 0 && !r.Failed && !r.NotRun {
		p.learn(r.Latency)
	}
	if r.Cancelled || (r.NotRun && !r.Failed) {
		return
	}
	if u.ejection.result(r.Failed, now) {
		u.own.fails, u.rampFrom = 0, now
	}
	p.track(id, u)
}

// Worked counts how much longer than others of its kind a call took at the
// upstream, with its pace taken out.
func (p *Picker) Worked(id string, factor float64, now time.Time) {
	p.upstream(id).worked(min(max(factor, 1/maxFactor), maxFactor), now)
}

// Way counts how much longer than usual a request and its answer were on the way
// to an upstream and back: the link of its machine may be full.
func (p *Picker) Way(id string, excess time.Duration, now time.Time) {
	p.upstream(id).onWay(float64(excess), now)
}

// Heard takes a load report about the upstream. Reports may come late, twice
// and out of order.
func (p *Picker) Heard(id string, load Load, now time.Time) {
	u := p.upstream(id)
	u.hear(load, now.Add(-load.Age))
	p.learn(load.ServiceTime)
}

// learn lets one service time count towards the service's typical one.
func (p *Picker) learn(service time.Duration) {
	if service <= 0 {
		return
	}
	if p.typical == 0 {
		p.typical = float64(service)
	}
	p.typical += typicalWeight * (float64(service) - p.typical)
}

// MarkDown counts a failure to connect: the call has not run.
func (p *Picker) MarkDown(id string, now time.Time) {
	u := p.upstream(id)
	u.own.Observe(0, true, now)
	u.ejection.eject(now)
	p.track(id, u)
}

// Forget drops what is known about an upstream that is gone.
func (p *Picker) Forget(id string) {
	delete(p.upstreams, id)
	p.untrack(id)
}

// Retain forgets every upstream that keep does not want.
func (p *Picker) Retain(keep func(id string) bool) {
	for id := range p.upstreams {
		if !keep(id) {
			p.Forget(id)
		}
	}
}

// upstream returns what is known about id, making room for it if need be.
func (p *Picker) upstream(id string) *upstream {
	u, ok := p.upstreams[id]
	if !ok {
		u = &upstream{}
		p.upstreams[id] = u
	}
	return u
}

// track keeps the list of ejected upstreams true.
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

// Slow reports whether an upstream is expected to be slow or full at this moment.
func (p *Picker) Slow(id string, now time.Time) bool {
	u := p.upstream(id)
	return u.pace(now) >= slowPace || u.expected(now) >= float64(max(u.load.Slots, 1))
}

// Choice is what a choice rested on, for the log.
type Choice struct {
	// Cost is the time that a call is expected to take at the upstream.
	Cost time.Duration
	// LoadAge is how old the last load report is; 0 when there was none.
	LoadAge time.Duration
	// Candidates is the number of upstreams that the selector allows.
	Candidates int
}

// Choice tells what is known of an upstream that was chosen among candidates for
// a call of that much work, before the call is counted there.
func (p *Picker) Choice(id string, candidates int, work time.Duration, now time.Time) Choice {
	u := p.upstream(id)
	mean := p.costOf(u, float64(work), u.expected(now), now)
	c := Choice{Cost: time.Duration(mean), Candidates: candidates}
	if !u.measured.IsZero() {
		c.LoadAge = now.Sub(u.measured)
	}
	return c
}
