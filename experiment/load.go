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
	// callDeadline is the maximum duration of a call.
	callDeadline = time.Second
	// answerBytes is the number of filler bytes in each answer.
	answerBytes = 512
	// orderShare is the share of calls that are orders without an idempotency key,
	// which may run only once; the others are lookups.
	orderShare = 0.1
	orderBytes = 128
	// tokenParts is the number of parts in a token: a fixed prefix, the index of the
	// daemon, the intended time of sending and a sequence number.
	tokenParts = 4
	// favouredZoneBias is the probability in case Shifting that a daemon outside the
	// favoured zone is redrawn. rateSwing is the maximum relative change of a
	// service's rate in each direction.
	favouredZoneBias = 0.8
	rateSwing        = 0.6
)

// loadGenerator sends the calls to one service.
type loadGenerator struct {
	fleet  *Fleet
	caller *standin.Caller
	rate   float64
	rng    *rand.Rand
	log    *callLog

	// nextShift, rateFactor and favouredZone change in case Shifting.
	nextShift    time.Time
	rateFactor   float64
	favouredZone string
}

// newLoadGenerator returns the load generator for the service with index n.
func newLoadGenerator(f *Fleet, n int, log *callLog) (*loadGenerator, error) {
	service := f.size.Services[n]
	var targets []string
	for _, u := range f.upstreams {
		targets = append(targets, u.listen)
	}
	caller, err := standin.NewCaller(standin.CallerConfig{Name: "caller", Service: service.Name, Targets: targets})
	if err != nil {
		return nil, fmt.Errorf("create callers of %s: %w", service.Name, err)
	}
	return &loadGenerator{
		fleet: f, caller: caller, log: log, rateFactor: 1,
		rate: f.cfg.Load * float64(service.Upstreams*f.size.Slots) / f.cfg.ServiceTime.Seconds(),
		rng:  rand.New(rand.NewPCG(f.cfg.Seed, uint64(n)<<8)),
	}, nil
}

// run sends calls open-loop, at times that do not depend on answers, and waits for
// the last answer.
func (l *loadGenerator) run(ctx context.Context, start time.Time, duration time.Duration) {
	defer l.caller.Close()
	var calls sync.WaitGroup
	defer calls.Wait()
	next := start
	for n := 0; ; n++ {
		l.shiftLoad(next)
		gap := l.rng.ExpFloat64() / (l.rate * l.rateFactor)
		next = next.Add(time.Duration(gap * float64(time.Second)))
		if next.Sub(start) > duration || wait(ctx, time.Until(next)) != nil {
			return
		}
		daemon := l.drawDaemon()
		r := standin.Request{
			Token: fmt.Sprintf("t-%d-%d-%d", daemon, next.UnixNano(), n), Method: "GET", Path: "/history",
			ResponseBytes: answerBytes, Deadline: callDeadline,
		}
		if l.rng.Float64() < orderShare {
			r.Method, r.Path, r.BodyBytes = "POST", "/orders", orderBytes
		}
		target, intended := l.fleet.upstreams[daemon], next
		calls.Go(func() {
			x := l.caller.Send(target.listen, r, 0)
			x.IntendedUs = intended.UnixMicro()
			l.log.add(x, target.zone)
		})
	}
}

// shiftLoad changes the favoured zone and the rate at random times in case Shifting,
// and does nothing in other cases.
func (l *loadGenerator) shiftLoad(now time.Time) {
	if l.fleet.cfg.Case != Shifting || now.Before(l.nextShift) {
		return
	}
	l.nextShift = now.Add(time.Duration(l.rng.ExpFloat64() * float64(meanShiftGap)))
	l.rateFactor = 1 + rateSwing*(2*l.rng.Float64()-1)
	l.favouredZone = l.fleet.size.Zones[l.rng.IntN(len(l.fleet.size.Zones))]
}

// drawDaemon draws the index of the daemon that the next call is sent to.
func (l *loadGenerator) drawDaemon() int {
	for {
		n := l.rng.IntN(len(l.fleet.upstreams))
		if l.favouredZone == "" || l.fleet.upstreams[n].zone == l.favouredZone || l.rng.Float64() > favouredZoneBias {
			return n
		}
	}
}

// callLog collects the results of calls as seen by the callers.
type callLog struct {
	// measuredFrom is the start of the measured time.
	measuredFrom  time.Time
	upstreamZones map[string]string

	mu        sync.Mutex
	history   []standin.Exchange
	latency   *hdrhistogram.Histogram
	sent      int
	answered  int
	crossZone int
	failures  map[Failure]int
}

func newCallLog(f *Fleet, measuredFrom time.Time) *callLog {
	log := &callLog{measuredFrom: measuredFrom, upstreamZones: map[string]string{}, latency: standin.NewLatencyHistogram(), failures: map[Failure]int{}}
	for _, u := range f.upstreams {
		log.upstreamZones[u.id] = u.zone
	}
	return log
}

// add records one call. The latency of a failed call counts as at least its deadline,
// so that failing immediately does not look fast.
func (l *callLog) add(x standin.Exchange, daemonZone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, x)
	if x.IntendedUs < l.measuredFrom.UnixMicro() {
		return
	}
	l.sent++
	took := x.EndUs - x.IntendedUs
	if x.Verdict != standin.VerdictOK {
		_ = l.latency.RecordValue(max(took, callDeadline.Microseconds()))
		l.failures[Failure{Verdict: x.Verdict, Outcome: x.Outcome, Reason: x.Reason}]++
		return
	}
	_ = l.latency.RecordValue(max(took, 0))
	l.answered++
	if l.upstreamZones[x.Worker] != daemonZone {
		l.crossZone++
	}
}
