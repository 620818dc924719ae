package admit

import (
	"time"

	"pomelodoor.example/pomelodoor/times"
)

const (
	// coldWindow is the time in which the limits of a cold upstream apply.
	coldWindow = time.Second
	// maxColdProbes is the number of probes in coldWindow that are enough to learn soon
	// that the upstream is warm; the other room is for calls.
	maxColdProbes = 4
	// coldBurst is the number of calls that may start at once. Those after them are
	// spaced out, so that a delay between the decision and the wire adds only the calls of
	// that delay to a second, instead of all calls of another second.
	coldBurst = 4
	// maxColdRate keeps the numbers of a ColdLimit within the range of int.
	maxColdRate = 1_000_000
)

// ColdLimit limits what is sent to an upstream that has just started, and crashes if
// requests arrive faster than it accepts them. It applies while the upstream is cold or
// not known to be warm. The zero value sets no limit.
type ColdLimit struct {
	// Starts and Probes are the numbers of calls and of probes in any second.
	Starts int
	Probes int
	// Unconfirmed is the number of calls that may be started since the sending of the last
	// probe that found the upstream warm: it may have become cold right after it.
	Unconfirmed int
	// FirstSecond is the number of calls and probes in the first second of the limit, when
	// it is not known what a predecessor of this process has sent.
	FirstSecond int
}

// NewColdLimit returns the limit for upstreams that accept perSecond requests per second
// and must not be sent more than bound requests in any second, probes included. Its
// numbers add up to at most the bound: they may all fall into one second if the upstream
// becomes cold right after a probe, and the process restarts. A bound below 3 counts as 3,
// for one call, one probe and one unconfirmed call.
func NewColdLimit(perSecond, bound float64) ColdLimit {
	if !(perSecond > 0) {
		return ColdLimit{}
	}
	total := max(int(min(bound, maxColdRate)), 3)
	starts := max(int(min(perSecond, maxColdRate)), 1)
	probes := min(max((total-starts)/3, 1), maxColdProbes)
	starts = max(min(starts, total-probes-total/4), 1)
	rest := total - starts - probes
	return ColdLimit{Starts: starts, Probes: probes, Unconfirmed: (rest + 1) / 2, FirstSecond: rest / 2}
}

// warmth is what is known about the upstream.
type warmth string

const (
	warmthUnknown warmth = "unknown"
	warm          warmth = "warm"
	cold          warmth = "cold"
)

// sending is a call or a probe that was sent to the upstream.
type sending struct {
	at time.Time
	// limited is true if the limit was in force. Other sendings are dropped once a later
	// probe has found the upstream warm.
	limited bool
}

// coldLimiter counts what was sent to the upstream within coldWindow.
type coldLimiter struct {
	limit ColdLimit
	// since is when the limit was set, and forgottenAt when the upstream was last replaced
	// or has crashed.
	since, forgottenAt time.Time
	starts, probes     []sending
	// spacing is the time of the next start if all were evenly spaced.
	spacing time.Time
	warmth  warmth
	// warmAt is when the last probe that found the upstream warm was sent, coldUntil when it
	// is expected to be warm.
	warmAt, coldUntil time.Time
	lastProbe         time.Time
	limitedStarts     uint64
}

// warmTTL is how long the upstream is taken as warm after the sending of a probe that
// found it so.
const warmTTL = 300 * time.Millisecond

func (l *coldLimiter) set(limit ColdLimit, now time.Time) {
	if l.limit == (ColdLimit{}) {
		*l = coldLimiter{since: now, warmth: warmthUnknown, limitedStarts: l.limitedStarts}
	}
	l.limit = limit
}

func (l *coldLimiter) enabled() bool { return l.limit.Starts > 0 }

// inForce reports whether the upstream is cold or not known to be warm.
func (l *coldLimiter) inForce(now time.Time) bool {
	return l.enabled() && (l.warmth != warm || now.Sub(l.warmAt) > warmTTL)
}

// unlimited reports whether a call may start regardless of the rate.
func (l *coldLimiter) unlimited(now time.Time) bool {
	return !l.inForce(now) && (!l.enabled() || unconfirmed(l.starts) < l.limit.Unconfirmed)
}

// unconfirmed counts what was sent while the limit was not in force, and not dropped since by
// a later probe that found the upstream warm.
func unconfirmed(list []sending) int {
	n := 0
	for _, s := range list {
		if !s.limited {
			n++
		}
	}
	return n
}

// prune drops what is older than the window.
func (l *coldLimiter) prune(now time.Time) {
	l.starts, l.probes = dropOld(l.starts, now), dropOld(l.probes, now)
}

func dropOld(list []sending, now time.Time) []sending {
	first := 0
	for first < len(list) && now.Sub(list[first].at) > coldWindow {
		first++
	}
	return list[first:]
}

// allows reports whether a call may start now.
func (l *coldLimiter) allows(now time.Time) bool { return !l.nextStart(now).After(now) }

// nextStart returns when the next call may start if nothing more becomes known about the
// upstream.
func (l *coldLimiter) nextStart(now time.Time) time.Time {
	if l.unlimited(now) {
		return now
	}
	l.prune(now)
	return l.startAfter(l.starts, l.spacing, now)
}

// startAfter returns when a call may start after the given starts.
func (l *coldLimiter) startAfter(starts []sending, spacing, now time.Time) time.Time {
	at := now
	if spaced := spacing.Add(-time.Duration(min(coldBurst, l.limit.Starts)-1) * l.gap()); spaced.After(at) {
		at = spaced
	}
	if len(starts) >= l.limit.Starts {
		at = times.Later(at, starts[len(starts)-l.limit.Starts].at.Add(coldWindow+1))
	}
	if l.firstSecondUsed(starts, at) {
		at = l.since.Add(coldWindow + 1)
	}
	return at
}

// firstSecondUsed reports whether the first second of the limit allows nothing more at the
// given time.
func (l *coldLimiter) firstSecondUsed(starts []sending, at time.Time) bool {
	return at.Sub(l.since) <= coldWindow && len(starts)+len(l.probes) >= l.limit.FirstSecond
}

// gap returns the time between two evenly spaced starts.
func (l *coldLimiter) gap() time.Duration { return coldWindow / time.Duration(l.limit.Starts) }

// started counts a call that starts now.
func (l *coldLimiter) started(now time.Time) {
	if !l.enabled() {
		return
	}
	s := sending{at: now, limited: !l.unlimited(now)}
	if s.limited {
		l.limitedStarts++
		l.spacing = times.Later(l.spacing, now).Add(l.gap())
	}
	l.prune(now)
	l.starts = append(l.starts, s)
}

// mayProbe reports whether a probe may be sent now.
func (l *coldLimiter) mayProbe(now time.Time) bool {
	if !l.enabled() {
		return true
	}
	l.prune(now)
	if !l.inForce(now) {
		return unconfirmed(l.probes) < l.limit.Probes
	}
	return len(l.probes) < l.limit.Probes && now.Sub(l.lastProbe) >= coldWindow/time.Duration(l.limit.Probes) &&
		!l.firstSecondUsed(l.starts, now)
}

// probed counts a probe that is sent now.
func (l *coldLimiter) probed(now time.Time) {
	if !l.enabled() {
		return
	}
	l.prune(now)
	l.probes = append(l.probes, sending{at: now, limited: l.inForce(now)})
	l.lastProbe = now
}

// foundWarm records that a probe sent at sentAt has found the upstream warm. What was sent
// earlier on the ground of an earlier probe reached a warm upstream, as an upstream stays
// cold for longer than warmTTL.
func (l *coldLimiter) foundWarm(sentAt time.Time) {
	if !l.enabled() || sentAt.Before(l.forgottenAt) {
		return
	}
	l.warmth, l.warmAt = warm, sentAt
	l.starts, l.probes = dropConfirmed(l.starts, sentAt), dropConfirmed(l.probes, sentAt)
}

// dropConfirmed drops what was sent until sentAt while the limit was not in force.
func dropConfirmed(list []sending, sentAt time.Time) []sending {
	kept := make([]sending, 0, len(list))
	for _, s := range list {
		if s.limited || s.at.After(sentAt) {
			kept = append(kept, s)
		}
	}
	return kept
}

// foundCold records that a probe has found the upstream cold for the given time.
func (l *coldLimiter) foundCold(left time.Duration, now time.Time) {
	l.warmth, l.coldUntil = cold, now.Add(left)
}

// forget records that the upstream was replaced or has crashed.
func (l *coldLimiter) forget(now time.Time) {
	l.warmth, l.forgottenAt = warmthUnknown, now
}

// wait returns how long the limit is expected to hold a call behind the given number of
// others. While the upstream is known to be warm, the next probe comes
// before the wait is noticeable.
func (l *coldLimiter) wait(ahead int, now time.Time) time.Duration {
	if !l.inForce(now) {
		return 0
	}
	l.prune(now)
	starts, spacing, at := append([]sending(nil), l.starts...), l.spacing, now
	for range ahead + 1 {
		at = l.startAfter(starts, spacing, at)
		starts, spacing = append(starts, sending{at: at}), times.Later(spacing, at).Add(l.gap())
	}
	if l.warmth == cold && l.coldUntil.After(now) && l.coldUntil.Before(at) {
		at = l.coldUntil
	}
	return at.Sub(now)
}
