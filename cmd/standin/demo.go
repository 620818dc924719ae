package main

import (
	"context"
	"fmt"
	"time"

	"pomelodoor.example/pomelodoor/standin"
)

// Parameters of the demo.
const (
	demoService        = "faults"
	demoWorkerCount    = 5
	demoSlowdownFactor = 10
	overheadPairs      = 200
	overheadPause      = 2 * time.Millisecond
	demoTimeout        = 43 * time.Second
	shutdownTimeout    = 8 * time.Second
)

type demoArgs struct {
	Daemon   string        `help:"built program of the daemon; empty builds it"`
	Store    bool          `help:"on the users' platform: daemons read its store, one is killed and the configuration changes"`
	Direct   bool          `help:"call the workers without any daemon, for comparison"`
	Rate     float64       `help:"requests a second" default:"150"`
	Duration time.Duration `help:"how long to call" default:"10s"`
	Seed     uint64        `help:"seed of the sequence of requests" default:"1"`
}

func (a *demoArgs) run(ctx context.Context) error {
	if a.Rate <= 0 || a.Rate > 10_000 || a.Duration < time.Second || a.Duration > 20*time.Second {
		return fmt.Errorf("rate %v or duration %v: %w", a.Rate, a.Duration, errInvalidArgs)
	}
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if a.Store {
		return a.runOnStore(ctx)
	}
	started := time.Now()
	fleet, cleanup, err := a.start(ctx)
	if err != nil {
		return err
	}
	defer cleanup()
	fmt.Printf("started a platform stand-in and %d workers in 3 availability zones, with daemons: %v, ready after %v\n",
		demoWorkerCount, !a.Direct, time.Since(started).Round(100*time.Millisecond))
	if err := a.printOverhead(ctx, fleet); err != nil {
		return err
	}
	result, err := a.callService(ctx, fleet)
	if err != nil {
		return err
	}
	shutdownErr := a.shutDown(fleet)
	executions, err := fleet.Executions()
	if err != nil {
		return err
	}
	if err := reportResult(result, executions, a.Direct); err != nil {
		return err
	}
	return shutdownErr
}

// start starts the fleet, without daemons if --direct is set.
func (a *demoArgs) start(ctx context.Context) (*standin.Fleet, func(), error) {
	faults := standin.FleetService{Name: demoService, Workers: demoWorkerCount}
	if a.Direct {
		fleet, err := newFleet(ctx, "", faults)
		if err != nil {
			return nil, nil, err
		}
		return fleet, fleet.Close, nil
	}
	return startFleet(ctx, a.Daemon, faults,
		standin.FleetService{Name: nearService, Workers: 1}, standin.FleetService{Name: farService, Workers: 1})
}

// printOverhead measures and prints the latency that two daemons add to a call.
// It runs before the load starts.
func (a *demoArgs) printOverhead(ctx context.Context, fleet *standin.Fleet) error {
	if a.Direct {
		return nil
	}
	overhead, err := measureOverhead(ctx, fleet, overheadPairs, overheadPause)
	if err != nil {
		return err
	}
	printLatency("direct call", overhead.Direct)
	printLatency("call via two daemons", overhead.Via)
	printLatency("added", overhead.Overhead)
	return nil
}

// callService generates the load and slows one worker down for the middle third
// of it.
func (a *demoArgs) callService(ctx context.Context, fleet *standin.Fleet) (standin.Result, error) {
	caller, err := standin.NewCaller(standin.CallerConfig{
		Name: "dispatch", Service: demoService, Targets: fleet.Targets(demoService), Direct: a.Direct,
		RatePerSecond: a.Rate, Duration: a.Duration, Seed: a.Seed,
		Resend: standin.ResendPolicy{MaxResends: 2, Delay: 50 * time.Millisecond},
	})
	if err != nil {
		return standin.Result{}, err
	}
	defer caller.Close()
	fmt.Printf("calling %s %v times a second for %v; %s is %d times slower from %v to %v\n", demoService,
		a.Rate, a.Duration, fleet.Members[0].Instance.ID, demoSlowdownFactor, (a.Duration / 3).Round(time.Millisecond), (2 * a.Duration / 3).Round(time.Millisecond))
	slowErr := make(chan error, 1)
	go func() { slowErr <- a.slowDown(ctx, fleet.Members[0].Worker) }()
	result := caller.Run(ctx)
	if err := <-slowErr; err != nil {
		return result, fmt.Errorf("slow down worker: %w", err)
	}
	return result, nil
}

// slowDown slows a worker down for the middle third of the demo.
func (a *demoArgs) slowDown(ctx context.Context, w standin.RemoteWorker) error {
	for _, query := range []string{fmt.Sprintf("factor=%d", demoSlowdownFactor), "factor=1"} {
		select {
		case <-time.After(a.Duration / 3):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := w.Set(query); err != nil {
			return err
		}
	}
	return nil
}

// shutDown stops the daemons gracefully and prints a line if all of them exited.
func (a *demoArgs) shutDown(fleet *standin.Fleet) error {
	if a.Direct {
		return nil
	}
	if err := fleet.Shutdown(shutdownTimeout); err != nil {
		return fmt.Errorf("shut down daemons: %w", err)
	}
	fmt.Println("all daemons exited on SIGTERM")
	return nil
}
