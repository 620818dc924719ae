package node

import (
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/retry"
)

// candidateKey identifies a cached candidate list.
type candidateKey struct {
	service  string
	selector string
	// regions is the key of the regions that the route allows.
	regions string
}

// candidateSet is the list of upstreams that one selector allows, at one
// generation of the membership and of the evacuations and one summary of the documents.
type candidateSet struct {
	generation  uint64
	evacuations uint64
	summary     uint64
	list        []balance.Candidate
	// evacuated is true if an evacuation excludes some upstreams, and wrongRegion if the route
	// does not allow the regions of some.
	evacuated, wrongRegion bool
}

// candidates returns the live upstreams of a service that a selector allows, that are in no
// evacuated zone, and in a region that the route, if there is one, allows. The list is cached
// until a record, a document or an evacuation changes.
func (n *Node) candidates(service *config.Service, selector *config.Selector, route *config.Route) *candidateSet {
	key := candidateKey{service.Name(), selector.Name(), regionsKey(route)}
	set := n.sets[key]
	generation, summary := n.view.Generation(), n.config.Summary()
	evacuations := n.evacuation.generation
	if set != nil && set.generation == generation && set.summary == summary && set.evacuations == evacuations {
		return set
	}
	set = &candidateSet{generation: generation, evacuations: evacuations, summary: summary}
	for _, r := range n.view.Serving(service.Name()) {
		if !service.Serves(selector, r.Name(), r.AvailabilityZone) {
			continue
		}
		if !allowsRegion(route, r.Region) {
			set.wrongRegion = true
			continue
		}
		if n.evacuation.includes(r.AvailabilityZone) {
			set.evacuated = true
			continue
		}
		set.list = append(set.list, balance.Candidate{
			ID: r.ID, Zone: r.AvailabilityZone, Region: r.Region, Incarnation: r.Incarnation,
		})
	}
	n.sets[key] = set
	return set
}

// emptyReason returns why a set without candidates is empty.
func (s *candidateSet) emptyReason() call.Reason {
	switch {
	case s.evacuated:
		return call.Evacuated
	case s.wrongRegion:
		return call.WrongRegion
	}
	return call.NoUpstream
}

// picker returns the picker for a service.
func (n *Node) picker(service *config.Service) *balance.Picker {
	p := n.pickers[service.Name()]
	if p == nil {
		p = balance.New(balance.Config{
			SelfZone:        n.view.Self().AvailabilityZone,
			SelfRegion:      n.view.Self().Region,
			LinkCost:        n.links.cost,
			Rand:            n.cfg.Rand,
			SameZoneChoices: n.sameZoneChoices(),
		})
		n.pickers[service.Name()] = p
	}
	cold := n.coldSettings(service.Name())
	p.SetColdLimit(balance.ColdLimit{PerSecond: cold.PerSecond(), Duration: cold.Duration()})
	return p
}

// directSameZoneChoices is the number of upstreams of the same zone that are
// compared where daemons report their load to each other.
const directSameZoneChoices = 16

func (n *Node) sameZoneChoices() int {
	if n.direct() {
		return directSameZoneChoices
	}
	return 0
}

// policy returns the retry policy of a service with the settings in force.
func (n *Node) policy(service *config.Service, now time.Time) *retry.Policy {
	settings := retry.Config{
		Retry:        n.config.Allowed(config.Retry),
		RetryPercent: service.Budgets().RetryPercent(),
		Hedge:        n.config.Allowed(config.Hedge),
		HedgePercent: service.Budgets().HedgePercent(),
	}
	n.applySharedBudget(&settings)
	p := n.policies[service.Name()]
	if p == nil {
		p = retry.New(settings)
		n.policies[service.Name()] = p
		return p
	}
	p.Set(settings, now)
	return p
}

const (
	// sharedBudgetUse is the share of the shared budget that is spent. The rest
	// covers requests that are not recognized as repeats, and daemons that join
	// or leave.
	sharedBudgetUse = 0.5
	// burstShare is the share of a window's extra sends that may be spent at
	// once.
	burstShare = 0.25
)

// applySharedBudget gives this daemon its part of the shared budget. Each
// daemon sees only its own requests, so the share applies to those and the
// extra sends are divided among the daemons.
func (n *Node) applySharedBudget(c *retry.Config) {
	shared := n.cfg.Retry
	if shared.Window == 0 {
		return
	}
	daemons := float64(max(n.view.LiveCount(), 1))
	c.RetryPercent = min(c.RetryPercent, 100*sharedBudgetUse*shared.Share)
	c.MinRetriesPerSecond = sharedBudgetUse * shared.Extra / shared.Window.Seconds() / daemons
	c.MaxSavedRetries = max(burstShare*shared.Extra/daemons, 1)
}

// pickOptions returns the options for choosing an upstream for a call, from the
// switches in force and the call itself.
func (n *Node) pickOptions(c *callState, now time.Time) balance.Options {
	return balance.Options{
		LoadAware:     n.config.Allowed(config.LoadAware),
		SpillOver:     n.config.Allowed(config.SpillOver),
		Eject:         n.config.Allowed(config.Eject) && !n.uncertain,
		SlowStart:     n.config.Allowed(config.SlowStart),
		EjectPercent:  int(c.service.Budgets().EjectPercent()),
		ExpectedWork:  n.expectedWork(c.request, now),
		ExtraLinkCost: time.Duration(c.request.BodyBytes) * costPerKilobyte / 1024,
		NoTrial:       !c.request.Idempotent(),
		TimeToTarget:  timeToTarget(c.request, now),
	}
}

// timeToTarget returns the time until a request misses its target, at least 1 ns, or 0 if
// it has no target.
func timeToTarget(r call.Request, now time.Time) time.Duration {
	if r.Target.IsZero() {
		return 0
	}
	return max(r.Target.Sub(now), 1)
}
