package trace

import "time"

// The log messages of a daemon that mark the start of an attempt, the end of an
// attempt without a response, and the end of a request.
const (
	textSent     = "A request is sent on."
	textEnded    = "An attempt brought no answer."
	textAnswered = "A request is answered."
)

// span is the time from the start of an attempt until its end, on the clock of its
// sender.
type span struct {
	source   string
	from, to time.Time
}

// bounds limit the shift of a clock so that its entries lie within the spans of
// their attempts.
type bounds struct {
	minShift, maxShift time.Duration
	hasMin, hasMax     bool
}

// narrow narrows the bounds so that the shifted time at lies within the span.
func (b *bounds) narrow(s span, at time.Time) {
	if minShift := s.from.Sub(at); !b.hasMin || minShift > b.minShift {
		b.minShift, b.hasMin = minShift, true
	}
	if maxShift := s.to.Sub(at); !s.to.IsZero() && (!b.hasMax || maxShift < b.maxShift) {
		b.maxShift, b.hasMax = maxShift, true
	}
}

// shift returns 0 if the bounds allow it, else the middle of the allowed range, or
// the lower bound if there is no upper one.
func (b bounds) shift() time.Duration {
	switch {
	case b.hasMax && (b.minShift > 0 || b.maxShift < 0):
		return (b.minShift + b.maxShift) / 2
	case b.minShift > 0:
		return b.minShift
	}
	return 0
}

// clockShifts returns the shift of the clock of each source that moves a daemon's
// entries about an attempt between the start and the end of the attempt.
func clockShifts(entries []Entry) map[string]time.Duration {
	spans := map[string]span{}
	for _, e := range entries {
		if e.Text == textSent {
			spans[e.attempt()] = span{source: e.Source, from: e.Time}
		}
	}
	for attempt, s := range spans {
		s.to = endTime(entries, attempt, s)
		spans[attempt] = s
	}
	limits := map[string]*bounds{}
	for _, e := range entries {
		s, sent := spans[e.attempt()]
		if !sent || s.source == e.Source {
			continue
		}
		if limits[e.Source] == nil {
			limits[e.Source] = &bounds{}
		}
		limits[e.Source].narrow(s, e.Time)
	}
	out := map[string]time.Duration{}
	for source, b := range limits {
		out[source] = b.shift()
	}
	return out
}

// endTime returns the time at which an attempt ended at its sender, or zero.
func endTime(entries []Entry, attempt string, s span) time.Time {
	var last time.Time
	for _, e := range entries {
		if e.Source != s.source || e.Time.Before(s.from) {
			continue
		}
		if e.Text == textEnded && e.attempt() == attempt {
			return e.Time
		}
		if e.Text == textAnswered && len(e.Call) > 0 && len(attempt) > len(e.Call) && attempt[:len(e.Call)+1] == e.Call+"-" {
			last = e.Time
		}
	}
	return last
}
