package config

import "time"

// MaxColdPerSecond limits the rate of requests in ColdSettings.
const MaxColdPerSecond = 1_000_000

// ColdSettings describes the upstreams of a service while they are cold: for some time
// after each start, and at times later.
type ColdSettings struct {
	duration  time.Duration
	perSecond float64
}

// Duration returns how long an upstream is cold after a start; 0 if that is not known.
func (c ColdSettings) Duration() time.Duration { return c.duration }

// PerSecond returns the number of requests per second that a cold upstream accepts; 0
// means that there is no limit.
func (c ColdSettings) PerSecond() float64 { return c.perSecond }

// coldSettings decodes the fields of a service entry of a routes document.
func (o object) coldSettings() ColdSettings {
	return ColdSettings{
		duration:  time.Duration(o.integer("coldMs", 0, maxTimeoutMs, 0)) * time.Millisecond,
		perSecond: o.number("coldPerSecond", 0, MaxColdPerSecond, 0),
	}
}
