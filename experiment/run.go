package experiment

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/standin"
)

// RunConfig describes one run.
type RunConfig struct {
	Size Size
	Case Case
	// Load is the offered load relative to the capacity of all slots.
	Load   float64
	Policy Policy
	// Seed determines the calls, the service times and the links' delays.
	Seed uint64
	// ServiceTime is the mean time that a call occupies a slot.
	ServiceTime time.Duration
	// WarmUp is the time under load before the measured time, which is Duration.
	WarmUp, Duration time.Duration
}

// Result holds the measurements of one run.
type Result struct {
	// Latency is in microseconds, from the intended time of sending. A failed call
	// counts with at least its deadline.
	Latency *hdrhistogram.Histogram
	// Sent counts the calls in the measured time, and Answered those that got a
	// complete and correct answer.
	Sent, Answered int
	// CrossZone counts answers from a zone other than that of the daemon called.
	CrossZone int
	// Failures counts the calls that were not answered, by kind of failure.
	Failures map[Failure]int
	// Duration is the measured time, and Upstreams the number of daemons.
	Duration  time.Duration
	Upstreams int
	// Overhead is the overhead of all daemons in the measured time.
	Overhead Overhead
	// Violations lists the promises broken during the whole run.
	Violations []standin.Violation
}

// Failure is what a caller observed of a call that was not answered.
type Failure struct {
	Verdict standin.Verdict
	Outcome call.Outcome
	Reason  call.Reason
}

// Overhead counts the attempts of the daemons and their work beyond forwarding calls.
type Overhead struct {
	Attempts, FurtherAttempts, HandedOn int64
	Probes                              int64
	// ControlBytes counts the bytes of control traffic between daemons and of the
	// policy's own polls.
	ControlBytes  int64
	PlatformReads int64
}

// sub returns the difference to an earlier count.
func (o Overhead) sub(earlier Overhead) Overhead {
	return Overhead{
		Attempts: o.Attempts - earlier.Attempts, FurtherAttempts: o.FurtherAttempts - earlier.FurtherAttempts,
		HandedOn: o.HandedOn - earlier.HandedOn, Probes: o.Probes - earlier.Probes,
		ControlBytes: o.ControlBytes - earlier.ControlBytes, PlatformReads: o.PlatformReads - earlier.PlatformReads,
	}
}

// Goodput returns the answered calls per second.
func (r Result) Goodput() float64 { return float64(r.Answered) / r.Duration.Seconds() }

// PerUpstream converts a count to a rate per upstream and second.
func (r Result) PerUpstream(count int64) float64 {
	return float64(count) / r.Duration.Seconds() / float64(r.Upstreams)
}

// Run starts a fleet, measures it and closes it.
func Run(ctx context.Context, cfg RunConfig) (Result, error) {
	f, err := Start(ctx, cfg)
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	return f.Measure(ctx)
}

// abandonedAttemptWait gives attempts whose answers are no longer awaited time to end
// before the executions are collected.
const abandonedAttemptWait = 100 * time.Millisecond

// Measure offers load to the fleet and injects the fault of the case after a quarter
// of the measured time. It may be called only once for a fleet.
func (f *Fleet) Measure(ctx context.Context) (Result, error) {
	f.poller.start()
	start := time.Now()
	log := newCallLog(f, start.Add(f.cfg.WarmUp))
	var generators []*loadGenerator
	for n := range f.size.Services {
		l, err := newLoadGenerator(f, n, log)
		if err != nil {
			return Result{}, fmt.Errorf("measure %s: %w", f.cfg.Case, err)
		}
		generators = append(generators, l)
	}
	var all sync.WaitGroup
	for _, l := range generators {
		all.Go(func() { l.run(ctx, start, f.cfg.WarmUp+f.cfg.Duration) })
	}
	overhead := f.runCase(ctx, start)
	all.Wait()
	f.poller.close()
	f.links.IsolateZone("")
	if err := wait(ctx, abandonedAttemptWait); err != nil {
		return Result{}, fmt.Errorf("measure %s: %w", f.cfg.Case, err)
	}
	return f.result(log, overhead), nil
}

// runCase waits until the end of the run, injects the fault on time, and returns the
// overhead in the measured time.
func (f *Fleet) runCase(ctx context.Context, start time.Time) Overhead {
	measured := start.Add(f.cfg.WarmUp)
	_ = wait(ctx, time.Until(measured))
	before := f.overhead()
	_ = wait(ctx, time.Until(measured.Add(f.cfg.Duration/4)))
	f.injectFault(f.cfg.Case, time.Now())
	_ = wait(ctx, time.Until(measured.Add(f.cfg.Duration)))
	return f.overhead().sub(before)
}

// overhead sums the counters of the daemons and of the policy's own polls.
func (f *Fleet) overhead() Overhead {
	o := Overhead{Probes: f.poller.pollCount.Load(), ControlBytes: f.poller.pollBytes.Load()}
	for _, u := range f.upstreams {
		vars := u.daemon.Vars()
		o.Attempts += readCounter(vars, "attempts")
		o.FurtherAttempts += readCounter(vars, "furtherAttempts")
		o.HandedOn += readCounter(vars, "handedOn")
		o.Probes += readCounter(vars, "probes")
		o.ControlBytes += readCounter(vars, "controlBytesOut")
		o.PlatformReads += readCounter(vars, "platformReads")
	}
	return o
}

// readCounter returns the value of a counter of a daemon, or 0 if there is none.
func readCounter(vars *expvar.Map, name string) int64 {
	switch v := vars.Get(name).(type) {
	case *expvar.Int:
		return v.Value()
	case expvar.Func:
		if n, ok := v.Value().(int64); ok {
			return n
		}
	}
	return 0
}

// result combines the observations of the callers, the daemons and the workers.
func (f *Fleet) result(log *callLog, overhead Overhead) Result {
	log.mu.Lock()
	defer log.mu.Unlock()
	var executions []standin.Execution
	for _, u := range f.upstreams {
		executions = append(executions, u.worker.Executions()...)
	}
	return Result{
		Latency: log.latency, Sent: log.sent, Answered: log.answered, CrossZone: log.crossZone, Failures: log.failures,
		Duration: f.cfg.Duration, Upstreams: len(f.upstreams), Overhead: overhead,
		Violations: standin.Check(log.history, executions, false),
	}
}
