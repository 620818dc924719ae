package spread

import "time"

// fallbackRead reads the platform once if no daemon seems to read it, or if this
// daemon knows no other one yet.
func (s *State) fallbackRead(actions []Action, now time.Time) []Action {
	r := &s.reading
	if s.fleetKnown() {
		s.scheduleFallback(now)
	}
	if r.fallbackAt.IsZero() || now.Before(r.fallbackAt) {
		return actions
	}
	if !s.fleetKnown() {
		r.fallbackAt = now.Add(backoffMin + s.firstReadWindow()/2 + s.jitter(s.firstReadWindow()))
		r.instances.due = now
		return s.startWatch(actions, &r.instances, ReadInstances, 0, now)
	}
	r.fallbackAt = now.Add(minFallbackInterval + s.fallbackWindow()/2 + s.jitter(s.fallbackWindow()))
	r.index.due, r.instances.due = now, now
	actions = s.startWatch(actions, &r.index, ReadIndex, 0, now)
	return s.startWatch(actions, &r.instances, ReadInstances, 0, now)
}

func (s *State) scheduleFallback(now time.Time) {
	r := &s.reading
	r.stale = now.Sub(r.lastAnswer) > s.config.ReaderTimeout
	switch {
	case !r.stale:
		r.fallbackAt = time.Time{}
	case r.fallbackAt.IsZero():
		r.fallbackAt = now.Add(s.jitter(s.fallbackWindow()))
	}
}

// firstReadWindow returns the time over which all daemons of a fleet of
// Config.MaxFleet spread their first reads, such that these use three quarters
// of Config.ReadsPerSecond with one read per daemon.
func (s *State) firstReadWindow() time.Duration {
	return seconds(float64(s.config.MaxFleet) / (0.75 * float64(s.config.ReadsPerSecond)))
}

// fallbackWindow returns the time over which all live daemons spread their
// fallback reads, such that these use a quarter of Config.ReadsPerSecond with
// two reads per daemon.
func (s *State) fallbackWindow() time.Duration {
	return seconds(2 * float64(s.config.Live()) / (0.25 * float64(s.config.ReadsPerSecond)))
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// notePlatformAge records the age of the platform's last answer as reported by
// another daemon.
func (s *State) notePlatformAge(ageMs int64, now time.Time) {
	if ageMs >= 0 {
		s.notePlatformAnswer(now.Add(-time.Duration(ageMs)*time.Millisecond), now)
	}
}

// notePlatformAnswer records an answer of the platform. The first one after a
// long interval without any is announced at once, so that other daemons need not
// read.
func (s *State) notePlatformAnswer(at, now time.Time) {
	r := &s.reading
	if !at.After(r.lastAnswer) {
		return
	}
	wasStale := now.Sub(r.lastAnswer) > s.config.ReaderTimeout
	r.lastAnswer = at
	if wasStale && now.Sub(at) < s.config.ReaderTimeout/2 {
		if !s.flushPending() {
			s.flushAt = now
		}
		s.announceAnswer = true
	}
}
