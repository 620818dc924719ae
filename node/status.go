package node

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/memory"
)

// Status is the daemon's state as shown to operators.
type Status struct {
	Instance    string           `json:"instance"`
	Service     string           `json:"service"`
	Incarnation uint64           `json:"incarnation"`
	Ready       bool             `json:"ready"`
	Documents   []DocumentStatus `json:"documents"`
	// Configuration is compared between daemons by operators.
	Configuration config.Status `json:"configuration"`
	// Live and Known count the instances in the daemon's membership view.
	Live  int `json:"live"`
	Known int `json:"known"`
	// EvacuatedZones lists the evacuated availability zones; Evacuated is true if this one is
	// among them, so that the upstream gets no new requests.
	EvacuatedZones []string `json:"evacuatedZones"`
	Evacuated      bool     `json:"evacuated"`
	// Regions describes where requests of routes with regions may run.
	Regions RegionStatus `json:"regions"`
	// Leaving is true once new work is refused.
	Leaving  bool `json:"leaving"`
	InFlight int  `json:"inFlight"`
	Queued   int  `json:"queued"`
	// Cold describes the limit of a cold upstream; nil without one.
	Cold *admit.ColdStatus `json:"cold,omitempty"`
	// Shedding is what the gate of the local upstream has refused.
	Shedding Shedding `json:"shedding"`
	// HeldBack counts the upstreams that were leaving or gone when the store returned from
	// an older copy, which lists them as live.
	HeldBack int `json:"heldBack,omitempty"`
	// Store describes the copy of the users' store; nil without that store.
	Store *StoreStatus `json:"store,omitempty"`
	// Memory describes what is held for callers and other daemons; the daemon sets it.
	Memory *memory.Report `json:"memory,omitempty"`
}

// StoreStatus describes a daemon's copy of the users' store.
type StoreStatus struct {
	// Era rises each time the store returns from an older copy; 0 if it names none.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// AgeMs is the time since the copy was last confirmed to be current, in
	// milliseconds.
	AgeMs int64 `json:"ageMs"`
	// Source is "store", or the address of the daemon that keeps the copy current.
	Source string `json:"source"`
}

// DocumentStatus describes one document in force.
type DocumentStatus struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// Ready reports whether the daemon holds the switches and the document of its
// own service, has confirmed that they are the fleet's, knows which requests its
// siblings have banned, and is not stopping. A daemon that reads the store itself
// needs the routes instead of the documents.
func (n *Node) Ready() bool {
	return n.configured() && !n.awaitsSuspects() && !n.stopping
}

// configured reports whether the daemon holds the documents that it needs to serve.
func (n *Node) configured() bool {
	if n.direct() {
		return n.config.Routes() != nil
	}
	_, service := n.config.Service(n.cfg.Self.Service)
	_, switches := n.config.Document(config.KeySwitches)
	return service && switches && n.config.Confirmed()
}

// Status returns the daemon's state for operators.
func (n *Node) Status(now time.Time) Status {
	load := n.gate.Load(now)
	s := Status{
		Instance: n.cfg.Self.ID, Service: n.cfg.Self.Service, Incarnation: n.cfg.Incarnation, Ready: n.Ready(),
		Documents:     n.Documents(),
		Configuration: n.config.Status(),
		Live:          n.view.LiveCount(), Known: n.view.Len(),
		EvacuatedZones: slices.Clone(n.EvacuatedZones()), Evacuated: n.Evacuated(),
		Regions: n.Regions(),
		Leaving: n.leaving(), InFlight: load.InFlight, Queued: load.Queued,
		Cold: n.ColdStatus(now), Shedding: n.Shedding(now),
		HeldBack: n.eraFilter.HeldBack(),
	}
	return s
}

// Documents returns the documents in force, sorted by key.
func (n *Node) Documents() []DocumentStatus {
	held := n.config.Documents()
	list := make([]DocumentStatus, 0, len(held))
	for _, d := range held {
		list = append(list, DocumentStatus{Key: d.Key(), Revision: d.Revision(), Digest: d.Digest()})
	}
	return list
}

// ConfigDocuments returns the documents in force with their content, sorted by key.
func (n *Node) ConfigDocuments() []config.Document { return n.config.Documents() }
