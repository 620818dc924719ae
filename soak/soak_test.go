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

// shortLength has half of its time for events.
const shortLength = 20 * time.Second

// regressions returns the seeds that once failed, with their causes.
func regressions(t *testing.T) map[string]uint64 {
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

// TestSoak plays some seeds, and those that once failed, with real daemons.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for half a minute")
	}
	path := filepath.Join(t.TempDir(), "pomelodoor")
	if out, err := exec.Command("go", "build", "-o", path, "../cmd/pomelodoor").CombinedOutput(); err != nil {
		t.Fatalf("build the daemon: %v\n%s", err, out)
	}
	tests := regressions(t)
	for _, seed := range []uint64{1, 3} {
		tests[fmt.Sprintf("seed %d", seed)] = seed
	}
	for name, seed := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report, err := soak.Run(context.Background(), soak.Config{
				Daemon: path, Logs: t.TempDir(), Seed: seed, Machines: 5, Length: shortLength,
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

// TestPlanIsFixedBySeed: the same seed is the same plan, and another is another.
func TestPlanIsFixedBySeed(t *testing.T) {
	first, second := soak.Plan(7, 6, time.Minute), soak.Plan(7, 6, time.Minute)
	if !reflect.DeepEqual(first, second) {
		t.Fatal("one seed has two plans")
	}
	if reflect.DeepEqual(first, soak.Plan(8, 6, time.Minute)) {
		t.Fatal("two seeds have one plan")
	}
}

// TestPlansCoverAllKinds: a hundred plans have every kind, in time and on machines
// that there are.
func TestPlansCoverAllKinds(t *testing.T) {
	const machines, length = 4, 30 * time.Second
	seen := map[soak.Kind]bool{}
	for seed := range uint64(100) {
		for _, e := range soak.Plan(seed, machines, length) {
			seen[e.Kind] = true
			if e.At < 0 || e.At+e.For > length || len(e.Machines) > machines {
				t.Fatalf("seed %d has %v", seed, e)
			}
		}
	}
	for _, kind := range []soak.Kind{
		soak.LinkTrouble, soak.CallerReset, soak.StoreTrouble, soak.StoreForgets, soak.DaemonStop, soak.DaemonKill,
		soak.DaemonPause, soak.DaemonReload, soak.UpstreamIll, soak.UpstreamCrash, soak.UpstreamLeave,
		soak.ConfigChange, soak.ConfigStorm, soak.SwitchesOff,
	} {
		if !seen[kind] {
			t.Errorf("no plan has %s", kind)
		}
	}
}
