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

// maxProcesses bounds the daemons that run at once.
const maxProcesses = 120

type soakArgs struct {
	Daemon    string        `help:"built program of the daemon; empty builds it"`
	Seed      uint64        `help:"first seed; 0 draws one"`
	Seeds     int           `help:"how many seeds are played, one after the other from the first" default:"1"`
	Minutes   float64       `help:"play further seeds until this time is over"`
	Processes int           `help:"daemons of each run" default:"6"`
	Length    time.Duration `help:"length of each run" default:"30s"`
	Jobs      int           `help:"runs at once" default:"2"`
	Logs      string        `help:"directory that keeps the logs of failed runs; empty makes one"`
}

// check returns an error for flags that cannot be.
func (a *soakArgs) check() error {
	switch {
	case a.Seeds < 1, a.Jobs < 1, a.Processes < 2:
		return fmt.Errorf("seeds %d, jobs %d, processes %d: %w", a.Seeds, a.Jobs, a.Processes, errBadFlag)
	case a.Processes*a.Jobs > maxProcesses:
		return fmt.Errorf("%d processes at once, most are %d: %w", a.Processes*a.Jobs, maxProcesses, errBadFlag)
	}
	return nil
}

func (a *soakArgs) run(ctx context.Context) error {
	if err := a.check(); err != nil {
		return err
	}
	made := a.Logs == ""
	if made {
		dir, err := os.MkdirTemp("", "pomelodoor-soak")
		if err != nil {
			return fmt.Errorf("make a directory for logs: %w", err)
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
	if err := a.playAll(ctx, path); err != nil {
		return err
	}
	if made {
		_ = os.RemoveAll(a.Logs)
	}
	return nil
}

// playAll plays the seeds, and returns an error when one of them failed.
func (a *soakArgs) playAll(ctx context.Context, path string) error {
	until := time.Now().Add(time.Duration(a.Minutes * float64(time.Minute)))
	var mu sync.Mutex
	played, failed := 0, 0
	next := func() (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() != nil || played >= a.Seeds && !time.Now().Before(until) {
			return 0, false
		}
		played++
		return a.Seed + uint64(played) - 1, true
	}
	var jobs sync.WaitGroup
	for range a.Jobs {
		jobs.Go(func() {
			for seed, ok := next(); ok; seed, ok = next() {
				if !a.play(ctx, path, seed) {
					mu.Lock()
					failed++
					mu.Unlock()
				}
			}
		})
	}
	jobs.Wait()
	fmt.Printf("%d seeds played, %d failed\n", played, failed)
	if failed > 0 || ctx.Err() != nil {
		return fmt.Errorf("%d of %d seeds: %w", failed, played, errPromiseBroken)
	}
	return nil
}

// play plays one seed and reports whether all promises held. The logs of one that
// failed stay.
func (a *soakArgs) play(ctx context.Context, path string, seed uint64) bool {
	logs := filepath.Join(a.Logs, strconv.FormatUint(seed, 10))
	if err := os.MkdirAll(logs, 0o750); err != nil {
		fmt.Println("soak:", err)
		return false
	}
	report, err := soak.Run(ctx, soak.Config{Daemon: path, Logs: logs, Seed: seed, Machines: a.Processes, Length: a.Length})
	fmt.Printf("seed %d: %d events, %d requests, %d served, %d told not run, %d runs, %d violations\n",
		seed, len(report.Events), report.Requests, report.Served, report.Refused, report.Runs, len(report.Violations))
	if err == nil && len(report.Violations) == 0 {
		_ = os.RemoveAll(logs)
		return true
	}
	if err != nil {
		fmt.Println("  ", err)
	}
	for i, v := range report.Violations {
		if i == shownViolations {
			fmt.Println("   and more")
			break
		}
		fmt.Println("  ", v)
	}
	for _, e := range report.Events {
		fmt.Println("  ", e)
	}
	fmt.Printf("   again: go run ./cmd/standin soak --seed %d --processes %d --length %s\n   logs: %s\n", seed, a.Processes, a.Length, logs)
	return false
}
