package experiment

import (
	"sync"
	"time"
)

// FleetState holds what no single daemon knows without delay: the true state of each
// upstream, and the attempts in flight from each daemon to each upstream.
type FleetState struct {
	ttl time.Duration

	mu            sync.Mutex
	upstreamIndex map[string]int
	zones         []string
	upstreams     []upstreamState
	attempts      [][][]time.Time // start times, by daemon and upstream
	isolatedZone  string
}

// upstreamState is the true state of one upstream.
type upstreamState struct {
	factor      float64
	unavailable bool
	coldEnd     time.Time
}

// newFleetState returns an empty state. An attempt that is never removed counts as in
// flight for ttl.
func newFleetState(ttl time.Duration) *FleetState {
	return &FleetState{ttl: ttl, upstreamIndex: map[string]int{}}
}

// add adds an instance, which is an upstream and the daemon beside it.
func (s *FleetState) add(id, zone string) {
	s.upstreamIndex[id] = len(s.zones)
	s.zones = append(s.zones, zone)
	s.upstreams = append(s.upstreams, upstreamState{factor: 1})
	n := len(s.zones)
	s.attempts = make([][][]time.Time, n)
	for i := range s.attempts {
		s.attempts[i] = make([][]time.Time, n)
	}
}

// updateUpstream changes the state of the upstream with the given index.
func (s *FleetState) updateUpstream(upstream int, change func(*upstreamState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.upstreams[upstream])
}

// isolateZone records that a zone and the others cannot reach each other.
func (s *FleetState) isolateZone(zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolatedZone = zone
}

// AddAttempt records the start of an attempt from a daemon to the upstream with this
// ID.
func (s *FleetState) AddAttempt(daemon int, id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.upstreamIndex[id]
	s.attempts[daemon][u] = append(s.attempts[daemon][u], now)
}

// removeAttempt records the end, at the upstream, of a call that a caller sent to a
// daemon. An attempt that never reached the upstream stays listed until its ttl
// expires, so the attempt that started nearest to sent is removed.
func (s *FleetState) removeAttempt(daemon, upstream int, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.attempts[daemon][upstream]
	best := -1
	for i := range list {
		if best < 0 || list[i].Sub(sent).Abs() < list[best].Sub(sent).Abs() {
			best = i
		}
	}
	if best >= 0 {
		s.attempts[daemon][upstream] = append(list[:best], list[best+1:]...)
	}
}

// InFlight returns the number of attempts in flight from one daemon to an upstream.
func (s *FleetState) InFlight(daemon int, id string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pruneAndCount(daemon, s.upstreamIndex[id], now)
}

// InFlightSince returns the number of attempts in flight from one daemon to an
// upstream that started after the given time.
func (s *FleetState) InFlightSince(daemon int, id string, after, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pruneAndCount(daemon, s.upstreamIndex[id], now)
	n := 0
	for _, began := range s.attempts[daemon][s.upstreamIndex[id]] {
		if began.After(after) {
			n++
		}
	}
	return n
}

// TotalInFlight returns the number of attempts in flight from all daemons to an
// upstream.
func (s *FleetState) TotalInFlight(id string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for daemon := range s.attempts {
		n += s.pruneAndCount(daemon, s.upstreamIndex[id], now)
	}
	return n
}

func (s *FleetState) pruneAndCount(daemon, upstream int, now time.Time) int {
	list := s.attempts[daemon][upstream]
	for len(list) > 0 && now.Sub(list[0]) > s.ttl {
		list = list[1:]
	}
	s.attempts[daemon][upstream] = list
	return len(list)
}

// Available reports whether a daemon can reach an upstream and the upstream serves
// calls, which it does not while draining or failing fast.
func (s *FleetState) Available(daemon int, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.upstreamIndex[id]
	from, to := s.zones[daemon], s.zones[u]
	reachable := s.isolatedZone == "" || from == to || (from != s.isolatedZone && to != s.isolatedZone)
	return reachable && !s.upstreams[u].unavailable
}

// SlowdownFactor returns the service time of an upstream as a multiple of nominal.
func (s *FleetState) SlowdownFactor(id string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.upstreams[s.upstreamIndex[id]]
	factor := u.factor
	if left := u.coldEnd.Sub(now); left > 0 {
		factor *= 1 + (coldFactor-1)*float64(left)/float64(coldStartTime)
	}
	return factor
}
