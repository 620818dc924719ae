package balance

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	tableWhole   = flag.Bool("table", false, "measure the whole table")
	tableSeeds   = flag.Int("seeds", 3, "rounds of the table")
	tableNames   = flag.String("policies", "", "only the policies that this text holds")
	tableSize    = flag.String("size", "Zeigerwerk", "size of the service: Zeigerwerk, Brightfield or many")
	tableChoices = flag.Int("choices", 0, "candidates compared; 0 means as in use")
	tableReports = flag.Duration("reports", 50*time.Millisecond, "time between a worker's reports to all")
	tableCases   = flag.String("cases", "", "only the cases that hold this text")
)

var sizes = map[string]size{
	"Zeigerwerk":  {workers: []int{0, 0, 1, 1, 2}, zones: 3, daemons: 12, slots: 12, oneWay: 3 * time.Millisecond},
	"Brightfield": {workers: []int{0, 1, 2, 3}, zones: 4, daemons: 12, slots: 9, oneWay: 5 * time.Millisecond},
	"many":        {workers: []int{0, 1, 2, 3, 4, 0}, zones: 5, daemons: 300, slots: 12, oneWay: time.Millisecond},
}

var faults = map[string]func(s *sim){
	"1 steady": nil,
	"2 shifting": func(s *sim) { // each worker's speed changes every 5 ms or so
		for _, w := range s.workers {
			var shift func()
			shift = func() {
				w.factor = 0.6
				if s.rand.IntN(4) == 0 {
					w.factor = 2.2
				}
				s.after(time.Duration(s.rand.ExpFloat64()*5e6), shift)
			}
			shift()
		}
	},
	"3 one 10x slower": func(s *sim) { s.after(simFault, func() { s.workers[0].factor = 10 }) },
	"4 one fails in 0.2 ms": func(s *sim) {
		s.after(simFault, func() { s.workers[0].failing = true })
	},
	"5 one drains": func(s *sim) { s.after(simFault, func() { s.workers[0].state = Draining }) },
	"6 one starts cold": func(s *sim) { // ten times slower, a tenth less with each 100 calls
		w := s.workers[0]
		w.state = Draining
		s.after(simFault, func() { w.state, w.ran = Cold, 0 })
		var warm func()
		warm = func() {
			if w.state == Cold {
				w.factor = max(1, 10-float64(w.ran)/100)
				if w.factor == 1 {
					w.state = Serving
				}
			}
			s.after(10*time.Millisecond, warm)
		}
		warm()
	},
}

var policies = map[string]policy{
	"0 oracle":        oracle,
	"1 true counters": func(s *sim, d *daemon) int { return trueCounters(s, d, 3) },
	"2 picker": func(s *sim, d *daemon) int {
		i, _ := d.picker.Pick(s.candidates, nil, allOn, s.clock())
		return max(i, 0)
	},
	"3 random": func(s *sim, _ *daemon) int { return s.rand.IntN(len(s.workers)) },
	"4 round robin": func(s *sim, d *daemon) int {
		d.next++
		return d.next % len(s.workers)
	},
	"5 least in flight": func(s *sim, d *daemon) int {
		return least(s, func(i int) float64 { return float64(d.own[i]) })
	},
	"6 two choices": func(s *sim, d *daemon) int {
		i, j := s.rand.IntN(len(s.workers)), s.rand.IntN(len(s.workers)-1)
		if j >= i {
			j++
		}
		if d.heard[j].InFlight+d.heard[j].Queued < d.heard[i].InFlight+d.heard[i].Queued {
			return j
		}
		return i
	},
}

// oracle reads the true counters of all workers, and how fast each is now.
func oracle(s *sim, d *daemon) int { return trueCounters(s, d, 1) }

// trueCounters reads the true counters, but of the speeds only those that are
// slower than usual by the factor slow.
func trueCounters(s *sim, d *daemon, slow float64) int {
	slots := float64(s.size.slots)
	return least(s, func(i int) float64 {
		w := s.workers[i]
		if w.failing || w.state == Draining {
			return math.Inf(1)
		}
		calls, service := float64(w.busy+len(w.queue)+w.coming), float64(simService)
		if w.factor > slow || slow == 1 {
			service *= w.factor
		}
		cost := service * (1 + max(0, calls+1-slots)/slots + 0.01*calls/slots)
		if w.zone != d.zone {
			cost += float64(2 * s.size.oneWay)
		}
		return cost
	})
}

// least returns the worker of least cost, from a random one on.
func least(s *sim, cost func(i int) float64) int {
	n := len(s.workers)
	first, best := s.rand.IntN(n), -1
	for k := range n {
		if i := (first + k) % n; best < 0 || cost(i) < cost(best) {
			best = i
		}
	}
	return best
}

// median runs a cell with each seed and returns the run of the middle p99.
func median(sc scenario, choose policy, seeds int) figures {
	runs := make([]figures, seeds)
	var wait sync.WaitGroup
	for i := range runs {
		wait.Go(func() {
			sc := sc
			sc.seed = uint64(i + 1)
			runs[i] = simulate(sc, choose, Config{Choices: *tableChoices})
		})
	}
	wait.Wait()
	slices.SortFunc(runs, func(a, b figures) int { return int(a.p99 - b.p99) })
	return runs[seeds/2]
}

// TestTable prints the picker beside other policies. In virtual time a seed
// always gives the same figures. Without -table it runs two cells and checks
// that the picker is ahead of the baselines in them.
func TestTable(t *testing.T) {
	loads, lags := []float64{0.5, 0.8, 0.95}, []time.Duration{0, 50 * time.Millisecond, 500 * time.Millisecond}
	if !*tableWhole {
		for _, fault := range []string{"3 one 10x slower", "4 one fails in 0.2 ms"} {
			quick(t, scenario{size: sizes["Zeigerwerk"], fault: faults[fault], load: 0.5, lag: lags[1]})
		}
		return
	}
	ms := func(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()*1e3) }
	fmt.Println("| case | load | lag ms | policy | p50 ms | p99 ms | p99.9 ms | x oracle | bad % | cross % |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, fault := range slices.Sorted(maps.Keys(faults)) {
		if !strings.Contains(fault, *tableCases) {
			continue
		}
		for _, load := range loads {
			for _, lag := range lags {
				var best figures
				for _, name := range slices.Sorted(maps.Keys(policies)) {
					if *tableNames != "" && !strings.Contains(*tableNames, name[2:]) {
						continue
					}
					f := median(scenario{size: sizes[*tableSize], fault: faults[fault], load: load, lag: lag}, policies[name], *tableSeeds)
					if best.p99 == 0 {
						best = f
					}
					fmt.Printf("| %s | %.0f | %s | %s | %s | %s | %s | %.2f | %.2f | %.0f |\n", fault[2:], 100*load, ms(lag),
						name[2:], ms(f.p50), ms(f.p99), ms(f.p999), float64(f.p99)/float64(best.p99), f.bad, f.cross)
				}
			}
		}
	}
}

func quick(t *testing.T, sc scenario) {
	sc.seed = 1
	picker := simulate(sc, policies["2 picker"], Config{})
	for _, name := range slices.Sorted(maps.Keys(policies)) {
		if other := simulate(sc, policies[name], Config{}); name > "2 picker" && picker.p99 >= other.p99 {
			t.Errorf("picker %v, %s %v", picker, name, other)
		}
	}
}
