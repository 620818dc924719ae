package spread

import "time"

// volunteer reads the platform once when no daemon seems to read it.
func (s *State) volunteer(actions []Action, now time.Time) []Action {
	r := &s.reading
	if s.listed() {
		s.planVolunteer(now)
	}
	if r.volunteerAt.IsZero() || now.Before(r.volunteerAt) {
		return actions
	}
	if !s.listed() {
		r.volunteerAt = now.Add(backoffMin + s.startWindow()/2 + s.jitter(s.startWindow()))
		r.instances.due = now
		return s.watch(actions, &r.instances, ReadInstances, 0, now)
	}
	r.volunteerAt = now.Add(volunteerMin + s.volunteerWindow()/2 + s.jitter(s.volunteerWindow()))
	r.index.due, r.instances.due = now, now
	actions = s.watch(actions, &r.index, ReadIndex, 0, now)
	return s.watch(actions, &r.instances, ReadInstances, 0, now)
}

func (s *State) planVolunteer(now time.Time) {
	r := &s.reading
	r.stale = now.Sub(r.contact) > s.config.ReaderTimeout
	switch {
	case !r.stale:
		r.volunteerAt = time.Time{}
	case r.volunteerAt.IsZero():
		r.volunteerAt = now.Add(s.jitter(s.volunteerWindow()))
	}
}

// startWindow spreads first reads so that they take three quarters of the
// share, with one read of each daemon.
func (s *State) startWindow() time.Duration {
	return seconds(float64(s.config.MaxFleet) / (0.75 * float64(s.config.ReadShare)))
}

// volunteerWindow spreads the reads of daemons that are no readers so that
// they take a quarter of the share, with two reads of each daemon.
func (s *State) volunteerWindow() time.Duration {
	return seconds(2 * float64(s.config.Live()) / (0.25 * float64(s.config.ReadShare)))
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// heardOfPlatform notes what another daemon knows of the platform's answers.
func (s *State) heardOfPlatform(ageMs int64, now time.Time) {
	if ageMs >= 0 {
		s.touch(now.Add(-time.Duration(ageMs)*time.Millisecond), now)
	}
}

// touch notes an answer of the platform. The first after a long silence is
// passed on at once, so that other daemons need not read.
func (s *State) touch(at, now time.Time) {
	r := &s.reading
	if !at.After(r.contact) {
		return
	}
	wasStale := now.Sub(r.contact) > s.config.ReaderTimeout
	r.contact = at
	if wasStale && now.Sub(at) < s.config.ReaderTimeout/2 {
		if !s.flushPending() {
			s.flushAt = now
		}
		s.beat = true
	}
}
