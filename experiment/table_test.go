package experiment_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/experiment"
)

// The flags of TestTable. Lists are comma-separated; an empty list selects all, except
// that -load must not be empty.
var (
	printTables     = flag.Bool("table", false, "measure and print the tables")
	sizeList        = flag.String("size", "", "sizes")
	loadList        = flag.String("load", "0.5,0.8,0.95", "offered loads, as shares of all slots")
	caseList        = flag.String("case", "", "cases")
	policyList      = flag.String("policy", "", "policies")
	rounds          = flag.Int("rounds", 5, "rounds")
	measuredSeconds = flag.Float64("seconds", 4, "measured time of a run, in seconds")
	warmUpSeconds   = flag.Float64("warm", 1, "warm-up time of a run before it is measured, in seconds")
	serviceMs       = flag.Float64("service-ms", 40, "mean service time in milliseconds")
	seed            = flag.Uint64("seed", 1, "seed of the first round; each further round adds 1")
)

// isSelected reports whether a list contains a name or is empty.
func isSelected(list, name string) bool {
	return list == "" || slices.Contains(strings.Split(list, ","), name)
}

// TestTable measures all selected policies and prints a table for each selected size,
// load and case. It runs only with -args -table.
func TestTable(t *testing.T) {
	if !*printTables {
		t.Skip("measures only with -args -table")
	}
	for _, size := range experiment.Sizes() {
		for text := range strings.SplitSeq(*loadList, ",") {
			load, err := strconv.ParseFloat(text, 64)
			if err != nil {
				t.Fatal(err)
			}
			for _, c := range experiment.Cases() {
				if isSelected(*sizeList, size.Name) && isSelected(*caseList, string(c)) {
					printTable(t, size, load, c)
				}
			}
		}
	}
}

// printTable measures the selected policies in all rounds and prints their table.
func printTable(t *testing.T, size experiment.Size, load float64, c experiment.Case) {
	t.Helper()
	var rows []experiment.Row
	var selected []experiment.Policy
	for _, p := range policies() {
		if isSelected(*policyList, p.Name) {
			selected = append(selected, p)
			rows = append(rows, experiment.Row{Policy: p.Name})
		}
	}
	began := time.Now()
	for round := range *rounds {
		cfg := experiment.RunConfig{
			Size: size, Case: c, Load: load, Seed: *seed + uint64(round),
			ServiceTime: time.Duration(*serviceMs * float64(time.Millisecond)),
			WarmUp:      time.Duration(*warmUpSeconds * float64(time.Second)),
			Duration:    time.Duration(*measuredSeconds * float64(time.Second)),
		}
		for i, result := range runRound(t, cfg, selected, round) {
			rows[i].Results = append(rows[i].Results, result)
			if len(result.Failures) > 0 {
				t.Logf("round %d, %s: %v", round+1, selected[i].Name, result.Failures)
			}
			for _, v := range result.Violations {
				t.Errorf("%s: violation: %+v", selected[i].Name, v)
			}
		}
	}
	fmt.Printf("\n%s, %s, %.0f %% of slots (%d rounds, %.0f s)\n\n", size.Name, c, 100*load, *rounds, time.Since(began).Seconds())
	if err := experiment.WriteTable(os.Stdout, rows, "oracle"); err != nil {
		t.Fatal(err)
	}
}

// runRound measures one fleet per policy, one after the other, starting with a
// different policy in each round. The fleets are started concurrently, because the
// daemons of a fleet take some time to become ready.
func runRound(t *testing.T, cfg experiment.RunConfig, list []experiment.Policy, round int) []experiment.Result {
	t.Helper()
	fleets := make([]*experiment.Fleet, len(list))
	errs := make([]error, len(list))
	var all sync.WaitGroup
	for i, p := range list {
		each := cfg
		each.Policy = p
		all.Go(func() { fleets[i], errs[i] = experiment.Start(context.Background(), each) })
	}
	all.Wait()
	defer func() {
		for _, f := range fleets {
			if f != nil {
				all.Go(f.Close)
			}
		}
		all.Wait()
	}()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
	results := make([]experiment.Result, len(list))
	for turn := range list {
		i := (turn + round) % len(list)
		var err error
		if results[i], err = fleets[i].Measure(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	return results
}
