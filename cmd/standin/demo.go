package main

import (
	"context"
	"fmt"
	"time"

	"pomelodoor.example/pomelodoor/standin"
)

// The demo's service and its course.
const (
	demoService  = "faults"
	demoWorkers  = 5
	slowFactor   = 10
	demoPairs    = 200
	demoPause    = 2 * time.Millisecond
	demoLimit    = 43 * time.Second
	shutdownTime = 8 * time.Second
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
		return fmt.Errorf("rate %v or duration %v: %w", a.Rate, a.Duration, errBadFlag)
	}
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	if a.Store {
		return a.runOnStore(ctx)
	}
	begun := time.Now()
	fleet, clean, err := a.start(ctx)
	if err != nil {
		return err
	}
	defer clean()
	fmt.Printf("built and started a platform and %d workers in 3 availability zones, with daemons: %v, ready after %v\n",
		demoWorkers, !a.Direct, time.Since(begun).Round(100*time.Millisecond))
	if err := a.added(ctx, fleet); err != nil {
		return err
	}
	result, err := a.call(ctx, fleet)
	if err != nil {
		return err
	}
	ended := a.end(fleet)
	executions, err := fleet.Executions()
	if err != nil {
		return err
	}
	if err := report(result, executions, a.Direct); err != nil {
		return err
	}
	return ended
}

// start starts the fleet, with daemons unless the demo is direct.
func (a *demoArgs) start(ctx context.Context) (*standin.Fleet, func(), error) {
	faults := standin.FleetService{Name: demoService, Workers: demoWorkers}
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

// added measures, before the load begins, what two daemons add to a call.
func (a *demoArgs) added(ctx context.Context, fleet *standin.Fleet) error {
	if a.Direct {
		return nil
	}
	added, err := measureAdded(ctx, fleet, demoPairs, demoPause)
	if err != nil {
		return err
	}
	printTimes("direct call", added.Direct)
	printTimes("call by two daemons", added.Via)
	printTimes("added", added.Extra)
	return nil
}

// call offers the load and slows one worker for the middle third of it.
func (a *demoArgs) call(ctx context.Context, fleet *standin.Fleet) (standin.Result, error) {
	caller, err := standin.NewCaller(standin.CallerConfig{
		Name: "dispatch", Service: demoService, Targets: fleet.Targets(demoService), Direct: a.Direct,
		Rate: a.Rate, Duration: a.Duration, Seed: a.Seed,
		Resend: standin.Resend{Max: 2, Wait: 50 * time.Millisecond},
	})
	if err != nil {
		return standin.Result{}, err
	}
	defer caller.Close()
	fmt.Printf("calling %s %v times a second for %v; %s is %d times slower from %v to %v\n", demoService,
		a.Rate, a.Duration, fleet.Members[0].Instance.ID, slowFactor, (a.Duration / 3).Round(time.Millisecond), (2 * a.Duration / 3).Round(time.Millisecond))
	slow := make(chan error, 1)
	go func() { slow <- a.slow(ctx, fleet.Members[0].Worker) }()
	result := caller.Run(ctx)
	if err := <-slow; err != nil {
		return result, fmt.Errorf("slow a worker: %w", err)
	}
	return result, nil
}

// slow makes a worker slow for the middle third of the demo.
func (a *demoArgs) slow(ctx context.Context, w standin.RemoteWorker) error {
	for _, query := range []string{fmt.Sprintf("factor=%d", slowFactor), "factor=1"} {
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

// end asks the daemons to end and says how that went.
func (a *demoArgs) end(fleet *standin.Fleet) error {
	if a.Direct {
		return nil
	}
	if err := fleet.Shutdown(shutdownTime); err != nil {
		return fmt.Errorf("graceful end of the daemons: %w", err)
	}
	fmt.Println("all daemons ended on SIGTERM")
	return nil
}
