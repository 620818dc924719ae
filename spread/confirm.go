package spread

import "time"

const (
	// enoughPeers is how many confirmed daemons a fresh one compares with.
	enoughPeers = 2
	// manyPeers is how many unconfirmed ones are enough in a large fleet that is
	// new as a whole, once there was time to meet a confirmed one.
	manyPeers = 16
)

// confirm tracks whether this daemon holds what the fleet holds. A fresh or
// woken daemon may have an old revision from a stale platform; until it is
// confirmed it must not act on what a revision permits.
type confirm struct {
	// since is when the wait began, and round its first comparison.
	since time.Time
	round uint64
	// peers holds the daemons that hold the same; true for confirmed ones.
	peers map[string]bool
	// heard is true once any daemon has answered.
	heard bool
	done  bool
}

func (c *confirm) restart(round uint64, now time.Time) {
	*c = confirm{since: now, round: round, peers: map[string]bool{}}
}

// same notes that a daemon holds the same as this one. An answer to a
// comparison from before a restart counts for nothing.
func (c *confirm) same(m Message) {
	if c.done || m.Same.Round < c.round {
		return
	}
	c.heard = true
	if c.peers == nil {
		c.peers = map[string]bool{}
	}
	c.peers[m.From] = c.peers[m.From] || m.Confirmed
}

// confirmed counts the confirmed daemons that hold the same.
func (c *confirm) confirmed() int {
	count := 0
	for _, confirmed := range c.peers {
		if confirmed {
			count++
		}
	}
	return count
}

// Answered reports whether any daemon has held the same as this one since it
// started or woke. It ends the wait for fresh word after a pause.
func (s *State) Answered() bool { return s.confirm.heard || s.confirm.done }

// Confirmed reports whether this daemon has compared with the fleet since it
// started or woke: with two confirmed daemons, or with all there are, confirmed
// or not, since then nobody holds anything newer. After Config.ConfirmWait most
// of them will do, or manyPeers. A daemon that is cut off from most others stays
// unconfirmed: they may hold what turns its actions off.
func (s *State) Confirmed(now time.Time) bool {
	c := &s.confirm
	if c.done {
		return true
	}
	others := s.config.Peers()
	listed := s.reading.listed
	waited := now.Sub(c.since) >= s.config.ConfirmWait
	switch {
	case c.confirmed() >= enoughPeers:
		c.done = true
	case listed && len(c.peers) >= others:
		c.done = true
	case waited && others > 0:
		c.done = len(c.peers) >= min(others/2+1, manyPeers)
	}
	if c.done {
		c.peers = nil
	}
	return c.done
}
