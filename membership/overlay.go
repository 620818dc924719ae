package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Number of neighbours of a daemon, by location. A random graph of this degree
// stays connected when a zone is gone (Bollobás, "Random Graphs", 2001).
const (
	neighboursInZone    = 4
	neighboursInRegion  = 2
	neighboursElsewhere = 2
	neighboursTotal     = neighboursInZone + neighboursInRegion + neighboursElsewhere
)

// overlay caches what is derived from all members at one generation.
type overlay struct {
	generation   uint64
	neighbours   []Record
	neighbourIDs []string
	// present holds the live and leaving members; live counts the live ones.
	present []*member
	live    int
	zones   int
	// zoneRank is this daemon's rank by weight among the live instances of its
	// zone, of which there are zoneLive; zoneHeaviest are the first of them.
	zoneRank     int
	zoneLive     int
	zoneHeaviest candidates
	// zonePeers are the IDs of the other live and leaving instances of the zone.
	zonePeers []string
}

// zoneID identifies an availability zone; two regions may use the same zone
// name.
type zoneID struct {
	region, zone string
}

func (r Record) zoneID() zoneID { return zoneID{r.Region, r.AvailabilityZone} }

// candidate is an instance with its rendezvous weight for this daemon.
type candidate struct {
	*member
	weight uint64
}

// mix combines two hashes with the finalizer of SplitMix64 (Steele, Lea and
// Flood, 2014).
func mix(a, b uint64) uint64 {
	x := a + b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Neighbours returns the instances that this daemon exchanges messages with,
// chosen by rendezvous hashing (Thaler and Ravishankar, 1998) of the pair: four
// in its zone, two in other zones of its region and two in other regions. If
// there are fewer of one kind, other instances fill up, leaving ones last: they
// may hold data that no newly started daemon has. The slice is shared.
func (v *View) Neighbours() []Record { return v.refresh().neighbours }

// NeighbourIDs returns the IDs of Neighbours. The slice is shared.
func (v *View) NeighbourIDs() []string { return v.refresh().neighbourIDs }

// LiveCount returns the number of live instances, including this one.
func (v *View) LiveCount() int { return v.refresh().live }

// PeerCount returns the number of other instances that are live or leaving.
func (v *View) PeerCount() int {
	present := len(v.refresh().present)
	if v.Self().State == Gone {
		return present
	}
	return present - 1
}

// RandomPeer returns a live or leaving instance other than this one, selected by a
// random number, or false if there is none.
func (v *View) RandomPeer(random uint64) (Record, bool) {
	present := v.refresh().present
	for i := range min(len(present), 2) {
		m := present[(random+uint64(i))%uint64(len(present))]
		if m.ID != v.config.Self.ID {
			return m.Record, true
		}
	}
	return Record{}, false
}

// ZoneCount returns the number of availability zones with live instances.
func (v *View) ZoneCount() int { return v.refresh().zones }

// IsReader reports whether this daemon is among the perZone instances of its
// zone that read the platform, chosen by rendezvous hashing of the live
// instances. In a small fleet without a live instance, every daemon reads.
func (v *View) IsReader(perZone int) bool {
	if v.Self().State != Live {
		return v.LiveCount() == 0 && v.PeerCount() < maxLeavingReaders
	}
	return v.refresh().zoneRank < perZone
}

// Readers returns the instances of this daemon's zone that read the platform for it,
// as IsReader chooses them, and the number of live instances in the zone. At most
// maxReaders are returned.
func (v *View) Readers(perZone int) (readers []Record, zoneLive int) {
	o := v.refresh()
	return o.zoneHeaviest[:min(len(o.zoneHeaviest), perZone)].records(), o.zoneLive
}

// ZonePeers returns the IDs of the other live and leaving instances of this daemon's
// availability zone, sorted. The slice is shared.
func (v *View) ZonePeers() []string { return v.refresh().zonePeers }

// maxReaders bounds the instances that Readers returns.
const maxReaders = 4

// maxLeavingReaders bounds the daemons that read because no instance is live.
const maxLeavingReaders = 64

// Siblings returns at most k other live instances of this daemon's service,
// chosen by rendezvous hashing. The bound limits the cost in large services.
func (v *View) Siblings(k int) []Record {
	self := v.self()
	heaviest := make(candidates, 0, k+1)
	for _, m := range v.groups[self.Service].members {
		if m.State == Live && m != self {
			heaviest.add(candidate{m, mix(self.hash, m.hash)}, k)
		}
	}
	return heaviest.records()
}

func (v *View) refresh() *overlay {
	if v.overlay.generation == v.generation {
		return &v.overlay
	}
	v.overlay = v.computeOverlay()
	return &v.overlay
}

func (v *View) computeOverlay() overlay {
	self := v.self()
	zoneHash := mix(xxhash.Sum64String(self.Region), xxhash.Sum64String(self.AvailabilityZone))
	selfWeight := mix(zoneHash, self.hash)
	o := overlay{generation: v.generation, present: v.overlay.present[:0]}
	var inZone, inRegion, elsewhere, leaving candidates
	for _, m := range v.all.members {
		if m.State == Gone {
			continue
		}
		o.present = append(o.present, m)
		if m.State == Live {
			o.live++
			if m.zoneID() == self.zoneID() {
				o.zoneLive++
				o.zoneHeaviest.add(candidate{m, mix(zoneHash, m.hash)}, maxReaders)
			}
		}
		if m == self {
			continue
		}
		if m.AvailabilityZone == self.AvailabilityZone {
			o.zonePeers = append(o.zonePeers, m.ID)
		}
		c := candidate{m, mix(self.hash, m.hash)}
		switch {
		case m.State == Leaving:
			leaving.add(c, neighboursTotal)
		case m.zoneID() == self.zoneID():
			inZone.add(c, neighboursTotal)
			if mix(zoneHash, m.hash) > selfWeight {
				o.zoneRank++
			}
		case m.Region == self.Region:
			inRegion.add(c, neighboursTotal)
		default:
			elsewhere.add(c, neighboursTotal)
		}
	}
	o.zones = countZones(o.present)
	o.neighbours = chooseNeighbours(inZone, inRegion, elsewhere, leaving).records()
	for _, r := range o.neighbours {
		o.neighbourIDs = append(o.neighbourIDs, r.ID)
	}
	return o
}

// countZones returns the number of zones with a live instance. A slice is
// sufficient because there are few zones.
func countZones(present []*member) int {
	var zones []zoneID
	for _, m := range present {
		if m.State == Live && !slices.Contains(zones, m.zoneID()) {
			zones = append(zones, m.zoneID())
		}
	}
	return len(zones)
}

// chooseNeighbours takes the heaviest candidates of each kind and fills up from
// the rest.
func chooseNeighbours(inZone, inRegion, elsewhere, leaving candidates) candidates {
	zoneCount := min(len(inZone), neighboursInZone)
	regionCount := min(len(inRegion), neighboursInRegion)
	elsewhereCount := min(len(elsewhere), neighboursElsewhere)
	chosen := slices.Concat(inZone[:zoneCount], inRegion[:regionCount], elsewhere[:elsewhereCount])
	rest := slices.Concat(inZone[zoneCount:], inRegion[regionCount:], elsewhere[elsewhereCount:], leaving)
	return append(chosen, rest[:min(len(rest), neighboursTotal-len(chosen))]...)
}

// candidates are sorted by descending weight.
type candidates []candidate

func ranksAfter(a, b candidate) bool {
	return a.weight < b.weight || a.weight == b.weight && a.ID > b.ID
}

// add inserts c if it is among the k heaviest.
func (list *candidates) add(c candidate, k int) {
	kept := *list
	if len(kept) >= k && (k == 0 || ranksAfter(c, kept[k-1])) {
		return
	}
	kept = append(kept, c)
	for i := len(kept) - 1; i > 0 && ranksAfter(kept[i-1], kept[i]); i-- {
		kept[i-1], kept[i] = kept[i], kept[i-1]
	}
	*list = kept[:min(len(kept), k)]
}

func (list candidates) records() []Record {
	records := make([]Record, len(list))
	for i, c := range list {
		records[i] = c.Record
	}
	return records
}
