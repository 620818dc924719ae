package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"pomelodoor.example/pomelodoor/platform/platformtest"
	"pomelodoor.example/pomelodoor/soak"
)

const (
	// Size and length of the demo with --store. Its last four seconds are free of
	// events, as requests sent later than 3 s after the last one must be served.
	storeDemoMachines = 5
	storeDemoLength   = 18 * time.Second
	// The evacuation is longer than the 5 s within which requests must stop reaching the
	// zone, and begins 3 s after the store's fault, which could delay it.
	storeDemoEvacuationAt = 6600 * time.Millisecond
	storeDemoEvacuation   = 7 * time.Second
)

// storeDemoEvents returns the faults and changes of the demo with --store.
func storeDemoEvents() []soak.Event {
	return []soak.Event{
		{At: time.Second, Duration: 3 * time.Second, Kind: soak.UpstreamUnhealthy, Machines: []int{0}, WorkerFault: platformtest.Slowed},
		{At: 1500 * time.Millisecond, Duration: 2 * time.Second, Kind: soak.StoreFault, Machines: []int{2, 3}, StoreFault: platformtest.Silent},
		{At: 2 * time.Second, Kind: soak.ConfigChange},
		{At: 3 * time.Second, Kind: soak.DaemonKill, Machines: []int{1}},
		{At: 6 * time.Second, Kind: soak.DaemonStop, Machines: []int{4}},
		{At: storeDemoEvacuationAt, Duration: storeDemoEvacuation, Kind: soak.Evacuation, Zone: "a"},
	}
}

// runOnStore runs a fleet whose daemons read the store of the users' platform, and
// checks the promises.
func (a *demoArgs) runOnStore(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "pomelodoor")
	if err != nil {
		return fmt.Errorf("create log directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path, err := buildDaemon(ctx, a.Daemon, dir)
	if err != nil {
		return err
	}
	fmt.Println("two services, five upstreams with a daemon each, and these events:")
	for _, e := range storeDemoEvents() {
		fmt.Println("  ", e)
	}
	r, err := soak.Run(ctx, soak.Config{
		Daemon: path, Logs: dir, Seed: a.Seed, Machines: storeDemoMachines, Length: storeDemoLength, Events: storeDemoEvents(),
	})
	if err != nil {
		return fmt.Errorf("run demo with store: %w", err)
	}
	fmt.Printf("%-28s %v\n%-28s %d\n%-28s %d\n%-28s %d\n%-28s %d\n%-28s %d\n", "ready after", r.ReadyAfter.Round(time.Millisecond),
		"requests", r.Requests, "served", r.Served, "reported not run", r.NotRun, "runs", r.Runs, "promises broken", len(r.Violations))
	for _, e := range r.Evacuations {
		fmt.Println(e)
	}
	for _, v := range r.Violations {
		fmt.Println("  ", v)
	}
	if len(r.Violations) > 0 {
		return errPromisesBroken
	}
	return nil
}
