package balance

import "time"

// maxCounted is the number of candidates above which every ejected upstream is
// taken to be among them, because counting would take too long.
const maxCounted = 64

// grade says how willingly a candidate is taken.
type grade int

const (
	never    grade = iota // must not be taken
	last                  // taken when nothing better is left
	usable                // compared by cost
	deserved              // due for a trial call
)

// choice is the best candidate found so far, on one side of the zone's border.
type choice struct {
	index int
	grade grade
	cost  float64
	mean  float64 // cost by what is expected, without the draw
}

// take keeps the better of c and a new candidate.
func (c *choice) take(index int, g grade, cost, mean float64) {
	if g > c.grade || (g == c.grade && g != never && cost < c.cost) {
		*c = choice{index: index, grade: g, cost: cost, mean: mean}
	}
}

// pick is one choice under way.
type pick struct {
	candidates []Candidate
	avoid      []string
	options    Options
	eject      bool
	now        time.Time
	local      choice
	remote     choice
}

// Pick chooses one of the candidates, but none of those named in avoid. ok is
// false when no candidate may take the call.
func (p *Picker) Pick(candidates []Candidate, avoid []string, options Options, now time.Time) (index int, ok bool) {
	if len(candidates) == 0 {
		return -1, false
	}
	k := pick{candidates: candidates, avoid: avoid, options: options, now: now}
	k.eject = options.Eject && p.mayEject(candidates, options.EjectPercent)
	if !options.LoadAware {
		return p.roundRobin(&k)
	}
	p.sample(&k)
	if k.local.grade < usable && k.remote.grade < usable {
		p.scan(&k)
	}
	return k.better()
}

// sample compares a few candidates, or all when there are few.
func (p *Picker) sample(k *pick) {
	n, choices := len(k.candidates), p.config.Choices
	if n <= 2*choices {
		p.scan(k)
		return
	}
	locals, remotes := choices, choices
	if p.config.Near > choices {
		locals = 0
		p.scanNear(k)
	}
	for draws := drawsPerChoice * choices; draws > 0 && locals+remotes > 0; draws-- {
		i := int(p.config.Rand() % uint64(n))
		if k.candidates[i].Zone == p.config.SelfZone {
			if locals > 0 {
				p.consider(k, i)
				locals--
			}
		} else if remotes > 0 {
			p.consider(k, i)
			remotes--
		}
	}
}

// scanNear compares candidates of the own availability zone, in order from a
// random one.
func (p *Picker) scanNear(k *pick) {
	first, left := int(p.config.Rand()%uint64(len(k.candidates))), p.config.Near
	for i := range k.candidates {
		at := (first + i) % len(k.candidates)
		if k.candidates[at].Zone != p.config.SelfZone {
			continue
		}
		p.consider(k, at)
		if left--; left == 0 {
			return
		}
	}
}

// scan compares all candidates.
func (p *Picker) scan(k *pick) {
	first := int(p.config.Rand() % uint64(len(k.candidates)))
	for i := range k.candidates {
		p.consider(k, (first+i)%len(k.candidates))
	}
}

func (p *Picker) consider(k *pick, i int) {
	candidate := &k.candidates[i]
	u := p.known(candidate, k.now)
	g := p.grade(k, candidate.ID, u)
	if g == never {
		return
	}
	cost, mean := p.cost(u, float64(k.options.Work), k.now)
	if p.config.Near > p.config.Choices && k.now.Sub(u.measured) < freshReport {
		// Nothing is left to guess.
		cost = mean
	}
	way := u.wayCost(k.now)
	cost, mean = cost+way, mean+way
	if candidate.Zone == p.config.SelfZone {
		k.local.take(i, g, cost, mean)
		return
	}
	// Trials are left to the daemons of that zone, unless a call goes there
	// anyway.
	link := float64(p.config.LinkCost(candidate.Zone) + k.options.Extra)
	k.remote.take(i, min(g, usable), cost+link, mean+link)
}

// known returns what is known about a candidate, and starts afresh when it is
// a new incarnation. To a Picker that is itself new every upstream is, so none
// counts as new there.
func (p *Picker) known(c *Candidate, now time.Time) *upstream {
	u := p.upstream(c.ID)
	if p.first.IsZero() {
		p.first = now
	}
	if !u.seen {
		u.seen = true
		if now.Sub(p.first) >= p.config.Ramp {
			u.rampFrom = now
		}
	}
	if u.incarnation < c.Incarnation {
		if u.incarnation != 0 {
			*u = upstream{seen: true, rampFrom: now}
			p.untrack(c.ID)
		}
		u.incarnation = c.Incarnation
	}
	return u
}

// grade says how willingly a candidate is taken for this call.
func (p *Picker) grade(k *pick, id string, u *upstream) grade {
	for _, other := range k.avoid {
		if other == id {
			return never
		}
	}
	if u.closed(k.now) {
		return never
	}
	if k.eject && u.ejection.active {
		if k.options.NoTrial || k.now.Before(u.ejection.until) || len(u.started) > 0 {
			return last
		}
		return deserved
	}
	if k.options.SlowStart && p.held(u, k.now) {
		return last
	}
	return usable
}

// held draws whether a new or cold upstream sits this call out.
func (p *Picker) held(u *upstream, now time.Time) bool {
	share := 1.0
	if !u.rampFrom.IsZero() {
		share = max(rampFloor, float64(now.Sub(u.rampFrom))/float64(p.config.Ramp))
	}
	if u.load.State == Cold {
		share = rampFloor
	}
	return share < 1 && float64(p.config.Rand()>>11)/(1<<53) >= share
}

// better weighs the best candidate of the own availability zone against the
// best of the others.
func (k *pick) better() (index int, ok bool) {
	local, remote := k.local, k.remote
	switch {
	case local.grade == never:
		return remote.index, remote.grade != never
	case remote.grade > local.grade:
		return remote.index, true
	case remote.grade < local.grade || !k.options.SpillOver || local.mean <= remote.mean:
		return local.index, true
	}
	return remote.index, true
}

// roundRobin takes the next candidate that may be taken.
func (p *Picker) roundRobin(k *pick) (index int, ok bool) {
	fallback := -1
	n := len(k.candidates)
	for range n {
		p.next = (p.next + 1) % n
		i := p.next
		candidate := &k.candidates[i]
		switch p.grade(k, candidate.ID, p.known(candidate, k.now)) {
		case usable, deserved:
			return i, true
		case last:
			if fallback < 0 {
				fallback = i
			}
		}
	}
	return fallback, fallback >= 0
}

// mayEject reports whether no more of the candidates look bad than may be
// ejected.
func (p *Picker) mayEject(candidates []Candidate, percent int) bool {
	allowed := min(len(candidates)*percent/100, len(candidates)-1)
	if len(p.ejected) <= allowed || len(candidates) > maxCounted {
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
