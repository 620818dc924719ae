package trace

import "time"

// The texts by which a daemon tells that it sends an attempt, and how the request
// or the attempt ended.
const (
	textSent     = "A request is sent on."
	textEnded    = "An attempt brought no answer."
	textAnswered = "A request is answered."
)

// span is the time from the sending of an attempt until its end, at its sender.
type span struct {
	source   string
	from, to time.Time
}

// bounds are what the spans of its attempts allow to be added to a clock.
type bounds struct {
	least, most       time.Duration
	hasLeast, hasMost bool
}

// within narrows the bounds so that a moment comes to stand in a span.
func (b *bounds) within(s span, at time.Time) {
	if least := s.from.Sub(at); !b.hasLeast || least > b.least {
		b.least, b.hasLeast = least, true
	}
	if most := s.to.Sub(at); !s.to.IsZero() && (!b.hasMost || most < b.most) {
		b.most, b.hasMost = most, true
	}
}

// shift is nothing where the clock may be right, else the middle of what it may be.
func (b bounds) shift() time.Duration {
	switch {
	case b.hasMost && (b.least > 0 || b.most < 0):
		return (b.least + b.most) / 2
	case b.least > 0:
		return b.least
	}
	return 0
}

// shifts returns what is to be added to the clock of each source, so that what a
// daemon says of an attempt stands between its sending and its end.
func shifts(entries []Entry) map[string]time.Duration {
	spans := map[string]span{}
	for _, e := range entries {
		if e.Text == textSent {
			spans[e.attempt()] = span{source: e.Source, from: e.Time}
		}
	}
	for call, s := range spans {
		s.to = end(entries, call, s)
		spans[call] = s
	}
	allowed := map[string]*bounds{}
	for _, e := range entries {
		s, sent := spans[e.attempt()]
		if !sent || s.source == e.Source {
			continue
		}
		if allowed[e.Source] == nil {
			allowed[e.Source] = &bounds{}
		}
		allowed[e.Source].within(s, e.Time)
	}
	out := map[string]time.Duration{}
	for source, b := range allowed {
		out[source] = b.shift()
	}
	return out
}

// end returns when an attempt ended at its sender, or zero.
func end(entries []Entry, call string, s span) time.Time {
	var last time.Time
	for _, e := range entries {
		if e.Source != s.source || e.Time.Before(s.from) {
			continue
		}
		if e.Text == textEnded && e.attempt() == call {
			return e.Time
		}
		if e.Text == textAnswered && len(e.Call) > 0 && len(call) > len(e.Call) && call[:len(e.Call)+1] == e.Call+"-" {
			last = e.Time
		}
	}
	return last
}
