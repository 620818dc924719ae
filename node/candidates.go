package node

import (
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/retry"
)

// candidateKey names one choice that is made again and again.
type candidateKey struct {
	service  string
	selector string
}

// candidateSet is the upstreams that one selector allows, as of one state of
// the membership and of the documents.
type candidateSet struct {
	generation uint64
	summary    uint64
	list       []balance.Candidate
}

// candidates returns the live upstreams of a service that a selector allows.
// The list is kept until a record or a document changes.
func (n *Node) candidates(service *config.Service, selector *config.Selector) *candidateSet {
	key := candidateKey{service.Name(), selector.Name()}
	set := n.sets[key]
	generation, summary := n.view.Generation(), n.config.Summary()
	if set != nil && set.generation == generation && set.summary == summary {
		return set
	}
	set = &candidateSet{generation: generation, summary: summary}
	for _, r := range n.view.Serving(service.Name()) {
		if service.Serves(selector, r.Name(), r.AvailabilityZone) {
			set.list = append(set.list, balance.Candidate{
				ID: r.ID, Zone: r.AvailabilityZone, Incarnation: r.Incarnation,
			})
		}
	}
	n.sets[key] = set
	return set
}

// picker returns the service's picker.
func (n *Node) picker(service *config.Service) *balance.Picker {
	p := n.pickers[service.Name()]
	if p == nil {
		p = balance.New(balance.Config{
			SelfZone: n.view.Self().AvailabilityZone,
			LinkCost: n.links.cost,
			Rand:     n.cfg.Rand,
			Near:     n.nearChoices(),
		})
		n.pickers[service.Name()] = p
	}
	return p
}

// nearCompared is the number of upstreams of the own zone that are compared
// where their daemons tell each other of their load.
const nearCompared = 16

func (n *Node) nearChoices() int {
	if n.direct() {
		return nearCompared
	}
	return 0
}

// policy returns the service's retry policy with the settings in force.
func (n *Node) policy(service *config.Service, now time.Time) *retry.Policy {
	settings := retry.Config{
		Retry:        n.config.Allowed(config.Retry),
		RetryPercent: service.Budgets().RetryPercent(),
		Hedge:        n.config.Allowed(config.Hedge),
		HedgePercent: service.Budgets().HedgePercent(),
	}
	n.shareBudget(&settings)
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
	// budgetUse is the part of the shared budget that is spent. The rest covers
	// requests in which a repeated call is hidden, and daemons that come and go.
	budgetUse = 0.5
	// budgetSaved is the part of the extra sends of a window that may be spent
	// at once.
	budgetSaved = 0.25
)

// shareBudget gives this daemon its part of what all may spend together. Each
// sees only its own requests, so the share is of those and the extra is divided.
func (n *Node) shareBudget(c *retry.Config) {
	shared := n.cfg.Retry
	if shared.Window == 0 {
		return
	}
	daemons := float64(max(n.view.LiveCount(), 1))
	c.RetryPercent = min(c.RetryPercent, 100*budgetUse*shared.Share)
	c.Floor = budgetUse * shared.Extra / shared.Window.Seconds() / daemons
	c.Saved = max(budgetSaved*shared.Extra/daemons, 1)
}

// pickOptions returns the switches in force that bind the choice for a call.
func (n *Node) pickOptions(c *callState, now time.Time) balance.Options {
	return balance.Options{
		LoadAware:    n.config.Allowed(config.LoadAware),
		SpillOver:    n.config.Allowed(config.SpillOver),
		Eject:        n.config.Allowed(config.Eject) && !n.doubt,
		SlowStart:    n.config.Allowed(config.SlowStart),
		EjectPercent: int(c.service.Budgets().EjectPercent()),
		Work:         n.workOf(c.request, now),
		Extra:        time.Duration(c.request.BodyBytes) * perKilobyte / 1024,
		NoTrial:      !c.request.Idempotent(),
	}
}
