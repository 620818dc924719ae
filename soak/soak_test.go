package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/soak"
)

// runLength leaves half of the run for events; the other half is the quiet period.
const runLength = 20 * time.Second

// regressionSeeds returns the seeds that have failed before, by seed and cause.
func regressionSeeds(t *testing.T) map[string]uint64 {
	t.Helper()
	file, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	seeds := map[string]uint64{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		text, cause, _ := strings.Cut(line, " ")
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil || cause == "" {
			t.Fatalf("seeds.txt: %q has no seed or no cause", line)
		}
		seeds[text+" "+cause] = seed
	}
	return seeds
}

// TestSoak runs a few fixed seeds and all that have failed before, with real daemons.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for half a minute")
	}
	path := filepath.Join(t.TempDir(), "pomelodoor")
	if out, err := exec.Command("go", "build", "-o", path, "../cmd/pomelodoor").CombinedOutput(); err != nil {
		t.Fatalf("build the daemon: %v\n%s", err, out)
	}
	tests := regressionSeeds(t)
	for _, seed := range []uint64{1, 3} {
		tests[fmt.Sprintf("seed %d", seed)] = seed
	}
	for name, seed := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report, err := soak.Run(context.Background(), soak.Config{
				Daemon: path, Logs: t.TempDir(), Seed: seed, Machines: 5, Length: runLength,
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range report.Violations {
				t.Error(v)
			}
			for _, e := range report.Events {
				t.Log(e)
			}
			t.Logf("%d requests, %d served", report.Requests, report.Served)
		})
	}
}

// TestPlanIsDeterministic checks that a seed determines the plan and that another seed
// gives another plan.
func TestPlanIsDeterministic(t *testing.T) {
	first, second := soak.Plan(7, 6, time.Minute), soak.Plan(7, 6, time.Minute)
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two calls of Plan with the same seed returned different plans")
	}
	if reflect.DeepEqual(first, soak.Plan(8, 6, time.Minute)) {
		t.Fatal("Plan returned the same plan for different seeds")
	}
}

// TestPlansCoverEventKinds checks that a hundred plans contain the kinds listed below,
// that events lie within the run, and that none names more machines than there are.
func TestPlansCoverEventKinds(t *testing.T) {
	const machines, length = 4, 30 * time.Second
	seen := map[soak.Kind]bool{}
	for seed := range uint64(100) {
		for _, e := range soak.Plan(seed, machines, length) {
			seen[e.Kind] = true
			if e.At < 0 || e.At+e.Duration > length || len(e.Machines) > machines {
				t.Fatalf("seed %d: event out of range: %v", seed, e)
			}
		}
	}
	for _, kind := range []soak.Kind{
		soak.LinkFault, soak.CallerReset, soak.StoreFault, soak.StoreCompaction, soak.DaemonStop, soak.DaemonKill,
		soak.DaemonPause, soak.DaemonReload, soak.UpstreamUnhealthy, soak.UpstreamCrash, soak.UpstreamDrain,
		soak.ConfigChange, soak.ConfigStorm, soak.SwitchesOff, soak.Evacuation, soak.Crowd,
	} {
		if !seen[kind] {
			t.Errorf("no plan contains %s", kind)
		}
	}
}
