package spread

import "time"

const (
	// minConfirmedPeers is the number of confirmed daemons that a new daemon
	// must match.
	minConfirmedPeers = 2
	// maxRequiredPeers is the number of matching daemons, confirmed or not, that
	// is sufficient in a large fleet in which all daemons are new, after there
	// was time to find a confirmed one.
	maxRequiredPeers = 16
)

// confirm tracks whether this daemon holds the same items as the fleet. A new or
// resumed daemon may have an old revision from a stale platform; until it is
// confirmed it must not act on what a revision permits.
type confirm struct {
	// since is when the wait began; firstRound is the first comparison that
	// counts.
	since      time.Time
	firstRound uint64
	// matches holds the daemons that hold the same items; the value is true for
	// confirmed ones.
	matches map[string]bool
	// anyMatch is true once any daemon has held the same items.
	anyMatch bool
	done     bool
}

func (c *confirm) restart(round uint64, now time.Time) {
	*c = confirm{since: now, firstRound: round, matches: map[string]bool{}}
}

// addMatch records that a daemon holds the same items as this one. An answer to
// a comparison from before a restart of the wait is ignored.
func (c *confirm) addMatch(m Message) {
	if c.done || m.RootMatch.Round < c.firstRound {
		return
	}
	c.anyMatch = true
	if c.matches == nil {
		c.matches = map[string]bool{}
	}
	c.matches[m.From] = c.matches[m.From] || m.Confirmed
}

// confirmed returns the number of confirmed daemons that hold the same items.
func (c *confirm) confirmed() int {
	count := 0
	for _, confirmed := range c.matches {
		if confirmed {
			count++
		}
	}
	return count
}

// AnyMatch reports whether any daemon has held the same items as this one since
// this one started or resumed. This ends the wait for current information after
// a pause.
func (s *State) AnyMatch() bool { return s.confirm.anyMatch || s.confirm.done }

// Confirmed reports whether this daemon has matched the fleet since it started
// or resumed: two confirmed daemons, or all daemons, confirmed or not, because
// then none holds anything newer. After Config.ConfirmWait, a majority is
// sufficient, or maxRequiredPeers if that is less. A daemon that is isolated
// from most others stays unconfirmed, because they may hold a document that
// disables its actions.
func (s *State) Confirmed(now time.Time) bool {
	c := &s.confirm
	if c.done {
		return true
	}
	others := s.config.Peers()
	listed := s.reading.listRead
	waited := now.Sub(c.since) >= s.config.ConfirmWait
	switch {
	case c.confirmed() >= minConfirmedPeers:
		c.done = true
	case listed && len(c.matches) >= others:
		c.done = true
	case waited && others > 0:
		c.done = len(c.matches) >= min(others/2+1, maxRequiredPeers)
	}
	if c.done {
		c.matches = nil
	}
	return c.done
}
