package balance

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The fake that the table is measured on: a few daemons send open-loop calls
// to a few first-come-first-served queues with slots, over links, in virtual
// time.

const (
	simQueue    = 100
	simService  = 10 * time.Millisecond
	simWarm     = 2 * time.Second
	simFault    = 5 * time.Second
	simLength   = 12 * time.Second
	simDeadline = time.Second // what a failed or refused call counts as
)

// size is a service and those who call it.
type size struct {
	workers []int // availability zone of each
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
	ran        int
	estimate   Estimate
	coming     int // calls on the link, for the oracle
}

type job struct {
	daemon, worker int
	sent, began    time.Duration
	work           float64
	result         Result
}

type daemon struct {
	zone   int
	picker *Picker
	own    []int // calls in flight from here
	heard  []Load
	next   int
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

// scenario is one cell of the table.
type scenario struct {
	size  size
	fault func(s *sim)
	load  float64
	lag   time.Duration
	seed  uint64
}

// figures are what a run gives.
type figures struct {
	p50, p99, p999 time.Duration
	bad, cross     float64 // per cent
}

type sim struct {
	scenario
	rand       *rand.Rand
	policy     policy
	now        time.Duration
	events     events
	workers    []*worker
	daemons    []*daemon
	candidates []Candidate
	latency    *hdrhistogram.Histogram
	calls      int
	bad, cross int
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
		d := &daemon{zone: i % sc.size.zones, own: make([]int, len(s.workers)), heard: make([]Load, len(s.workers))}
		config.SelfZone, config.Rand = zoneName(d.zone), s.rand.Uint64
		config.LinkCost = func(string) time.Duration { return 2 * sc.size.oneWay }
		d.picker = New(config)
		s.daemons = append(s.daemons, d)
		s.arrive(d, i)
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
	return figures{p50: at(50), p99: at(99), p999: at(99.9), bad: percent(s.bad), cross: percent(s.cross)}
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

// arrive sends the calls of a daemon, a Poisson stream.
func (s *sim) arrive(d *daemon, index int) {
	rate := s.load * float64(len(s.workers)*s.size.slots) / simService.Seconds() / float64(s.size.daemons)
	s.after(time.Duration(s.rand.ExpFloat64()/rate*1e9), func() {
		s.arrive(d, index)
		j := &job{daemon: index, worker: s.policy(s, d), sent: s.now, work: s.work()}
		d.own[j.worker]++
		d.picker.Started(s.candidates[j.worker].ID, s.clock())
		s.workers[j.worker].coming++
		s.after(s.oneWay(j), func() { s.take(j) })
	})
}

// work draws a lognormal service time in nanoseconds with sigma 1.
func (s *sim) work() float64 {
	return float64(simService) * math.Exp(s.rand.NormFloat64()-0.5)
}

// take lets a worker have a call.
func (s *sim) take(j *job) {
	w := s.workers[j.worker]
	w.coming--
	switch {
	case w.failing:
		j.result.Failed = true
		s.after(200*time.Microsecond, func() { s.answer(j) })
	case w.state == Draining || len(w.queue) >= simQueue:
		j.result.NotRun = true
		s.answer(j)
	case w.busy < s.size.slots:
		s.run(j)
	default:
		w.queue = append(w.queue, j)
	}
}

func (s *sim) run(j *job) {
	w := s.workers[j.worker]
	w.busy++
	j.began = s.now
	s.after(time.Duration(j.work*w.factor), func() {
		w.busy--
		w.ran++
		s.answer(j)
		if len(w.queue) > 0 {
			next := w.queue[0]
			w.queue = w.queue[1:]
			s.run(next)
		}
	})
}

// answer ends a call at the worker, and then at its daemon.
func (s *sim) answer(j *job) {
	w, d := s.workers[j.worker], s.daemons[j.daemon]
	if !j.result.NotRun {
		w.estimate.Observe(s.now-j.began, j.result.Failed, s.clock())
	}
	load := s.loadOf(w)
	s.after(s.oneWay(j)+s.lag, func() { s.hear(d, j.worker, load) })
	s.after(s.oneWay(j), func() {
		d.own[j.worker]--
		j.result.Latency = s.now - j.sent
		d.picker.Finished(s.candidates[j.worker].ID, j.result, s.clock())
		s.count(j)
	})
}

func (s *sim) count(j *job) {
	if j.sent < simWarm {
		return
	}
	s.calls++
	latency := j.result.Latency
	if j.result.Failed || j.result.NotRun {
		s.bad++
		latency = max(latency, simDeadline)
	}
	if s.daemons[j.daemon].zone != s.workers[j.worker].zone {
		s.cross++
	}
	_ = s.latency.RecordValue(latency.Microseconds())
}

func (s *sim) loadOf(w *worker) Load {
	return Load{State: w.state, InFlight: w.busy, Queued: len(w.queue), Slots: s.size.slots,
		ServiceTime: w.estimate.Latency(time.Time{}, s.clock()),
		FailPercent: int(100 * w.estimate.FailShare(s.clock())), Age: s.lag}
}

// report sends a worker's load to all daemons now and then.
func (s *sim) report(i int) {
	load := s.loadOf(s.workers[i])
	for _, d := range s.daemons {
		s.after(s.size.oneWay+s.lag, func() { s.hear(d, i, load) })
	}
	s.after(*tableReports, func() { s.report(i) })
}

func (s *sim) hear(d *daemon, i int, load Load) {
	d.heard[i] = load
	d.picker.Heard(s.candidates[i].ID, load, s.clock())
}
