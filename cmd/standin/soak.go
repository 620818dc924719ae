package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"pomelodoor.example/pomelodoor/soak"
)

// maxDaemons is the maximum number of daemons that run at once over all jobs.
const maxDaemons = 120

type soakArgs struct {
	Daemon        string        `help:"built program of the daemon; empty builds it"`
	Seed          uint64        `help:"first seed; 0 draws one"`
	Seeds         int           `help:"how many seeds are played, one after the other from the first" default:"1"`
	Minutes       float64       `help:"play further seeds until this time is over"`
	Processes     int           `help:"daemons of each run" default:"6"`
	Length        time.Duration `help:"length of each run" default:"30s"`
	Jobs          int           `help:"runs at once" default:"2"`
	NoCold        bool          `arg:"--no-cold" help:"upstreams are not cold after their start, for builds that do not limit requests to them"`
	NoMemoryBound bool          `arg:"--no-memory-bound" help:"the memory of the daemons is not checked, for builds that do not limit it"`
	NoEvacuations bool          `arg:"--no-evacuations" help:"no availability zone is evacuated, for builds that do not know that"`
	Logs          string        `help:"directory that keeps the logs of failed runs; empty makes one"`
}

// validate returns an error for flag values out of range.
func (a *soakArgs) validate() error {
	switch {
	case a.Seeds < 1, a.Jobs < 1, a.Processes < 2:
		return fmt.Errorf("seeds %d, jobs %d, processes %d: %w", a.Seeds, a.Jobs, a.Processes, errInvalidArgs)
	case a.Processes*a.Jobs > maxDaemons:
		return fmt.Errorf("%d daemons at once, max %d: %w", a.Processes*a.Jobs, maxDaemons, errInvalidArgs)
	}
	return nil
}

func (a *soakArgs) run(ctx context.Context) error {
	if err := a.validate(); err != nil {
		return err
	}
	createdLogs := a.Logs == ""
	if createdLogs {
		dir, err := os.MkdirTemp("", "pomelodoor-soak")
		if err != nil {
			return fmt.Errorf("create log directory: %w", err)
		}
		a.Logs = dir
	}
	path, err := buildDaemon(ctx, a.Daemon, a.Logs)
	if err != nil {
		return err
	}
	if a.Seed == 0 {
		a.Seed = rand.Uint64N(1 << 32)
	}
	if err := a.runSeeds(ctx, path); err != nil {
		return err
	}
	if createdLogs {
		_ = os.RemoveAll(a.Logs)
	}
	return nil
}

// runSeeds runs the seeds in parallel jobs and returns an error if any of them
// failed or ctx was canceled.
func (a *soakArgs) runSeeds(ctx context.Context, path string) error {
	deadline := time.Now().Add(time.Duration(a.Minutes * float64(time.Minute)))
	var mu sync.Mutex
	started, failed := 0, 0
	next := func() (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() != nil || started >= a.Seeds && !time.Now().Before(deadline) {
			return 0, false
		}
		started++
		return a.Seed + uint64(started) - 1, true
	}
	var jobs sync.WaitGroup
	for range a.Jobs {
		jobs.Go(func() {
			for seed, ok := next(); ok; seed, ok = next() {
				if !a.runSeed(ctx, path, seed) {
					mu.Lock()
					failed++
					mu.Unlock()
				}
			}
		})
	}
	jobs.Wait()
	fmt.Printf("%d seeds run, %d failed\n", started, failed)
	if failed > 0 || ctx.Err() != nil {
		return fmt.Errorf("%d of %d seeds failed: %w", failed, started, errPromisesBroken)
	}
	return nil
}

// runSeed runs one seed and reports whether it completed without violations. It
// keeps the logs of a failed seed.
func (a *soakArgs) runSeed(ctx context.Context, path string, seed uint64) bool {
	logs := filepath.Join(a.Logs, strconv.FormatUint(seed, 10))
	if err := os.MkdirAll(logs, 0o750); err != nil {
		fmt.Println("soak:", err)
		return false
	}
	report, err := soak.Run(ctx, soak.Config{
		Daemon: path, Logs: logs, Seed: seed, Machines: a.Processes, Length: a.Length,
		NoCold: a.NoCold, NoMemoryBound: a.NoMemoryBound, NoEvacuations: a.NoEvacuations,
	})
	fmt.Printf("seed %d: %d events, %d requests, %d served, %d reported not run, %d runs, at most %d in a second at a cold upstream, at most %d MB in a daemon, %d violations\n",
		seed, len(report.Events), report.Requests, report.Served, report.NotRun, report.Runs, report.ColdMost, report.MemoryMost, len(report.Violations))
	if err == nil && len(report.Violations) == 0 {
		_ = os.RemoveAll(logs)
		return true
	}
	if err != nil {
		fmt.Println("  ", err)
	}
	for i, v := range report.Violations {
		if i == maxListed {
			fmt.Println("   more violations omitted")
			break
		}
		fmt.Println("  ", v)
	}
	for _, e := range report.Events {
		fmt.Println("  ", e)
	}
	fmt.Printf("   reproduce with: go run ./cmd/standin soak --seed %d --processes %d --length %s\n   logs: %s\n", seed, a.Processes, a.Length, logs)
	return false
}
