package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"pomelodoor.example/pomelodoor/standin"
)

type callArgs struct {
	Targets  []string      `arg:"--target,separate,required" help:"address of a daemon, or of a worker with --direct; repeatable"`
	Workers  []string      `arg:"--worker,separate" help:"admin address of a worker whose record is checked; repeatable"`
	Service  string        `help:"service, sent as Host" default:"faults"`
	Name     string        `help:"name of the caller" default:"dispatch"`
	Direct   bool          `help:"the targets are workers"`
	Rate     float64       `help:"requests a second" default:"150"`
	Duration time.Duration `help:"how long to call" default:"10s"`
	Deadline time.Duration `help:"how long each request may take" default:"2s"`
	Resends  int           `help:"how often a request is sent again" default:"2"`
	Seed     uint64        `help:"seed of the sequence of requests" default:"1"`
	History  string        `help:"file that the history is written to, as JSON"`
}

func (a *callArgs) run(ctx context.Context) error {
	caller, err := standin.NewCaller(standin.CallerConfig{
		Name: a.Name, Service: a.Service, Targets: a.Targets, Direct: a.Direct,
		RatePerSecond: a.Rate, Duration: a.Duration, Deadline: a.Deadline, Seed: a.Seed,
		Resend: standin.ResendPolicy{MaxResends: a.Resends, Delay: 50 * time.Millisecond},
	})
	if err != nil {
		return err
	}
	defer caller.Close()
	result := caller.Run(ctx)
	if err := a.writeHistory(result.History); err != nil {
		return err
	}
	executions, err := a.fetchExecutions()
	if err != nil {
		return err
	}
	return reportResult(result, executions, a.Direct || len(a.Workers) == 0)
}

// writeHistory writes the history to the file given by --history, if any.
func (a *callArgs) writeHistory(history []standin.Exchange) error {
	if a.History == "" {
		return nil
	}
	body, err := json.MarshalIndent(history, "", " ")
	if err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	if err := os.WriteFile(a.History, body, 0o644); err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	return nil
}

// fetchExecutions returns the execution records of the workers given by --worker.
// Without them only the responses can be checked, not the reported outcomes.
func (a *callArgs) fetchExecutions() ([]standin.Execution, error) {
	var out []standin.Execution
	for _, addr := range a.Workers {
		got, err := standin.RemoteWorker{Admin: addr}.Executions()
		if err != nil {
			return nil, fmt.Errorf("fetch executions: %w", err)
		}
		out = append(out, got.Executions...)
	}
	return out, nil
}
