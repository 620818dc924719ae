package retry

import "time"

const (
	// hedgeShare is the share of calls that end before a hedge is sent.
	hedgeShare = 0.95
	// maxPercent bounds what operators can set.
	maxPercent = 100.0
)

// Config is what operators set. The zero value allows nothing.
type Config struct {
	// Retry switches retries on.
	Retry bool
	// RetryPercent is the share of first attempts that may be tried again.
	RetryPercent float64
	// Hedge switches hedging on.
	Hedge bool
	// HedgePercent is the share of first attempts that may be hedged.
	HedgePercent float64
	// Floor is the number of retries per second that are given whatever the
	// number of calls, and Saved the most that are saved up; the package's own
	// when Saved is zero.
	Floor float64
	Saved float64
}

// Policy decides on further attempts of one service's calls. It is not safe
// for concurrent use.
type Policy struct {
	config  Config
	retries bucket
	hedges  bucket
	latency quantile
}

// New returns a Policy.
func New(config Config) *Policy {
	p := &Policy{
		retries: bucket{tokens: firstTokens},
		latency: quantile{share: hedgeShare},
	}
	p.Set(config, time.Time{})
	return p
}

// Set takes new settings. They hold from the next decision on; a percentage
// of zero also takes away what was saved up.
func (p *Policy) Set(config Config, now time.Time) {
	p.retries.count(p.floor(), now)
	config.RetryPercent = percent(config.RetryPercent)
	config.HedgePercent = percent(config.HedgePercent)
	if config.RetryPercent == 0 {
		p.retries.tokens = 0
	}
	if config.HedgePercent == 0 {
		p.hedges.tokens = 0
	}
	p.retries.size = config.Saved
	p.config = config
}

// percent brings a setting into its bounds; what is not a number becomes 0.
func percent(value float64) float64 {
	if !(value > 0) {
		return 0
	}
	return min(value, maxPercent)
}

// First counts the first attempt of a call that came with the attempt number
// above. Only calls that nobody has tried before add to the budget.
func (p *Policy) First(above int) {
	if above > 0 {
		return
	}
	p.retries.deposit(p.config.RetryPercent)
	p.hedges.deposit(p.config.HedgePercent)
}

// Again says whether another attempt may be made after the last one has
// ended, and takes it from the budget.
func (p *Policy) Again(t Try, now time.Time) Verdict {
	if !p.config.Retry {
		return refuse(RuleOff)
	}
	verdict := Decide(t, now)
	if verdict.Allowed && !p.retries.withdraw(p.floor(), now) {
		return refuse(RuleBudget)
	}
	return verdict
}

// Elsewhere says whether a call that a daemon turned away may be tried at
// another. No upstream has seen it, so it costs the budget nothing.
func (p *Policy) Elsewhere(t Try, now time.Time) Verdict {
	if !p.config.Retry {
		return refuse(RuleOff)
	}
	return decideElsewhere(t, now)
}

// floor returns the retries that are given in a second; none when the
// operators allow none.
func (p *Policy) floor() float64 {
	switch {
	case p.config.RetryPercent == 0:
		return 0
	case p.config.Saved > 0:
		return p.config.Floor
	}
	return floorPerSecond
}

// Answered counts the latency of an attempt that got its answer.
func (p *Policy) Answered(latency time.Duration) { p.latency.observe(latency) }

// HedgeAfter returns how long after the first attempt to ask Hedge; ok is
// false when the call is not to be hedged.
func (p *Policy) HedgeAfter(t Try, now time.Time) (delay time.Duration, ok bool) {
	delay, known := p.latency.get()
	ok = known && p.config.Hedge && decideHedge(t, now.Add(delay)).Allowed
	return delay, ok
}

// Hedge says whether a second attempt may be made beside the first, and takes
// it from the budget. The loser of the two is to be cancelled.
func (p *Policy) Hedge(t Try, now time.Time) Verdict {
	if !p.config.Hedge {
		return refuse(RuleOff)
	}
	verdict := decideHedge(t, now)
	if verdict.Allowed && !p.hedges.withdraw(0, now) {
		return refuse(RuleBudget)
	}
	return verdict
}
