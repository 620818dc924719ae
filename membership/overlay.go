package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The number of neighbours that a daemon keeps, by where they are. A random
// graph of this degree stays connected with a zone gone (Bollobás, "Random
// Graphs", 2001).
const (
	neighboursInZone   = 4
	neighboursInRegion = 2
	neighboursElse     = 2
	neighboursTotal    = neighboursInZone + neighboursInRegion + neighboursElse
)

// overlay holds what is worked out from all live instances, at a generation.
type overlay struct {
	generation uint64
	neighbours []Record
	ids        []string
	// present holds the live and the leaving, live how many are live.
	present []*member
	live    int
	zones   int
	// rank is this daemon's place among the live ones of its zone.
	rank int
}

// place names an availability zone; two regions may use one zone name.
type place struct {
	region, zone string
}

func (r Record) place() place { return place{r.Region, r.AvailabilityZone} }

// candidate is a live instance with its weight as seen by this daemon.
type candidate struct {
	*member
	weight uint64
}

// mix joins two hashes by the finalizer of SplitMix64 (Steele, Lea and Flood,
// 2014).
func mix(a, b uint64) uint64 {
	x := a + b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Neighbours returns the instances that this daemon keeps in touch with,
// chosen by rendezvous hashing (Thaler and Ravishankar, 1998) of the pair: four
// in its zone, two in other zones of its region and two in other regions. Where
// there are fewer of one kind, others take their places, leaving ones last: they
// may hold what no fresh daemon has. The slice is shared.
func (v *View) Neighbours() []Record { return v.refresh().neighbours }

// NeighbourIDs returns the IDs of Neighbours. The slice is shared.
func (v *View) NeighbourIDs() []string { return v.refresh().ids }

// LiveCount returns the number of live instances, this one included.
func (v *View) LiveCount() int { return v.refresh().live }

// PeerCount returns the number of other instances that are live or leaving.
func (v *View) PeerCount() int {
	present := len(v.refresh().present)
	if v.Self().State == Gone {
		return present
	}
	return present - 1
}

// Other returns a live or leaving instance other than this one, chosen by a
// random number, or false if there is none.
func (v *View) Other(random uint64) (Record, bool) {
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

// Reader reports whether this daemon is among the perZone instances of its
// zone that read the platform, by rendezvous hashing on the live instances. In a
// small fleet in which every instance is leaving, all read.
func (v *View) Reader(perZone int) bool {
	if v.Self().State != Live {
		return v.LiveCount() == 0 && v.PeerCount() < maxLeavingReaders
	}
	return v.refresh().rank < perZone
}

// maxLeavingReaders bounds the daemons that read because nobody is live.
const maxLeavingReaders = 64

// Siblings returns at most k other live instances of this daemon's service,
// by rendezvous hashing, so that large services stay cheap.
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
	v.overlay = v.workOut()
	return &v.overlay
}

func (v *View) workOut() overlay {
	self := v.self()
	zone := mix(xxhash.Sum64String(self.Region), xxhash.Sum64String(self.AvailabilityZone))
	own := mix(zone, self.hash)
	o := overlay{generation: v.generation, present: v.overlay.present[:0]}
	var inZone, inRegion, elsewhere, leaving candidates
	for _, m := range v.all.members {
		if m.State == Gone {
			continue
		}
		o.present = append(o.present, m)
		if m.State == Live {
			o.live++
		}
		if m == self {
			continue
		}
		c := candidate{m, mix(self.hash, m.hash)}
		switch {
		case m.State == Leaving:
			leaving.add(c, neighboursTotal)
		case m.place() == self.place():
			inZone.add(c, neighboursTotal)
			if mix(zone, m.hash) > own {
				o.rank++
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
		o.ids = append(o.ids, r.ID)
	}
	return o
}

// countZones returns the number of zones; a slice will do, as they are few.
func countZones(present []*member) int {
	var zones []place
	for _, m := range present {
		if m.State == Live && !slices.Contains(zones, m.place()) {
			zones = append(zones, m.place())
		}
	}
	return len(zones)
}

// chooseNeighbours takes the heaviest of each kind and fills up from the rest.
func chooseNeighbours(inZone, inRegion, elsewhere, leaving candidates) candidates {
	zone := min(len(inZone), neighboursInZone)
	region := min(len(inRegion), neighboursInRegion)
	other := min(len(elsewhere), neighboursElse)
	chosen := slices.Concat(inZone[:zone], inRegion[:region], elsewhere[:other])
	rest := slices.Concat(inZone[zone:], inRegion[region:], elsewhere[other:], leaving)
	return append(chosen, rest[:min(len(rest), neighboursTotal-len(chosen))]...)
}

// candidates are kept in falling order of weight.
type candidates []candidate

func after(a, b candidate) bool {
	return a.weight < b.weight || a.weight == b.weight && a.ID > b.ID
}

// add keeps c if it is among the k heaviest.
func (list *candidates) add(c candidate, k int) {
	kept := *list
	if len(kept) >= k && (k == 0 || after(c, kept[k-1])) {
		return
	}
	kept = append(kept, c)
	for i := len(kept) - 1; i > 0 && after(kept[i-1], kept[i]); i-- {
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
