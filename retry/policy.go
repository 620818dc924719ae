package retry

import "time"

const (
	// hedgeQuantile is the share of attempts that end before a hedge is sent.
	hedgeQuantile = 0.95
	// maxPercent bounds the percentages that operators can set.
	maxPercent = 100.0
)

// Config holds the operators' settings. The zero value allows nothing.
type Config struct {
	// Retry enables retries.
	Retry bool
	// RetryPercent bounds the retries to a percentage of the first attempts.
	RetryPercent float64
	// Hedge enables hedging.
	Hedge bool
	// HedgePercent bounds the hedges to a percentage of the first attempts.
	HedgePercent float64
	// MinRetriesPerSecond is the number of retries per second that are allowed
	// regardless of the number of calls, and MaxSavedRetries is the maximum that
	// accumulates. If MaxSavedRetries is zero, the package's defaults replace both.
	MinRetriesPerSecond float64
	MaxSavedRetries     float64
}

// Policy decides on further attempts for the calls to one service. It is not safe
// for concurrent use.
type Policy struct {
	config  Config
	retries bucket
	hedges  bucket
	latency quantile
}

// New returns a Policy with the given settings.
func New(config Config) *Policy {
	p := &Policy{
		retries: bucket{tokens: initialTokens},
		latency: quantile{fraction: hedgeQuantile},
	}
	p.Set(config, time.Time{})
	return p
}

// Set replaces the settings, from the next decision on. A percentage of zero also
// discards the tokens that have accumulated.
func (p *Policy) Set(config Config, now time.Time) {
	p.retries.refill(p.minRetryRate(), now)
	config.RetryPercent = clampPercent(config.RetryPercent)
	config.HedgePercent = clampPercent(config.HedgePercent)
	if config.RetryPercent == 0 {
		p.retries.tokens = 0
	}
	if config.HedgePercent == 0 {
		p.hedges.tokens = 0
	}
	p.retries.size = config.MaxSavedRetries
	p.config = config
}

// clampPercent limits a setting to 0 through maxPercent; NaN becomes 0.
func clampPercent(value float64) float64 {
	if !(value > 0) {
		return 0
	}
	return min(value, maxPercent)
}

// CountFirst counts the first attempt of a call that was received with the given
// attempt number. Only calls with the number 0, which have not been attempted
// before, add to the budget.
func (p *Policy) CountFirst(received int) {
	if received > 0 {
		return
	}
	p.retries.deposit(p.config.RetryPercent)
	p.hedges.deposit(p.config.HedgePercent)
}

// AllowRetry decides whether another attempt may be made after the last one has ended,
// and takes it from the budget.
func (p *Policy) AllowRetry(s CallState, now time.Time) Verdict {
	if !p.config.Retry {
		return refuse(RuleOff)
	}
	verdict := Decide(s, now)
	if verdict.Allowed && !p.retries.withdraw(p.minRetryRate(), now) {
		return refuse(RuleBudget)
	}
	return verdict
}

// AllowRedispatch decides whether a call that a daemon refused may be sent to another
// daemon. No upstream has seen the call, so this takes nothing from the budget.
func (p *Policy) AllowRedispatch(s CallState, now time.Time) Verdict {
	if !p.config.Retry {
		return refuse(RuleOff)
	}
	return decideRedispatch(s, now)
}

// minRetryRate returns the retries per second that are allowed regardless of the
// number of calls; 0 if the operators allow no retries.
func (p *Policy) minRetryRate() float64 {
	switch {
	case p.config.RetryPercent == 0:
		return 0
	case p.config.MaxSavedRetries > 0:
		return p.config.MinRetriesPerSecond
	}
	return minRetriesPerSecond
}

// ObserveLatency records the latency of an attempt that was answered.
func (p *Policy) ObserveLatency(latency time.Duration) { p.latency.observe(latency) }

// HedgeAfter returns the delay after the first attempt at which to call AllowHedge; ok
// is false if the call is not to be hedged.
func (p *Policy) HedgeAfter(s CallState, now time.Time) (delay time.Duration, ok bool) {
	delay, known := p.latency.get()
	ok = known && p.config.Hedge && decideHedge(s, now.Add(delay)).Allowed
	return delay, ok
}

// AllowHedge decides whether a second attempt may be made while the first is in
// progress, and takes it from the budget. The caller must cancel the attempt that
// is not answered first.
func (p *Policy) AllowHedge(s CallState, now time.Time) Verdict {
	if !p.config.Hedge {
		return refuse(RuleOff)
	}
	verdict := decideHedge(s, now)
	if verdict.Allowed && !p.hedges.withdraw(0, now) {
		return refuse(RuleBudget)
	}
	return verdict
}
