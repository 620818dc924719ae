package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"pomelodoor.example/pomelodoor/platform/platformtest"
)

const (
	// DefaultMachines is the default number of daemons.
	DefaultMachines = 6
	// DefaultLength is the default length of a run.
	DefaultLength     = 30 * time.Second
	callersPerMachine = 2
	// meanPause is the mean pause between two requests of a caller.
	meanPause = 40 * time.Millisecond
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 1200 * time.Millisecond
	// resendDelay is how long a caller waits before it resends, with a new token, a
	// request that was reported as not run.
	resendDelay = 50 * time.Millisecond
	// crashInterval is the pause between two sends of a crashing request.
	crashInterval = 200 * time.Millisecond
	// maxBodyBytes bounds the length of a request body.
	maxBodyBytes = 200 << 10
)

// Config configures a run. Zero values of Machines and Length select the defaults.
type Config struct {
	// Daemon is the path of the built daemon, and Logs an existing directory for the
	// logs of the daemons.
	Daemon string
	Logs   string
	Seed   uint64
	// Machines is the number of machines, each with one daemon and one upstream.
	Machines int
	Length   time.Duration
	// Events, if not nil, replaces the plan drawn from the seed.
	Events []Event
	// NoCold leaves out that upstreams are cold after their start, for daemons of a build
	// that does not limit what it sends to them.
	NoCold bool
	// NoMemoryBound leaves out the check of the daemons' memory, for daemons of a build that
	// does not limit it.
	NoMemoryBound bool
	// NoEvacuations leaves evacuations out, for daemons of a build that does not know them.
	NoEvacuations bool
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Events   []Event
	Requests int
	Served   int
	// NotRun counts the requests that were reported to callers as not run.
	NotRun int
	Runs   int
	// ColdArrivals counts the requests and probes that reached cold upstreams, and ColdMost
	// is the largest number of them at one upstream within a second.
	ColdArrivals, ColdMost int
	Evacuations            []EvacuationReport
	// MemoryMost is the most resident memory of a daemon in MB, or 0 if it cannot be read.
	MemoryMost int
	// ReadyAfter is the time from the start of the fleet until all daemons were ready.
	ReadyAfter time.Duration
	Violations []Violation
}

// Run performs the run of one seed. It returns an error only if the run could not be
// completed; violations are listed in the report. All processes that it started have
// ended when it returns.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Machines == 0 {
		cfg.Machines = DefaultMachines
	}
	if cfg.Length == 0 {
		cfg.Length = DefaultLength
	}
	h := newHistory()
	if !cfg.NoMemoryBound {
		h.memoryBound = daemonMemoryMB
	}
	if cfg.Events == nil {
		cfg.Events = Plan(cfg.Seed, cfg.Machines, cfg.Length)
	}
	if cfg.NoEvacuations {
		cfg.Events = slices.DeleteFunc(slices.Clone(cfg.Events), func(e Event) bool { return e.Kind == Evacuation })
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
	report.ReadyAfter = time.Since(began)
	f.playEvents(ctx, report.Events)
	f.close()
	if err := ctx.Err(); err != nil {
		return report, fmt.Errorf("run seed %d: %w", cfg.Seed, err)
	}
	h.periods = f.periods
	for _, m := range f.machines {
		for _, w := range m.workers() {
			h.runs = append(h.runs, w.Runs()...)
			h.addCold(w.ColdArrivals())
		}
	}
	report.Requests, report.Runs = len(h.exchanges), len(h.runs)
	report.ColdArrivals, report.ColdMost = h.coldArrivals, h.coldMost
	report.Evacuations, report.MemoryMost = h.evacuations(), h.memoryMost
	for _, e := range h.exchanges {
		switch {
		case e.result.Served():
			report.Served++
		case e.result.NotRun:
			report.NotRun++
		}
	}
	report.Violations = append(f.violations, h.check()...)
	return report, nil
}

// playEvents runs the events under load from callers, waits until all faults have
// ended, and keeps the load up to the end of the run.
func (f *fleet) playEvents(ctx context.Context, events []Event) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, start.Add(f.cfg.Length))
	defer cancel()
	var callers sync.WaitGroup
	for i, m := range f.machines {
		for j := range callersPerMachine {
			rng := rand.New(rand.NewPCG(f.cfg.Seed, uint64(100+i*callersPerMachine+j)))
			callers.Go(func() { f.runCaller(ctx, m, rng) })
		}
	}
	callers.Go(func() { f.watchMemory(ctx) })
	for _, e := range events {
		if !sleep(ctx, time.Until(start.Add(e.At))) {
			break
		}
		f.startEvent(e)
	}
	f.tasks.Wait()
	f.history.faultsEnded = time.Now()
	callers.Wait()
}

// sleep waits for the given time. It returns false if the context ends first.
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

// runCaller sends requests to one machine, one at a time, until the run ends.
func (f *fleet) runCaller(ctx context.Context, m *machine, rng *rand.Rand) {
	caller := platformtest.NewCaller()
	defer caller.Close()
	for sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanPause))) {
		req := newRequest(rng)
		if f.send(caller, m, req).result.NotRun && sleep(ctx, resendDelay) {
			req.Token = newToken(rng)
			f.send(caller, m, req)
		}
	}
}

func (f *fleet) send(caller *platformtest.Caller, m *machine, req platformtest.Request) exchange {
	e := exchange{request: req, origin: m.service, sent: time.Now()}
	e.result = caller.Send(hostPort(m.publicIP, f.ports.listen), req)
	e.done = time.Now()
	f.history.addExchange(e)
	return e
}

// sendCrashing repeatedly sends a request that crashes upstreams, each time to a random
// machine.
func (f *fleet) sendCrashing(e Event) {
	caller := platformtest.NewCaller()
	defer caller.Close()
	rng := rand.New(rand.NewPCG(f.cfg.Seed, uint64(e.At)))
	path := lookupPath + strings.TrimPrefix(platformtest.CrashPath, "/") + newToken(rng)
	for end := time.Now().Add(e.Duration); time.Now().Before(end); time.Sleep(crashInterval) {
		m := f.machines[rng.IntN(len(f.machines))]
		f.send(caller, m, platformtest.Request{Token: newToken(rng), Method: http.MethodGet, Path: path, Timeout: callerTimeout})
	}
	// The last request may still start to run.
	time.Sleep(callerTimeout)
}

// newRequest draws a random request.
func newRequest(rng *rand.Rand) platformtest.Request {
	req := platformtest.Request{Token: newToken(rng), Method: http.MethodGet, Timeout: callerTimeout}
	number := strconv.Itoa(rng.IntN(1000))
	switch rng.IntN(10) {
	case 0, 1, 2, 3:
		req.Path = lookupPath + number
	case 4, 5, 6:
		req.Method, req.Path, req.Body = http.MethodPost, orderPath+number+"?n="+number, "order "+number
	case 7:
		req.Method, req.Path, req.Body = http.MethodPut, orderPath+number, strings.Repeat(number+" ", rng.IntN(maxBodyBytes/4))
	default:
		req.Path = movingPath + number
	}
	return req
}

func newToken(rng *rand.Rand) string { return fmt.Sprintf("%016x", rng.Uint64()) }
