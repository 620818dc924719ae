package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"pomelodoor.example/pomelodoor/standin"
)

// Services of the overhead measurement. Requests for nearService are sent to the
// daemon of farService, which forwards them to the daemon of nearService.
const (
	nearService = "near"
	farService  = "far"
)

type addedArgs struct {
	Daemon string        `help:"built program of the daemon; empty builds it"`
	Pairs  int           `help:"pairs of a direct call and one by two daemons" default:"2000"`
	Pause  time.Duration `help:"pause between pairs" default:"2ms"`
	Limit  time.Duration `help:"end after this time" default:"2m"`
}

func (a *addedArgs) run(ctx context.Context) error {
	if a.Pairs < 1 || a.Pairs > 1_000_000 {
		return fmt.Errorf("pairs %d: %w", a.Pairs, errInvalidArgs)
	}
	ctx, cancel := context.WithTimeout(ctx, a.Limit)
	defer cancel()
	fleet, cleanup, err := startFleet(ctx, a.Daemon, standin.FleetService{Name: nearService, Workers: 1}, standin.FleetService{Name: farService, Workers: 1})
	if err != nil {
		return err
	}
	defer cleanup()
	overhead, err := measureOverhead(ctx, fleet, a.Pairs, a.Pause)
	if err != nil {
		return err
	}
	printLatency("direct", overhead.Direct)
	printLatency("via two daemons", overhead.Via)
	printLatency("added", overhead.Overhead)
	printLatency("noise, direct vs. direct", overhead.Noise)
	return fleet.Shutdown(shutdownTimeout)
}

// measureOverhead compares direct calls of nearService with calls through the
// daemon of farService.
func measureOverhead(ctx context.Context, fleet *standin.Fleet, pairs int, pause time.Duration) (standin.AddedLatency, error) {
	near, far := fleet.Service(nearService), fleet.Service(farService)
	return standin.MeasureAddedLatency(ctx, standin.AddedLatencyConfig{
		Service: nearService, Direct: near[0].WorkerAddr, Via: far[0].Instance.Listen,
		Pairs: pairs, Pause: pause,
	})
}

// startFleet builds the daemon if no path is given and starts the services with
// it. The returned function kills all processes and removes the build directory.
func startFleet(ctx context.Context, daemon string, services ...standin.FleetService) (*standin.Fleet, func(), error) {
	dir, err := os.MkdirTemp("", "pomelodoor")
	if err != nil {
		return nil, nil, fmt.Errorf("start fleet: create build directory: %w", err)
	}
	remove := func() { _ = os.RemoveAll(dir) }
	path, err := buildDaemon(ctx, daemon, dir)
	if err != nil {
		remove()
		return nil, nil, err
	}
	fleet, err := newFleet(ctx, path, services...)
	if err != nil {
		remove()
		return nil, nil, err
	}
	return fleet, func() { fleet.Close(); remove() }, nil
}

// newFleet starts the services, with a daemon for each worker unless the daemon's
// path is empty.
func newFleet(ctx context.Context, daemon string, services ...standin.FleetService) (*standin.Fleet, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("locate the standin executable: %w", err)
	}
	var names []string
	for _, s := range services {
		names = append(names, s.Name)
	}
	return standin.StartFleet(ctx, standin.FleetConfig{
		Standin: self, Daemon: daemon, Services: services, Documents: documents(names...), LogLevel: "warn",
	})
}
