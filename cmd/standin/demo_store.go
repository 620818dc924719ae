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
	// storeMachines and storeLength are those of the demo on the users' platform,
	// whose last ten seconds are calm.
	storeMachines = 5
	storeLength   = 18 * time.Second
)

// storeEvents are what happens in the demo on the users' platform.
func storeEvents() []soak.Event {
	return []soak.Event{
		{At: time.Second, For: 3 * time.Second, Kind: soak.UpstreamIll, Machines: []int{0}, Illness: platformtest.Slowed},
		{At: 2 * time.Second, Kind: soak.ConfigChange},
		{At: 3 * time.Second, Kind: soak.DaemonKill, Machines: []int{1}},
		{At: 4 * time.Second, For: 2 * time.Second, Kind: soak.StoreTrouble, Machines: []int{2, 3}, Store: platformtest.Silent},
		{At: 6 * time.Second, Kind: soak.DaemonStop, Machines: []int{4}},
	}
}

// runOnStore shows a fleet that reads the users' store, and checks the promises.
func (a *demoArgs) runOnStore(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "pomelodoor")
	if err != nil {
		return fmt.Errorf("make a directory for logs: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path, err := buildDaemon(ctx, a.Daemon, dir)
	if err != nil {
		return err
	}
	fmt.Println("two services, five upstreams with a daemon each, and these events:")
	for _, e := range storeEvents() {
		fmt.Println("  ", e)
	}
	r, err := soak.Run(ctx, soak.Config{
		Daemon: path, Logs: dir, Seed: a.Seed, Machines: storeMachines, Length: storeLength, Events: storeEvents(),
	})
	if err != nil {
		return fmt.Errorf("play the demo: %w", err)
	}
	fmt.Printf("%-28s %v\n%-28s %d\n%-28s %d\n%-28s %d\n%-28s %d\n%-28s %d\n", "ready after", r.Ready.Round(time.Millisecond),
		"requests", r.Requests, "served", r.Served, "told not run", r.Refused, "runs", r.Runs, "promises broken", len(r.Violations))
	for _, v := range r.Violations {
		fmt.Println("  ", v)
	}
	if len(r.Violations) > 0 {
		return errPromiseBroken
	}
	return nil
}
