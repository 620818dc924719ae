// Command standin runs the test stand-ins of the systems around pomelodoor,
// and the demo, which starts all of them and the daemons on this machine.
//
//	go run ./cmd/standin demo
//	go run ./cmd/standin added
//	go run ./cmd/standin soak --seeds 10
//	go run ./cmd/standin plot --out day.svg --name before --name after a.json b.json
//	go run ./cmd/standin platform --listen 127.0.0.1:7000
//	go run ./cmd/standin worker --listen 127.0.0.1:7100 --id faults-1
//	go run ./cmd/standin call --service faults --target 127.0.0.1:8000
//
// It exits with 1 when a promise broke or a step failed, and with 2 on wrong
// flags.
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

// errPromiseBroken ends a run in which callers were let down.
var errPromiseBroken = errors.New("a promise broke")

// errBadFlag is returned for a flag whose value cannot be.
var errBadFlag = errors.New("flag out of range")

type args struct {
	Platform *platformArgs `arg:"subcommand:platform" help:"serve documents and the list of instances"`
	Worker   *workerArgs   `arg:"subcommand:worker" help:"serve requests as an upstream"`
	Call     *callArgs     `arg:"subcommand:call" help:"offer load and check each answer"`
	Added    *addedArgs    `arg:"subcommand:added" help:"measure what the path of two daemons adds to a direct call"`
	Soak     *soakArgs     `arg:"subcommand:soak" help:"let faults befall real daemons and check the promises"`
	Plot     *plotArgs     `arg:"subcommand:plot" help:"draw days of the users' bench, one version or several side by side"`
	Demo     *demoArgs     `arg:"subcommand:demo" help:"start a service with its daemons, call it and check the promises"`
}

// Description is the head of the help text.
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
	if errors.Is(err, errBadFlag) {
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
	return fmt.Errorf("no command: %w", errBadFlag)
}

// serve tells the addresses and waits until the process is asked to end, or
// until limit is over.
func serve(ctx context.Context, told standin.Announcement, limit time.Duration) error {
	if err := json.NewEncoder(os.Stdout).Encode(told); err != nil {
		return fmt.Errorf("tell address: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	<-ctx.Done()
	return nil
}
