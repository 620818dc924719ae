package node

import (
	"slices"
	"time"
)

// evacuation is the set of availability zones whose instances get no requests: those of the
// zones document and those of the store.
type evacuation struct {
	// stored are the zones of the store and revision is its revision, both zero without one.
	stored   []string
	revision uint64
	// zones is the set in force, sorted. generation counts its changes.
	zones      []string
	generation uint64
}

// includes reports whether a zone is evacuated.
func (e *evacuation) includes(zone string) bool {
	_, found := slices.BinarySearch(e.zones, zone)
	return found
}

// zonesEvacuated applies the complete list of the store.
func (n *Node) zonesEvacuated(m ZonesEvacuated, now time.Time) []Command {
	n.evacuation.stored, n.evacuation.revision = m.Zones, m.Revision
	return n.applyEvacuations(now)
}

// applyEvacuations puts in force the zones that the documents and the store evacuate now.
func (n *Node) applyEvacuations(now time.Time) []Command {
	zones := slices.Concat(n.config.EvacuatedZones(), n.evacuation.stored)
	slices.Sort(zones)
	zones = slices.Compact(zones)
	before := n.evacuation.zones
	if slices.Equal(before, zones) {
		return nil
	}
	n.evacuation.zones = zones
	n.evacuation.generation++
	var out []Command
	for _, zone := range zones {
		if !slices.Contains(before, zone) {
			out = append(out, n.evacuationBegins(zone, now)...)
		}
	}
	for _, zone := range before {
		if !slices.Contains(zones, zone) {
			out = append(out, n.evacuationEnds(zone, now)...)
		}
	}
	return out
}

func (n *Node) evacuationBegins(zone string, now time.Time) []Command {
	load := n.gate.Load(now)
	out := []Command{n.evacuationEntry("An availability zone is evacuated.", zone, true,
		"instances", len(n.instancesIn(zone)), "running", load.InFlight, "queued", load.Queued)}
	if zone == n.cfg.Self.AvailabilityZone {
		out = append(out, n.applyGateActions(n.gate.Evacuate(now), now)...)
	}
	return out
}

// evacuationEnds lets the instances of a zone return like new ones.
func (n *Node) evacuationEnds(zone string, now time.Time) []Command {
	ids := n.instancesIn(zone)
	for _, id := range ids {
		record, _ := n.view.Lookup(id)
		if service, ok := n.config.Service(record.Service); ok {
			n.picker(service).Return(id, now)
		}
	}
	if zone == n.cfg.Self.AvailabilityZone {
		n.gate.EndEvacuation()
	}
	return []Command{n.evacuationEntry("The evacuation of an availability zone has ended.", zone, false, "instances", len(ids))}
}

// evacuationEntry returns a log entry about a zone. own is true for the zone of this daemon.
func (n *Node) evacuationEntry(text, zone string, warn bool, fields ...any) LogEntry {
	own := zone == n.cfg.Self.AvailabilityZone
	fields = append([]any{
		"availabilityZone", zone, "own", own,
		"evacuated", len(n.evacuation.zones), "storeRevision", n.evacuation.revision,
	}, fields...)
	return LogEntry{Part: "evacuation", Text: text, Warn: warn, Fields: fields}
}

// instancesIn returns the IDs of the known instances in a zone.
func (n *Node) instancesIn(zone string) []string {
	var ids []string
	for _, r := range n.view.All() {
		if r.AvailabilityZone == zone {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

// Evacuated reports whether the local upstream must get no new requests because its zone is
// evacuated.
func (n *Node) Evacuated() bool { return n.evacuation.includes(n.cfg.Self.AvailabilityZone) }

// EvacuatedZones returns the evacuated availability zones, sorted. The caller must not modify
// the slice.
func (n *Node) EvacuatedZones() []string { return n.evacuation.zones }

// avoidZone excludes the zone of the instance refusedBy from further attempts of a call. The
// daemon there knows of an evacuation that this daemon does not know of yet.
func (n *Node) avoidZone(c *callState, refusedBy string) {
	record, ok := n.view.Lookup(refusedBy)
	if !ok {
		return
	}
	for _, candidate := range n.candidates(c.service, c.selector, c.route).list {
		if candidate.Zone == record.AvailabilityZone && !slices.Contains(c.tried, candidate.ID) {
			c.tried = append(c.tried, candidate.ID)
		}
	}
}
