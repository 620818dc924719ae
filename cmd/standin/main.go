// Command standin runs test stand-ins for the systems around pomelodoor (the
// platform, workers and callers) and a demo that starts them together with the
// daemons on this machine.
//
//	go run ./cmd/standin demo
//	go run ./cmd/standin added
//	go run ./cmd/standin soak --seeds 10
//	go run ./cmd/standin plot --out day.svg --name before --name after a.json b.json
//	go run ./cmd/standin platform --listen 127.0.0.1:7000
//	go run ./cmd/standin worker --listen 127.0.0.1:7100 --id faults-1
//	go run ./cmd/standin call --service faults --target 127.0.0.1:8000
//
// The exit status is 1 if a promise is broken or a step fails, and 2 for invalid
// arguments.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"pomelodoor.example/pomelodoor/standin"
)

// errPromisesBroken is returned for a run in which the daemons broke a promise to
// a caller.
var errPromisesBroken = errors.New("promises broken")

// errInvalidArgs is returned for a missing subcommand and for flag values out of
// range.
var errInvalidArgs = errors.New("invalid arguments")

type args struct {
	Platform *platformArgs `arg:"subcommand:platform" help:"serve documents and the list of instances"`
	Worker   *workerArgs   `arg:"subcommand:worker" help:"serve requests as an upstream"`
	Call     *callArgs     `arg:"subcommand:call" help:"offer load and check each answer"`
	Added    *addedArgs    `arg:"subcommand:added" help:"measure what the path of two daemons adds to a direct call"`
	Soak     *soakArgs     `arg:"subcommand:soak" help:"let faults befall real daemons and check the promises"`
	Plot     *plotArgs     `arg:"subcommand:plot" help:"draw days of the users' bench, one version or several side by side"`
	Demo     *demoArgs     `arg:"subcommand:demo" help:"start a service with its daemons, call it and check the promises"`
}

// Description returns the head of the help text.
func (args) Description() string {
	return "Test stand-ins of the systems around pomelodoor. They listen on loopback only.\n"
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, a, parser)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "standin:", err)
	stop()
	if errors.Is(err, errInvalidArgs) {
		os.Exit(2)
	}
	os.Exit(1)
}

func run(ctx context.Context, a args, parser *arg.Parser) error {
	switch {
	case a.Platform != nil:
		return a.Platform.run(ctx)
	case a.Worker != nil:
		return a.Worker.run(ctx)
	case a.Call != nil:
		return a.Call.run(ctx)
	case a.Added != nil:
		return a.Added.run(ctx)
	case a.Soak != nil:
		return a.Soak.run(ctx)
	case a.Plot != nil:
		return a.Plot.run()
	case a.Demo != nil:
		return a.Demo.run(ctx)
	}
	parser.WriteHelp(os.Stderr)
	return fmt.Errorf("no subcommand: %w", errInvalidArgs)
}

// serve prints the announcement and blocks until ctx is canceled or limit has
// passed.
func serve(ctx context.Context, announcement standin.Announcement, limit time.Duration) error {
	if err := json.NewEncoder(os.Stdout).Encode(announcement); err != nil {
		return fmt.Errorf("announce addresses: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	<-ctx.Done()
	return nil
}
