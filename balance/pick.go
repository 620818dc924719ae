package balance

import "time"

// maxCountedCandidates is the number of candidates above which all ejected
// upstreams are assumed to be among them, because counting would take too long.
const maxCountedCandidates = 64

// grade ranks a candidate before cost is compared.
type grade int

const (
	excluded   grade = iota // must not be chosen
	lastResort              // chosen only if there is nothing better
	usable                  // compared by cost
	trialDue                // due for a trial call
)

// bestCandidate is the best candidate found so far in one locality: the daemon's own
// availability zone, the rest of its region, or other regions.
type bestCandidate struct {
	index int
	grade grade
	cost  float64
	mean  float64 // cost with the expected number of calls, without a random draw
}

// offer replaces c by a new candidate if that is better.
func (c *bestCandidate) offer(index int, g grade, cost, mean float64) {
	if g > c.grade || (g == c.grade && g != excluded && cost < c.cost) {
		*c = bestCandidate{index: index, grade: g, cost: cost, mean: mean}
	}
}

// selection is the state of one call of Pick.
type selection struct {
	candidates []Candidate
	avoid      []string
	options    Options
	eject      bool
	now        time.Time
	sameZone   bestCandidate
	otherZones bestCandidate
	// otherRegions stays excluded if all candidates are in one region.
	otherRegions bestCandidate
}

// Pick chooses one of the candidates, except those named in avoid. ok is false
// if no candidate may take the call.
func (p *Picker) Pick(candidates []Candidate, avoid []string, options Options, now time.Time) (index int, ok bool) {
	if len(candidates) == 0 {
		return -1, false
	}
	s := selection{candidates: candidates, avoid: avoid, options: options, now: now}
	s.eject = options.Eject && p.mayEject(candidates, options.EjectPercent)
	if !options.LoadAware {
		return p.roundRobin(&s)
	}
	p.sample(&s)
	if s.sameZone.grade < usable && s.otherZones.grade < usable && s.otherRegions.grade < usable {
		p.scan(&s)
	}
	return s.choose()
}

// sample compares a few candidates, or all if there are few.
func (p *Picker) sample(s *selection) {
	n, choices := len(s.candidates), p.config.Choices
	if n <= 2*choices {
		p.scan(s)
		return
	}
	left := choicesLeft{sameZone: choices, otherZones: choices, otherRegions: choices}
	if p.config.SameZoneChoices > choices {
		left.sameZone = 0
		p.scanSameZone(s)
	}
	for draws := drawsPerChoice * choices; draws > 0 && left.any(); draws-- {
		i := int(p.config.Rand() % uint64(n))
		if count := left.at(p.locality(&s.candidates[i])); *count > 0 {
			p.consider(s, i)
			*count--
		}
	}
}

// scanSameZone compares candidates of the daemon's own availability zone, in order
// from a random one of them. Those of a zone stand together, so beginning at a random
// one of all candidates would mostly begin at the first of the zone.
func (p *Picker) scanSameZone(s *selection) {
	count := 0
	for i := range s.candidates {
		if s.candidates[i].Zone == p.config.SelfZone {
			count++
		}
	}
	if count == 0 {
		return
	}
	skip, left := int(p.config.Rand()%uint64(count)), min(count, p.config.SameZoneChoices)
	for i := 0; left > 0; i++ {
		at := i % len(s.candidates)
		if s.candidates[at].Zone != p.config.SelfZone {
			continue
		}
		if skip > 0 {
			skip--
			continue
		}
		p.consider(s, at)
		left--
	}
}

// scan compares all candidates.
func (p *Picker) scan(s *selection) {
	first := int(p.config.Rand() % uint64(len(s.candidates)))
	for i := range s.candidates {
		p.consider(s, (first+i)%len(s.candidates))
	}
}

func (p *Picker) consider(s *selection, i int) {
	candidate := &s.candidates[i]
	u := p.upstreamOf(candidate, s.now)
	g := p.grade(s, candidate.ID, u)
	if g == excluded {
		return
	}
	cost, mean := p.cost(u, float64(s.options.ExpectedWork), s.now)
	if p.config.SameZoneChoices > p.config.Choices && s.now.Sub(u.measuredAt) < freshReportAge {
		// A fresh report leaves nothing to estimate.
		cost = mean
	}
	delay := u.linkDelayCost(s.now)
	cost, mean = cost+delay, mean+delay
	at := p.locality(candidate)
	if at == sameZone {
		s.sameZone.offer(i, g, cost, mean)
		return
	}
	// Trials are left to the daemons of that availability zone, unless a call
	// goes there anyway.
	link := float64(p.config.LinkCost(candidate.Zone) + s.options.ExtraLinkCost)
	best := &s.otherZones
	if at == otherRegion {
		best = &s.otherRegions
	}
	best.offer(i, min(g, usable), cost+link, mean+link)
}

// upstreamOf returns the state of a candidate, reset if it is a new incarnation.
// An upstream first seen within Ramp of the first Pick starts without a ramp,
// since to a new Picker every upstream looks new.
func (p *Picker) upstreamOf(c *Candidate, now time.Time) *upstream {
	u := p.upstream(c.ID)
	if p.firstPick.IsZero() {
		p.firstPick = now
	}
	if !u.seen {
		u.seen = true
		if now.Sub(p.firstPick) >= p.config.Ramp {
			u.rampStart = now
		}
	}
	if u.incarnation < c.Incarnation {
		if u.incarnation != 0 {
			*u = upstream{seen: true, rampStart: now}
			p.untrack(c.ID)
		}
		u.incarnation = c.Incarnation
	}
	return u
}

// grade ranks a candidate for this call.
func (p *Picker) grade(s *selection, id string, u *upstream) grade {
	for _, other := range s.avoid {
		if other == id {
			return excluded
		}
	}
	if u.closed(s.now) {
		return excluded
	}
	if s.eject && u.ejection.active {
		if s.options.NoTrial || s.now.Before(u.ejection.until) || len(u.outstanding) > 0 {
			return lastResort
		}
		return trialDue
	}
	if s.options.SlowStart && p.rampSkips(u, s.now) {
		return lastResort
	}
	return usable
}

// rampSkips draws at random whether a new or cold upstream is passed over for
// this call.
func (p *Picker) rampSkips(u *upstream, now time.Time) bool {
	if p.limited(u, now) {
		return false
	}
	share := u.warmShare(now)
	if !u.rampStart.IsZero() {
		share = min(share, max(minRampShare, float64(now.Sub(u.rampStart))/float64(p.config.Ramp)))
	}
	if u.load.State == Cold {
		share = minRampShare
	}
	return share < 1 && float64(p.config.Rand()>>11)/(1<<53) >= share
}

// choose compares the best candidates of the localities, from the nearest to the
// farthest. Links between regions are slow and shared by all calls, so a call leaves its
// region only if it would miss its target there.
func (s *selection) choose() (index int, ok bool) {
	best := s.nearest(s.sameZone, s.otherZones)
	if s.options.TimeToTarget <= 0 || best.mean > float64(s.options.TimeToTarget) || best.grade < usable {
		best = s.nearest(best, s.otherRegions)
	}
	return best.index, best.grade != excluded
}

// nearest returns the nearer candidate, or the other one if that is better by its grade
// or, where calls may spill over, by its cost.
func (s *selection) nearest(near, far bestCandidate) bestCandidate {
	switch {
	case near.grade == excluded, far.grade > near.grade:
		return far
	case far.grade < near.grade || !s.options.SpillOver || near.mean <= far.mean:
		return near
	}
	return far
}

// roundRobin returns the next candidate that may be chosen.
func (p *Picker) roundRobin(s *selection) (index int, ok bool) {
	fallback := -1
	n := len(s.candidates)
	for range n {
		p.lastIndex = (p.lastIndex + 1) % n
		i := p.lastIndex
		candidate := &s.candidates[i]
		switch p.grade(s, candidate.ID, p.upstreamOf(candidate, s.now)) {
		case usable, trialDue:
			return i, true
		case lastResort:
			if fallback < 0 {
				fallback = i
			}
		}
	}
	return fallback, fallback >= 0
}

// mayEject reports whether the ejected candidates are within the limit. If they
// are not, none is ejected.
func (p *Picker) mayEject(candidates []Candidate, percent int) bool {
	allowed := min(len(candidates)*percent/100, len(candidates)-1)
	if len(p.ejected) <= allowed || len(candidates) > maxCountedCandidates {
		return len(p.ejected) <= allowed
	}
	return p.countEjected(candidates) <= allowed
}

// countEjected counts the ejected upstreams among the candidates.
func (p *Picker) countEjected(candidates []Candidate) int {
	n := 0
	for _, id := range p.ejected {
		for i := range candidates {
			if candidates[i].ID == id {
				n++
				break
			}
		}
	}
	return n
}
