package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pomelodoor.example/pomelodoor/standin"
)

const (
	// callDeadline is how long each call may take.
	callDeadline = time.Second
	// answerBytes is the size of each answer.
	answerBytes = 512
	// orderShare is the share of calls that are orders without a key, which
	// may run only once; the others are lookups.
	orderShare = 0.1
	orderBytes = 128
	// tokenParts is the number of parts in a token: the caller's name, the
	// daemon's number, the time of sending and a running number.
	tokenParts = 4
	// favoured is the share of calls that come from one zone while the load
	// shifts, and swing how far a service's rate goes up and down.
	favoured = 0.8
	swing    = 0.6
)

// loader offers the load of one service.
type loader struct {
	fleet  *Fleet
	caller *standin.Caller
	rate   float64
	rng    *rand.Rand
	log    *callLog

	// shiftAt, pace and zone serve the case Shifting.
	shiftAt time.Time
	pace    float64
	zone    string
}

// newLoader prepares the callers of the service with number n.
func newLoader(f *Fleet, n int, log *callLog) (*loader, error) {
	service := f.size.Services[n]
	var targets []string
	for _, u := range f.upstreams {
		targets = append(targets, u.listen)
	}
	caller, err := standin.NewCaller(standin.CallerConfig{Name: "caller", Service: service.Name, Targets: targets})
	if err != nil {
		return nil, fmt.Errorf("callers of %s: %w", service.Name, err)
	}
	return &loader{
		fleet: f, caller: caller, log: log, pace: 1,
		rate: f.cfg.Load * float64(service.Upstreams*f.size.Slots) / f.cfg.ServiceTime.Seconds(),
		rng:  rand.New(rand.NewPCG(f.cfg.Seed, uint64(n)<<8)),
	}, nil
}

// run offers calls at times that do not depend on answers, and waits for the
// last answer.
func (l *loader) run(ctx context.Context, start time.Time, d time.Duration) {
	defer l.caller.Close()
	var calls sync.WaitGroup
	defer calls.Wait()
	at := start
	for n := 0; ; n++ {
		l.shift(at)
		gap := l.rng.ExpFloat64() / (l.rate * l.pace)
		at = at.Add(time.Duration(gap * float64(time.Second)))
		if at.Sub(start) > d || wait(ctx, time.Until(at)) != nil {
			return
		}
		daemon := l.daemon()
		r := standin.Request{
			Token: fmt.Sprintf("t-%d-%d-%d", daemon, at.UnixNano(), n), Method: "GET", Path: "/history",
			Answer: answerBytes, Deadline: callDeadline,
		}
		if l.rng.Float64() < orderShare {
			r.Method, r.Path, r.Body = "POST", "/orders", orderBytes
		}
		target, due := l.fleet.upstreams[daemon], at
		calls.Go(func() {
			x := l.caller.Send(target.listen, r, 0)
			x.IntendedUs = due.UnixMicro()
			l.log.add(x, target.zone)
		})
	}
}

// shift moves the load to other zones and services now and then, if the case
// wants that.
func (l *loader) shift(now time.Time) {
	if l.fleet.cfg.Case != Shifting || now.Before(l.shiftAt) {
		return
	}
	l.shiftAt = now.Add(time.Duration(l.rng.ExpFloat64() * float64(shiftEvery)))
	l.pace = 1 + swing*(2*l.rng.Float64()-1)
	l.zone = l.fleet.size.Zones[l.rng.IntN(len(l.fleet.size.Zones))]
}

// daemon draws the daemon that the next call is sent to.
func (l *loader) daemon() int {
	for {
		n := l.rng.IntN(len(l.fleet.upstreams))
		if l.zone == "" || l.fleet.upstreams[n].zone == l.zone || l.rng.Float64() > favoured {
			return n
		}
	}
}

// callLog gathers what the callers see.
type callLog struct {
	// from is when the measured time begins.
	from  time.Time
	zones map[string]string

	mu      sync.Mutex
	history []standin.Exchange
	latency *hdrhistogram.Histogram
	sent    int
	fine    int
	cross   int
	faults  map[Fault]int
}

func newCallLog(f *Fleet, from time.Time) *callLog {
	log := &callLog{from: from, zones: map[string]string{}, latency: standin.NewLatency(), faults: map[Fault]int{}}
	for _, u := range f.upstreams {
		log.zones[u.id] = u.zone
	}
	return log
}

// add counts one call. One without a whole answer counts as having taken no
// less than its deadline, so that failing at once does not look quick.
func (l *callLog) add(x standin.Exchange, from string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, x)
	if x.IntendedUs < l.from.UnixMicro() {
		return
	}
	l.sent++
	took := x.EndUs - x.IntendedUs
	if x.Verdict != standin.Fine {
		_ = l.latency.RecordValue(max(took, callDeadline.Microseconds()))
		l.faults[Fault{Verdict: x.Verdict, Outcome: x.Outcome, Reason: x.Reason}]++
		return
	}
	_ = l.latency.RecordValue(max(took, 0))
	l.fine++
	if l.zones[x.Worker] != from {
		l.cross++
	}
}
