package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"pomelodoor.example/pomelodoor/platform/platformtest"
)

const (
	// DefaultMachines is the number of daemons of a usual run.
	DefaultMachines = 6
	// DefaultLength is the length of a usual run.
	DefaultLength = 30 * time.Second
	// callersEach is the number of callers beside each machine.
	callersEach = 2
	// pause is the mean pause between two requests of a caller.
	pause = 40 * time.Millisecond
	// waitFor is how long a caller waits for an answer.
	waitFor = 1200 * time.Millisecond
	// comeBack is how long a caller that was told not run waits before it sends
	// the request again, under another name.
	comeBack = 50 * time.Millisecond
	// crashPause is the pause before a request that crashes upstreams comes again.
	crashPause = 200 * time.Millisecond
	// longBody is the length of the longest body.
	longBody = 200 << 10
)

// Config sets up a run. Zero values take the defaults.
type Config struct {
	// Daemon is the built program, and Logs an existing directory for its logs.
	Daemon string
	Logs   string
	Seed   uint64
	// Machines is the number of daemons.
	Machines int
	Length   time.Duration
	// Events are played in place of the seed's plan when they are not nil.
	Events []Event
}

// Report is what a run showed.
type Report struct {
	Seed     uint64
	Events   []Event
	Requests int
	Served   int
	// Refused counts what was promised not to have run.
	Refused int
	Runs    int
	// Ready is how long the fleet took until all daemons were ready.
	Ready      time.Duration
	Violations []Violation
}

// Run plays one seed. The error says why it could not be played; what broke stands
// in the report. Every process that it started has ended when it returns.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Machines == 0 {
		cfg.Machines = DefaultMachines
	}
	if cfg.Length == 0 {
		cfg.Length = DefaultLength
	}
	h := newHistory()
	if cfg.Events == nil {
		cfg.Events = Plan(cfg.Seed, cfg.Machines, cfg.Length)
	}
	report := Report{Seed: cfg.Seed, Events: cfg.Events}
	began := time.Now()
	f, err := newFleet(cfg, h)
	if err != nil {
		f.close()
		return report, fmt.Errorf("start the fleet: %w", err)
	}
	if err := f.waitReady(ctx); err != nil {
		f.close()
		return report, err
	}
	report.Ready = time.Since(began)
	f.play(ctx, report.Events)
	f.close()
	if err := ctx.Err(); err != nil {
		return report, fmt.Errorf("play seed %d: %w", cfg.Seed, err)
	}
	h.spells = f.spells
	for _, m := range f.machines {
		for _, w := range m.workers() {
			h.runs = append(h.runs, w.Runs()...)
		}
	}
	report.Requests, report.Runs = len(h.exchanges), len(h.runs)
	for _, e := range h.exchanges {
		switch {
		case e.told.Served():
			report.Served++
		case e.told.NotRun:
			report.Refused++
		}
	}
	report.Violations = append(f.violations, h.check()...)
	return report, nil
}

// play lets the events happen under the load of callers, and then calm return.
func (f *fleet) play(ctx context.Context, events []Event) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, start.Add(f.cfg.Length))
	defer cancel()
	var callers sync.WaitGroup
	for i, m := range f.machines {
		for j := range callersEach {
			rng := rand.New(rand.NewPCG(f.cfg.Seed, uint64(100+i*callersEach+j)))
			callers.Go(func() { f.call(ctx, m, rng) })
		}
	}
	for _, e := range events {
		if !sleep(ctx, time.Until(start.Add(e.At))) {
			break
		}
		f.befall(e)
	}
	f.work.Wait()
	f.history.calmFrom = time.Now()
	callers.Wait()
}

// sleep waits, and reports whether the context goes on.
func sleep(ctx context.Context, wait time.Duration) bool {
	t := time.NewTimer(max(wait, 0))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// call sends requests to one machine, one after the other, until the run ends.
func (f *fleet) call(ctx context.Context, m *machine, rng *rand.Rand) {
	caller := platformtest.NewCaller()
	defer caller.Close()
	for sleep(ctx, time.Duration(rng.ExpFloat64()*float64(pause))) {
		a := ask(rng)
		if f.send(caller, m, a).told.NotRun && sleep(ctx, comeBack) {
			a.Token = token(rng)
			f.send(caller, m, a)
		}
	}
}

func (f *fleet) send(caller *platformtest.Caller, m *machine, a platformtest.Ask) exchange {
	e := exchange{ask: a, origin: m.service, sent: time.Now()}
	e.told = caller.Send(at(m.outer, f.ports.listen), a)
	e.done = time.Now()
	f.history.add(e)
	return e
}

// sendCrashing sends one request that crashes upstreams again and again, to one
// machine after the other.
func (f *fleet) sendCrashing(e Event) {
	caller := platformtest.NewCaller()
	defer caller.Close()
	rng := rand.New(rand.NewPCG(f.cfg.Seed, uint64(e.At)))
	path := lookPath + strings.TrimPrefix(platformtest.CrashPath, "/") + token(rng)
	for end := time.Now().Add(e.For); time.Now().Before(end); time.Sleep(crashPause) {
		m := f.machines[rng.IntN(len(f.machines))]
		f.send(caller, m, platformtest.Ask{Token: token(rng), Method: http.MethodGet, Path: path, Wait: waitFor})
	}
	// What was sent last may still begin to run.
	time.Sleep(waitFor)
}

// ask draws a request.
func ask(rng *rand.Rand) platformtest.Ask {
	a := platformtest.Ask{Token: token(rng), Method: http.MethodGet, Wait: waitFor}
	number := strconv.Itoa(rng.IntN(1000))
	switch rng.IntN(10) {
	case 0, 1, 2, 3:
		a.Path = lookPath + number
	case 4, 5, 6:
		a.Method, a.Path, a.Body = http.MethodPost, orderPath+number+"?n="+number, "order "+number
	case 7:
		a.Method, a.Path, a.Body = http.MethodPut, orderPath+number, strings.Repeat(number+" ", rng.IntN(longBody/4))
	default:
		a.Path = movingPath + number
	}
	return a
}

func token(rng *rand.Rand) string { return fmt.Sprintf("%016x", rng.Uint64()) }
