package balance

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A simulation that policies are compared on: a few daemons send open-loop calls
// over links to a few workers, each with slots and a first-in, first-out queue, in
// virtual time.

const (
	simQueue    = 100
	simService  = 10 * time.Millisecond
	simWarmUp   = 2 * time.Second
	simFault    = 5 * time.Second
	simLength   = 12 * time.Second
	simDeadline = time.Second // least latency counted for a failed or refused call
)

// size describes a service and the daemons that call it.
type size struct {
	workers []int // availability zone of each worker
	zones   int
	daemons int
	slots   int
	oneWay  time.Duration
}

type worker struct {
	zone, busy int
	queue      []*job
	factor     float64
	failing    bool
	state      State
	completed  int
	estimate   Estimate
	inTransit  int // calls on the link to it, for the oracle
}

type job struct {
	daemon, worker int
	sent, started  time.Duration
	work           float64
	result         Result
}

type daemon struct {
	zone      int
	picker    *Picker
	inFlight  []int // calls of this daemon in flight to each worker
	reports   []Load
	lastIndex int
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// policy chooses a worker for a call at daemon d.
type policy func(s *sim, d *daemon) int

// scenario describes the conditions of one run.
type scenario struct {
	size  size
	fault func(s *sim)
	load  float64
	lag   time.Duration
	seed  uint64
}

// figures holds the results of one run.
type figures struct {
	p50, p99, p999               time.Duration
	badPercent, crossZonePercent float64
}

type sim struct {
	scenario
	rand           *rand.Rand
	policy         policy
	now            time.Duration
	events         events
	workers        []*worker
	daemons        []*daemon
	candidates     []Candidate
	latency        *hdrhistogram.Histogram
	calls          int
	bad, crossZone int
}

func simulate(sc scenario, choose policy, config Config) figures {
	s := &sim{scenario: sc, policy: choose, rand: rand.New(rand.NewPCG(sc.seed, 7)),
		latency: hdrhistogram.New(1, 60_000_000, 3)}
	for i, zone := range sc.size.workers {
		s.workers = append(s.workers, &worker{zone: zone, factor: 1, state: Serving})
		s.candidates = append(s.candidates, Candidate{ID: string(rune('A' + i)), Zone: zoneName(zone), Incarnation: 1})
		s.after(time.Duration(s.rand.Int64N(int64(*tableReports))), func() { s.report(i) })
	}
	for i := range sc.size.daemons {
		d := &daemon{zone: i % sc.size.zones, inFlight: make([]int, len(s.workers)), reports: make([]Load, len(s.workers))}
		config.SelfZone, config.Rand = zoneName(d.zone), s.rand.Uint64
		config.LinkCost = func(string) time.Duration { return 2 * sc.size.oneWay }
		d.picker = New(config)
		s.daemons = append(s.daemons, d)
		s.sendCalls(d, i)
	}
	if sc.fault != nil {
		sc.fault(s)
	}
	for s.now < simLength {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	at := func(q float64) time.Duration {
		return time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
	}
	percent := func(n int) float64 { return 100 * float64(n) / float64(s.calls) }
	return figures{p50: at(50), p99: at(99), p999: at(99.9), badPercent: percent(s.bad), crossZonePercent: percent(s.crossZone)}
}

func zoneName(zone int) string { return string(rune('a' + zone)) }

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	heap.Push(&s.events, event{at: s.now + d, do: do})
}

func (s *sim) oneWay(j *job) time.Duration {
	if s.daemons[j.daemon].zone != s.workers[j.worker].zone {
		return s.size.oneWay
	}
	return 100 * time.Microsecond
}

// sendCalls schedules the calls of a daemon as a Poisson process.
func (s *sim) sendCalls(d *daemon, index int) {
	rate := s.load * float64(len(s.workers)*s.size.slots) / simService.Seconds() / float64(s.size.daemons)
	s.after(time.Duration(s.rand.ExpFloat64()/rate*1e9), func() {
		s.sendCalls(d, index)
		j := &job{daemon: index, worker: s.policy(s, d), sent: s.now, work: s.work()}
		d.inFlight[j.worker]++
		d.picker.Started(s.candidates[j.worker].ID, s.clock())
		s.workers[j.worker].inTransit++
		s.after(s.oneWay(j), func() { s.deliver(j) })
	})
}

// work draws a lognormal service time in nanoseconds with sigma 1.
func (s *sim) work() float64 {
	return float64(simService) * math.Exp(s.rand.NormFloat64()-0.5)
}

// deliver starts, queues, refuses or fails a call at its worker.
func (s *sim) deliver(j *job) {
	w := s.workers[j.worker]
	w.inTransit--
	switch {
	case w.failing:
		j.result.Failed = true
		s.after(200*time.Microsecond, func() { s.finish(j) })
	case w.state == Draining || len(w.queue) >= simQueue:
		j.result.NotRun = true
		s.finish(j)
	case w.busy < s.size.slots:
		s.run(j)
	default:
		w.queue = append(w.queue, j)
	}
}

func (s *sim) run(j *job) {
	w := s.workers[j.worker]
	w.busy++
	j.started = s.now
	s.after(time.Duration(j.work*w.factor), func() {
		w.busy--
		w.completed++
		s.finish(j)
		if len(w.queue) > 0 {
			next := w.queue[0]
			w.queue = w.queue[1:]
			s.run(next)
		}
	})
}

// finish ends a call at the worker, and after the link delay at its daemon.
func (s *sim) finish(j *job) {
	w, d := s.workers[j.worker], s.daemons[j.daemon]
	if !j.result.NotRun {
		w.estimate.Observe(s.now-j.started, j.result.Failed, s.clock())
	}
	load := s.loadOf(w)
	s.after(s.oneWay(j)+s.lag, func() { s.receive(d, j.worker, load) })
	s.after(s.oneWay(j), func() {
		d.inFlight[j.worker]--
		j.result.Latency = s.now - j.sent
		d.picker.Finished(s.candidates[j.worker].ID, j.result, s.clock())
		s.count(j)
	})
}

func (s *sim) count(j *job) {
	if j.sent < simWarmUp {
		return
	}
	s.calls++
	latency := j.result.Latency
	if j.result.Failed || j.result.NotRun {
		s.bad++
		latency = max(latency, simDeadline)
	}
	if s.daemons[j.daemon].zone != s.workers[j.worker].zone {
		s.crossZone++
	}
	_ = s.latency.RecordValue(latency.Microseconds())
}

func (s *sim) loadOf(w *worker) Load {
	return Load{State: w.state, InFlight: w.busy, Queued: len(w.queue), Slots: s.size.slots,
		ServiceTime: w.estimate.Latency(time.Time{}, s.clock()),
		FailPercent: int(100 * w.estimate.FailShare(s.clock())), Age: s.lag}
}

// report sends a worker's load to all daemons, and again every tableReports.
func (s *sim) report(i int) {
	load := s.loadOf(s.workers[i])
	for _, d := range s.daemons {
		s.after(s.size.oneWay+s.lag, func() { s.receive(d, i, load) })
	}
	s.after(*tableReports, func() { s.report(i) })
}

func (s *sim) receive(d *daemon, i int, load Load) {
	d.reports[i] = load
	d.picker.ObserveLoad(s.candidates[i].ID, load, s.clock())
}
