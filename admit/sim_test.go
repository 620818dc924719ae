package admit

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// A simulation in virtual time: two services of two gates each. Requests arrive at
// random and try the gates of their service one after the other. Half of the runs call
// the other service midway and fail if that call is refused. The upstreams have slow
// periods, and are slower when more than four fifths of their slots are in use.

const (
	simServices   = 2
	simGates      = 2
	simWarmUp     = 4 * time.Second
	simLink       = 2 * time.Millisecond
	simReading    = 4 * time.Millisecond
	simTick       = 100 * time.Millisecond
	simSlowEvery  = 2 * time.Second
	simSlowFor    = 150 * time.Millisecond
	simSlowPace   = 500
	simContention = 1.4
	simSpread     = 0.6 // of the logarithm of the work
	simNested     = 0.5 // share of the runs that make a call
)

// simKind is one kind of request, at a rate per second relative to the others.
type simKind struct {
	name                   string
	rank                   int
	rate                   float64
	target, deadline, work time.Duration
}

// simMix is the load of a deployment. The last kind is that of the calls of runs.
type simMix struct {
	slots int
	kinds []simKind
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

var simMixes = map[string]simMix{
	"first": {15, []simKind{
		{"rank 0, 160 ms", 0, 436, ms(500), ms(3000), ms(160)},
		{"rank 1, 210 ms", 1, 174, ms(600), ms(4000), ms(210)},
		{"rank 1, 400 ms", 1, 135, ms(1200), ms(8000), ms(400)},
		{"rank 2, 640 ms", 2, 95, ms(3000), ms(12000), ms(640)},
		{"nested, 40 ms", 1, 0, ms(150), ms(500), ms(40)},
	}},
	"second": {8, []simKind{
		{"rank 1, 140 ms", 1, 183, ms(400), ms(4000), ms(140)},
		{"rank 2, 100 ms", 2, 321, ms(500), ms(3000), ms(100)},
		{"rank 2, 260 ms", 2, 168, ms(800), ms(6000), ms(260)},
		{"rank 2, 410 ms", 2, 66, ms(1200), ms(10000), ms(410)},
		{"nested, 30 ms", 2, 0, ms(120), ms(400), ms(30)},
	}},
}

// simFigures counts how the requests of one kind ended.
type simFigures struct {
	offered, inTime, late, refused, failed int
	untilRefusal                           time.Duration
}

type simGate struct {
	gate    *Gate
	service int
	running int
	pace    int
	work    map[string]time.Duration
	// routes counts the calls that arrived and started.
	routes map[string]*callCount
}

type simJob struct {
	kind    int
	service int
	request call.Request
	sent    time.Duration
	parent  *simJob
	gate    *simGate
	tried   int
	began   time.Duration
	paceAt  int
	half    time.Duration
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type sim struct {
	mix     simMix
	nested  bool
	rand    *rand.Rand
	now     time.Duration
	events  simEvents
	seq     int
	gates   []*simGate
	jobs    map[string]*simJob
	figures []simFigures
}

// simulate offers load times the capacity for the given time.
func simulate(mix simMix, load float64, length time.Duration, seed uint64, policy simPolicy) *sim {
	s := &sim{mix: mix, nested: policy.nested, rand: rand.New(rand.NewPCG(seed, 11)), jobs: map[string]*simJob{}, figures: make([]simFigures, len(mix.kinds))}
	for i := range simServices * simGates {
		g := &simGate{gate: New(Config{}), service: i / simGates, pace: NominalPace, work: map[string]time.Duration{}, routes: map[string]*callCount{}}
		g.gate.SetLimits(Limits{Slots: mix.slots, UncontendedSlots: mix.slots * 4 / 5, Queue: 2 * mix.slots, Shed: true, LeastCost: true, Paced: true}, s.clock())
		policy.change(&g.gate.queue.discipline)
		s.gates = append(s.gates, g)
		s.slowPeriods(g)
		s.ticks(g)
	}
	nested := mix.kinds[len(mix.kinds)-1].work
	total := 0.0
	for _, k := range mix.kinds {
		total += k.rate * (k.work + time.Duration(simNested*float64(2*nested+2*simLink))).Seconds()
	}
	for i, k := range mix.kinds {
		for service := range simServices {
			s.arrivals(i, service, load*float64(simGates*mix.slots)*k.rate/total)
		}
	}
	for len(s.events) > 0 && s.now < length {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *sim) clock() time.Time { return time.Unix(1_800_000_000, 0).Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, do})
}

func (s *sim) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.rand.ExpFloat64() * float64(mean))
}

func (s *sim) slowPeriods(g *simGate) {
	s.after(s.exponential(simSlowEvery), func() {
		g.pace = simSlowPace
		s.after(simSlowFor/2+s.exponential(simSlowFor/2), func() {
			g.pace = NominalPace
			s.slowPeriods(g)
		})
	})
}

func (s *sim) ticks(g *simGate) {
	s.after(simTick, func() {
		s.apply(g, g.gate.Tick(s.clock()))
		s.ticks(g)
	})
}

func (s *sim) arrivals(kind, service int, perSecond float64) {
	if perSecond == 0 {
		return
	}
	s.after(time.Duration(s.rand.ExpFloat64()/perSecond*1e9), func() {
		s.arrivals(kind, service, perSecond)
		s.send(kind, service, nil)
	})
}

func (s *sim) send(kind, service int, parent *simJob) {
	k := s.mix.kinds[kind]
	j := &simJob{kind: kind, service: service, sent: s.now, parent: parent}
	rank, deadline := k.rank, s.clock().Add(k.deadline)
	if parent != nil {
		rank = min(rank, parent.request.Priority.Rank())
		if parent.request.Deadline.Before(deadline) {
			deadline = parent.request.Deadline
		}
	}
	j.request = call.Request{Route: k.name, Priority: call.PriorityOfRank(rank), Target: s.clock().Add(k.target), Deadline: deadline, Nested: s.nested && parent != nil}
	s.count(j, func(f *simFigures) { f.offered++ })
	s.attempt(j, s.rand.IntN(simGates))
}

// attempt sends a job to a gate of its service. A further attempt waits for a slow
// period to end, as sent by a daemon after two refusals.
func (s *sim) attempt(j *simJob, at int) {
	s.after(simLink, func() {
		g := s.gates[j.service*simGates+at%simGates]
		j.gate = g
		s.seq++
		j.request.ID, j.request.Attempt, j.request.WaitWhenSlow = fmt.Sprint(s.seq), j.tried, j.tried > 0
		j.tried++
		j.request.ExpectedWork = g.work[j.request.Route]
		if j.request.ExpectedWork == 0 {
			j.request.ExpectedWork = s.mix.kinds[j.kind].target / 4
		}
		s.jobs[j.request.ID] = j
		g.countCall(j, 1, 0)
		s.apply(g, g.gate.Arrive(j.request, s.clock()))
	})
}

func (s *sim) apply(g *simGate, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Start:
			g.countCall(s.jobs[a.CallID], 0, 1)
			s.run(g, s.jobs[a.CallID])
		case Refuse:
			j := s.jobs[a.CallID]
			delete(s.jobs, a.CallID)
			s.after(simLink, func() { s.refused(j, g) })
		case Measure:
			s.after(simReading, func() {
				s.apply(g, g.gate.Measured(g.pace, s.clock()))
				s.remeasure(g)
			})
		}
	}
}

func (s *sim) remeasure(g *simGate) {
	if at, slow := g.gate.RemeasureAt(s.clock()); slow {
		s.after(at.Sub(s.clock()), func() { s.apply(g, g.gate.Remeasure(s.clock())) })
	}
}

func (s *sim) refused(j *simJob, g *simGate) {
	if j.tried <= simGates && s.clock().Before(j.request.Deadline) {
		s.attempt(j, slices.Index(s.gates, g)+1)
		return
	}
	s.count(j, func(f *simFigures) { f.refused++; f.untilRefusal += s.now - j.sent })
	if j.parent != nil {
		s.finish(j.parent, false)
	}
}

func (s *sim) run(g *simGate, j *simJob) {
	g.running++
	factor := float64(g.pace) / NominalPace
	if g.running > s.mix.slots*4/5 {
		factor *= simContention
	}
	j.began, j.paceAt = s.now, g.pace
	work := float64(s.mix.kinds[j.kind].work) * math.Exp(simSpread*s.rand.NormFloat64()-simSpread*simSpread/2)
	j.half = time.Duration(work * factor / 2)
	s.after(j.half, func() {
		if j.parent == nil && s.rand.Float64() < simNested {
			s.send(len(s.mix.kinds)-1, 1-j.service, j)
			return
		}
		s.after(j.half, func() { s.finish(j, true) })
	})
}

// finish ends a run. A run whose call was refused fails.
func (s *sim) finish(j *simJob, succeeded bool) {
	g := j.gate
	g.running--
	delete(s.jobs, j.request.ID)
	took := time.Duration(0)
	if succeeded {
		took = (s.now - j.began) * NominalPace / time.Duration(j.paceAt)
		known := g.work[j.request.Route]
		if known == 0 {
			known = took
		}
		g.work[j.request.Route] = known + (took-known)/16
	}
	s.apply(g, g.gate.Finish(j.request.ID, took, s.clock()))
	s.after(simLink, func() { s.ended(j, succeeded) })
}

func (s *sim) ended(j *simJob, succeeded bool) {
	s.count(j, func(f *simFigures) {
		switch {
		case !succeeded:
			f.failed++
		case s.clock().After(j.request.Target):
			f.late++
		default:
			f.inTime++
		}
	})
	if p := j.parent; p != nil {
		s.after(p.half, func() { s.finish(p, true) })
	}
}

func (s *sim) count(j *simJob, add func(*simFigures)) {
	if j.sent >= simWarmUp {
		add(&s.figures[j.kind])
	}
}

func (g *simGate) countCall(j *simJob, offered, served float64) {
	if j.sent < simWarmUp {
		return
	}
	c := g.routes[j.request.Route]
	if c == nil {
		c = &callCount{}
		g.routes[j.request.Route] = c
	}
	c.offered += offered
	c.served += served
}
