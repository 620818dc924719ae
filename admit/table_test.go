package admit

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

var (
	tableFull  = flag.Bool("table", false, "print the whole table")
	tableSeeds = flag.Int("seeds", 3, "number of seeds for each row")
)

// simPolicy is a discipline to compare. Without nested, the gates do not know which calls
// are made by runs.
type simPolicy struct {
	change func(d *discipline)
	nested bool
}

func noClass(queuedCall) int                               { return 0 }
func noShedKey(call.Request, time.Duration) float64        { return 0 }
func simWeight(req call.Request) float64                   { return float64(int(4) >> req.Priority.Rank()) }
func costOfDelay(req call.Request) float64                 { return simWeight(req) / float64(req.ExpectedWork) }
func byCostOfDelay(a, b call.Request) int                  { return cmp.Compare(costOfDelay(b), costOfDelay(a)) }
func workByWeight(r call.Request, w time.Duration) float64 { return float64(w) / simWeight(r) }

var simPolicies = map[string]simPolicy{
	"1 strict rank":                 {func(d *discipline) { d.shedKey, d.floorShare = noShedKey, 0 }, false},
	"2 earliest target":             {func(d *discipline) { d.class, d.shedKey, d.floorShare = noClass, noShedKey, 0 }, false},
	"3 cost of delay by work":       {func(d *discipline) { d.class, d.within, d.shedKey, d.floorShare = noClass, byCostOfDelay, noShedKey, 0 }, false},
	"4 feasible set":                {func(d *discipline) { d.class, d.floorShare = noClass, 0 }, false},
	"5 weighted feasible set":       {func(d *discipline) { d.class, d.shedKey, d.floorShare = noClass, workByWeight, 0 }, false},
	"6 equal shares":                {func(d *discipline) { d.floorShare = 1 }, false},
	"7 feasible set within ranks":   {func(d *discipline) { d.floorShare = 0 }, false},
	"8 the same, nested first":      {func(d *discipline) { d.floorShare = 0 }, true},
	"9 the same, with floor: built": {func(*discipline) {}, true},
}

// add adds the figures of another run.
func (f *simFigures) add(o simFigures) {
	f.offered += o.offered
	f.inTime += o.inTime
	f.late += o.late
	f.refused += o.refused
	f.failed += o.failed
	f.untilRefusal += o.untilRefusal
}

// String returns the shares in time, late, refused and failed in percent, and the mean
// time to refusal in milliseconds.
func (f simFigures) String() string {
	percent := func(n int) float64 { return 100 * float64(n) / float64(max(f.offered, 1)) }
	return fmt.Sprintf("%.0f/%.0f/%.0f/%.0f %d", percent(f.inTime), percent(f.late), percent(f.refused), percent(f.failed),
		f.untilRefusal.Milliseconds()/int64(max(f.refused, 1)))
}

// simulateSeeds returns the sum of the runs with several seeds.
func simulateSeeds(mix simMix, load float64, seeds int, policy simPolicy) []simFigures {
	sum := make([]simFigures, len(mix.kinds))
	for seed := range seeds {
		for i, f := range simulate(mix, load, 30*time.Second, uint64(seed), policy).figures {
			sum[i].add(f)
		}
	}
	return sum
}

// TestTable compares the disciplines of docs/design/shedding.md. With -table it prints the
// whole table; without, it checks that nested calls that go first, and plans, serve more of
// the middle rank in time than strict rank alone.
func TestTable(t *testing.T) {
	if !*tableFull {
		strict := simulateSeeds(simMixes["first"], 0.8, 1, simPolicies["1 strict rank"])
		planned := simulateSeeds(simMixes["first"], 0.8, 1, simPolicies["8 the same, nested first"])
		for _, i := range []int{1, 2} {
			if planned[i].inTime <= strict[i].inTime {
				t.Errorf("%s: in time/late/refused/failed %v, want more in time than %v", simMixes["first"].kinds[i].name, planned[i], strict[i])
			}
		}
		return
	}
	for _, name := range slices.Sorted(maps.Keys(simMixes)) {
		for _, load := range []float64{0.8, 1.1, 1.5, 2.5} {
			for _, policy := range slices.Sorted(maps.Keys(simPolicies)) {
				fmt.Printf("| %s | %.1f | %s |", name, load, policy[2:])
				for _, f := range simulateSeeds(simMixes[name], load, *tableSeeds, simPolicies[policy]) {
					fmt.Printf(" %v |", f)
				}
				fmt.Println()
			}
		}
	}
}
