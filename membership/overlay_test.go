package membership

import (
	"fmt"
	"runtime"
	"testing"
)

// largeFleet returns the records of n instances in 5 zones of 2 regions, with
// services of very different sizes.
func largeFleet(n int) []Record {
	list := make([]Record, n)
	for i := range list {
		zone := i % 5
		list[i] = Record{Incarnation: uint64(i + 1), State: Live, Instance: Instance{
			ID:               fmt.Sprintf("instance-%04d", i),
			Service:          fmt.Sprintf("service-%03d", min(i, 459)),
			AvailabilityZone: string(rune('a' + zone)),
			Region:           []string{"north", "north", "north", "south", "south"}[zone],
			Listen:           fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Peer:             fmt.Sprintf("10.0.%d.%d:81", i/250, i%250),
			Control:          fmt.Sprintf("10.0.%d.%d:82", i/250, i%250),
		}}
	}
	return list
}

func viewOf(all []Record, self int) *View {
	v := New(Config{Self: all[self].Instance, Incarnation: all[self].Incarnation, Started: epoch})
	for _, r := range all {
		v.Merge(r, epoch)
	}
	return v
}

// countReachable returns how many instances are reachable from one that is up,
// and how many are up.
func countReachable(links map[string][]string, up func(id string) bool) (got, all int) {
	seen := map[string]bool{}
	var queue []string
	for id := range links {
		if !up(id) {
			continue
		}
		all++
		if len(queue) == 0 {
			queue, seen[id] = append(queue, id), true
		}
	}
	for len(queue) > 0 {
		id := queue[0]
		queue = queue[1:]
		for _, next := range links[id] {
			if up(next) && !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), all
}

func TestNeighboursConnectTheFleet(t *testing.T) {
	all := largeFleet(2800)
	links := map[string][]string{}
	zone := map[string]string{}
	index := map[string]int{}
	degree := 0
	base := viewOf(all, 0)
	for i, r := range all {
		zone[r.ID], index[r.ID] = r.AvailabilityZone, i
		base.config.Self = r.Instance
		base.generation++
		for _, n := range base.Neighbours() {
			links[r.ID] = append(links[r.ID], n.ID)
			links[n.ID] = append(links[n.ID], r.ID)
		}
		degree = max(degree, len(base.Neighbours()))
	}
	tests := map[string]func(id string) bool{
		"all up":               func(string) bool { return true },
		"one zone down":        func(id string) bool { return zone[id] != "b" },
		"one rack down":        func(id string) bool { return index[id]/40 != 7 },
		"zone and rack down":   func(id string) bool { return zone[id] != "d" && index[id]/40 != 7 },
		"one in seven down":    func(id string) bool { return index[id]%7 != 3 },
		"only region south up": func(id string) bool { return zone[id] >= "d" },
	}
	for name, up := range tests {
		t.Run(name, func(t *testing.T) {
			got, want := countReachable(links, up)
			t.Logf("reached %d of %d, degree %d", got, want, degree)
			if got != want || degree != neighboursTotal {
				t.Errorf("reached %d of %d instances with degree %d, want all and degree 8", got, want, degree)
			}
		})
	}
}

func TestTwoReadersPerZone(t *testing.T) {
	all := largeFleet(300)
	base := viewOf(all, 0)
	readers := map[string]int{}
	for _, r := range all {
		base.config.Self = r.Instance
		base.generation++
		if base.IsReader(2) {
			readers[r.AvailabilityZone]++
		}
	}
	if len(readers) != 5 || base.ZoneCount() != 5 || base.LiveCount() != 300 {
		t.Fatalf("got readers %v, %d zones, %d live; want readers in 5 zones, 5, 300", readers, base.ZoneCount(), base.LiveCount())
	}
	for zone, n := range readers {
		if n != 2 {
			t.Errorf("zone %s: got %d readers, want 2", zone, n)
		}
	}
}

func TestSiblingsAreBounded(t *testing.T) {
	v := viewOf(largeFleet(2800), 2000)
	if n := len(v.Serving("service-459")); n < 1000 {
		t.Fatalf("got %d instances of the large service, want at least 1000", n)
	}
	if got := len(v.Siblings(12)); got != 12 {
		t.Errorf("got %d siblings, want 12", got)
	}
}

func TestUnchangedViewAllocatesNothing(t *testing.T) {
	v := viewOf(largeFleet(500), 0)
	allocations := testing.AllocsPerRun(100, func() {
		v.Tick(epoch)
		v.Serving("service-001")
		v.Neighbours()
		v.IsReader(2)
		v.NoteReceived("instance-0007", 8, epoch)
		v.Stale(epoch)
	})
	if allocations != 0 {
		t.Errorf("got %v allocations, want 0", allocations)
	}
}

func BenchmarkServing(b *testing.B) {
	v := viewOf(largeFleet(2800), 0)
	for b.Loop() {
		v.Serving("service-001")
	}
}

func BenchmarkChangeThenNeighbours(b *testing.B) {
	all := largeFleet(2800)
	v := viewOf(all, 0)
	for b.Loop() {
		r := all[9]
		r.Incarnation = v.members[r.ID].Incarnation + 1
		v.Merge(r, epoch)
		v.Neighbours()
	}
}

func BenchmarkMergeList(b *testing.B) {
	v := viewOf(largeFleet(2800), 0)
	var entries []ListEntry
	for _, r := range largeFleet(2800) {
		entries = append(entries, ListEntry{r.Instance, Live})
	}
	for b.Loop() {
		v.MergeList(entries, 1, epoch)
	}
}

// BenchmarkHeap reports the heap size of one view of 2,800 instances, the
// planned fleet size.
func BenchmarkHeap(b *testing.B) {
	all := largeFleet(2800)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		v := viewOf(all, 0)
		v.Neighbours()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
		runtime.KeepAlive(v)
	}
}
