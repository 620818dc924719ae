package admit

import "time"

// ColdStatus describes the limit of a cold upstream.
type ColdStatus struct {
	// Warmth is what the last probe has found: "warm", "cold" or "unknown".
	Warmth string `json:"warmth"`
	// InForce is true while calls are limited.
	InForce bool `json:"inForce"`
	// Starts and Probes are counted in the last second; those before the last probe that
	// found the upstream warm are left out.
	Starts int `json:"starts"`
	Probes int `json:"probes"`
	// PerSecond is the number of calls that may start in any second.
	PerSecond int `json:"perSecond"`
	// LimitedStarts counts all calls that were started under the limit.
	LimitedStarts uint64 `json:"limitedStarts"`
}

// Cold returns the state of the limit, or false if there is none.
func (g *Gate) Cold(now time.Time) (ColdStatus, bool) {
	l := &g.cold
	l.prune(now)
	return ColdStatus{
		Warmth: string(l.warmth), InForce: l.inForce(now), Starts: len(l.starts), Probes: len(l.probes),
		PerSecond: l.limit.Starts, LimitedStarts: l.limitedStarts,
	}, l.enabled()
}

// Limited reports whether the upstream is cold or may be, so that it takes only
// ColdLimit.Starts calls per second. An upstream that was last found warm counts as warm
// until a call has to wait for a probe.
func (g *Gate) Limited(now time.Time) bool {
	return g.cold.enabled() && (g.cold.warmth != warm || g.waitsForCold(now))
}

// MayProbe reports whether the limit of a cold upstream allows a probe.
func (g *Gate) MayProbe(now time.Time) bool { return g.cold.mayProbe(now) }

// Probed counts a probe that is sent now.
func (g *Gate) Probed(now time.Time) { g.cold.probed(now) }

// FoundWarm applies the response to a probe that was sent at sentAt: the upstream is not
// cold.
func (g *Gate) FoundWarm(sentAt time.Time) {
	g.cold.foundWarm(sentAt)
	g.pace.cold = g.limits.Cold
}

// FoundCold applies the response to a probe: the upstream is cold, for the given time
// longer if that is not zero.
func (g *Gate) FoundCold(left time.Duration, now time.Time) {
	if !g.cold.enabled() {
		return
	}
	g.cold.foundCold(left, now)
	if !g.pace.cold {
		// The best pace of the warm upstream would make the cold one count as slow.
		g.pace.cold, g.pace.windowStart = true, time.Time{}
	}
}

// ForgetWarmth records that the upstream was replaced or has crashed. It counts as cold
// until a later probe finds it warm.
func (g *Gate) ForgetWarmth(now time.Time) { g.cold.forget(now) }

// NextStart returns when the limit of a cold upstream lets the next queued call start, or
// false if no call waits for that.
func (g *Gate) NextStart(now time.Time) (time.Time, bool) {
	if !g.waitsForCold(now) {
		return time.Time{}, false
	}
	return g.cold.nextStart(now), true
}

// waitsForCold reports whether a queued call has a free slot but the limit of a cold
// upstream does not let it start.
func (g *Gate) waitsForCold(now time.Time) bool {
	return g.cold.enabled() && !g.draining && g.queue.len() > 0 && len(g.running) < g.capacity(now) && !g.cold.allows(now)
}

// mayStart reports whether a slot is free and the limit of a cold upstream lets a call
// start.
func (g *Gate) mayStart(now time.Time) bool {
	return len(g.running) < g.capacity(now) && g.cold.allows(now)
}

const (
	// warmRenewAfter is the age from which the knowledge that the upstream is warm is
	// renewed while calls start.
	warmRenewAfter = warmTTL / 2
	// idleRenewAfter is that age while no calls start. It lets load reports say soon that an
	// upstream without calls has become cold.
	idleRenewAfter = time.Second
)

// probeWarmth requests a probe if it is time to learn whether the upstream is cold: at
// intervals while it is not known to be warm, before that knowledge expires while calls
// start, and every idleRenewAfter while none do.
func (g *Gate) probeWarmth(now time.Time) []Action {
	l := &g.cold
	if !l.enabled() || g.draining || g.evacuated || !l.mayProbe(now) {
		return nil
	}
	age, busy := now.Sub(l.warmAt), len(l.starts) > 0 || g.queue.len() > 0
	renew := busy && (age >= warmRenewAfter || 2*unconfirmed(l.starts) >= l.limit.Unconfirmed)
	if l.warmth == warm && age < idleRenewAfter && !renew {
		return nil
	}
	return []Action{{Kind: Probe}}
}
