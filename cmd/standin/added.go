package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"pomelodoor.example/pomelodoor/standin"
)

// The services of the measurement. Calls for the near one go to the daemon of
// the far one, which has to pass them to the near one's daemon.
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
		return fmt.Errorf("pairs %d: %w", a.Pairs, errBadFlag)
	}
	ctx, cancel := context.WithTimeout(ctx, a.Limit)
	defer cancel()
	fleet, clean, err := startFleet(ctx, a.Daemon, standin.FleetService{Name: nearService, Workers: 1}, standin.FleetService{Name: farService, Workers: 1})
	if err != nil {
		return err
	}
	defer clean()
	added, err := measureAdded(ctx, fleet, a.Pairs, a.Pause)
	if err != nil {
		return err
	}
	printTimes("direct", added.Direct)
	printTimes("by two daemons", added.Via)
	printTimes("added", added.Extra)
	printTimes("noise, direct to direct", added.Noise)
	return fleet.Shutdown(shutdownTime)
}

// measureAdded compares direct calls of the near service with those by the far
// service's daemon.
func measureAdded(ctx context.Context, fleet *standin.Fleet, pairs int, pause time.Duration) (standin.Added, error) {
	near, far := fleet.Service(nearService), fleet.Service(farService)
	return standin.MeasureAdded(ctx, standin.AddedConfig{
		Service: nearService, Direct: near[0].WorkerAddr, Via: far[0].Instance.Listen,
		Pairs: pairs, Pause: pause,
	})
}

// startFleet builds the daemon if need be and starts services with it. The
// function returned ends all processes and removes what was built.
func startFleet(ctx context.Context, daemon string, services ...standin.FleetService) (*standin.Fleet, func(), error) {
	dir, err := os.MkdirTemp("", "pomelodoor")
	if err != nil {
		return nil, nil, fmt.Errorf("start fleet: %w", err)
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

// newFleet starts services whose workers have daemons, unless the daemon's
// path is empty.
func newFleet(ctx context.Context, daemon string, services ...standin.FleetService) (*standin.Fleet, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find own program: %w", err)
	}
	var names []string
	for _, s := range services {
		names = append(names, s.Name)
	}
	return standin.StartFleet(ctx, standin.FleetConfig{
		Standin: self, Daemon: daemon, Services: services, Documents: documents(names...), LogLevel: "warn",
	})
}
