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
	// Load is the offered load as a share of all slots.
	Load   float64
	Policy Policy
	// Seed makes the calls, the service times and the links' delays repeat.
	Seed uint64
	// ServiceTime is the mean time that a call holds its slot.
	ServiceTime time.Duration
	// Warm is offered before Duration, which is measured.
	Warm, Duration time.Duration
}

// Result is what one run has shown.
type Result struct {
	// Latency counts microseconds from the moment at which a call should have
	// been sent. A call without a whole answer counts with its deadline.
	Latency *hdrhistogram.Histogram
	// Sent counts the calls of the measured time, and Answered those with a
	// whole answer of their own.
	Sent, Answered int
	// CrossZone counts answers from another zone than that of the daemon
	// called.
	CrossZone int
	// Faults counts the other calls by what the callers were told.
	Faults map[Fault]int
	// Duration is the measured time, and Upstreams the number of daemons.
	Duration  time.Duration
	Upstreams int
	// Spent is what all daemons spent in the measured time.
	Spent Spent
	// Violations are broken promises over the whole run.
	Violations []standin.Violation
}

// Fault is what a caller was told that got no whole answer.
type Fault struct {
	Verdict standin.Verdict
	Outcome call.Outcome
	Reason  call.Reason
}

// Spent counts what daemons do beside passing calls on.
type Spent struct {
	Attempts, Further, HandedOn int64
	Probes                      int64
	// ControlBytes are those between daemons, and the bytes of a policy's own
	// polls.
	ControlBytes  int64
	PlatformReads int64
}

// sub returns what was spent since earlier.
func (s Spent) sub(earlier Spent) Spent {
	return Spent{
		Attempts: s.Attempts - earlier.Attempts, Further: s.Further - earlier.Further,
		HandedOn: s.HandedOn - earlier.HandedOn, Probes: s.Probes - earlier.Probes,
		ControlBytes: s.ControlBytes - earlier.ControlBytes, PlatformReads: s.PlatformReads - earlier.PlatformReads,
	}
}

// Goodput returns the whole answers in a second.
func (r Result) Goodput() float64 { return float64(r.Answered) / r.Duration.Seconds() }

// PerUpstream returns a count as one for each upstream and second.
func (r Result) PerUpstream(count int64) float64 {
	return float64(count) / r.Duration.Seconds() / float64(r.Upstreams)
}

// Run starts a fleet, measures it and ends it.
func Run(ctx context.Context, cfg RunConfig) (Result, error) {
	f, err := Start(ctx, cfg)
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	return f.Measure(ctx)
}

// settleTime lets attempts whose answers nobody waits for come to their end.
const settleTime = 100 * time.Millisecond

// Measure offers load to a fleet and lets the fault of the case begin a quarter
// into the measured time. A fleet is measured once.
func (f *Fleet) Measure(ctx context.Context) (Result, error) {
	f.polls.start()
	start := time.Now()
	log := newCallLog(f, start.Add(f.cfg.Warm))
	var loaders []*loader
	for n := range f.size.Services {
		l, err := newLoader(f, n, log)
		if err != nil {
			return Result{}, fmt.Errorf("measure %s: %w", f.cfg.Case, err)
		}
		loaders = append(loaders, l)
	}
	var all sync.WaitGroup
	for _, l := range loaders {
		all.Go(func() { l.run(ctx, start, f.cfg.Warm+f.cfg.Duration) })
	}
	spent := f.course(ctx, start)
	all.Wait()
	f.polls.close()
	f.links.Cut("")
	if err := wait(ctx, settleTime); err != nil {
		return Result{}, fmt.Errorf("measure %s: %w", f.cfg.Case, err)
	}
	return f.result(log, spent), nil
}

// course waits through the run, lets the fault begin, and returns what was
// spent in the measured time.
func (f *Fleet) course(ctx context.Context, start time.Time) Spent {
	measured := start.Add(f.cfg.Warm)
	_ = wait(ctx, time.Until(measured))
	before := f.spent()
	_ = wait(ctx, time.Until(measured.Add(f.cfg.Duration/4)))
	f.strike(f.cfg.Case, time.Now())
	_ = wait(ctx, time.Until(measured.Add(f.cfg.Duration)))
	return f.spent().sub(before)
}

// spent adds up the daemons' counters and those of the policy's own polls.
func (f *Fleet) spent() Spent {
	s := Spent{Probes: f.polls.count.Load(), ControlBytes: f.polls.bytes.Load()}
	for _, u := range f.upstreams {
		vars := u.daemon.Vars()
		s.Attempts += counter(vars, "attempts")
		s.Further += counter(vars, "furtherAttempts")
		s.HandedOn += counter(vars, "handedOn")
		s.Probes += counter(vars, "probes")
		s.ControlBytes += counter(vars, "controlBytesOut")
		s.PlatformReads += counter(vars, "platformReads")
	}
	return s
}

// counter reads one of a daemon's counters.
func counter(vars *expvar.Map, name string) int64 {
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

// result puts together what the callers, the daemons and the workers saw.
func (f *Fleet) result(log *callLog, spent Spent) Result {
	log.mu.Lock()
	defer log.mu.Unlock()
	var executions []standin.Execution
	for _, u := range f.upstreams {
		executions = append(executions, u.worker.Executions()...)
	}
	return Result{
		Latency: log.latency, Sent: log.sent, Answered: log.fine, CrossZone: log.cross, Faults: log.faults,
		Duration: f.cfg.Duration, Upstreams: len(f.upstreams), Spent: spent,
		Violations: standin.Check(log.history, executions, false),
	}
}
