package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/call"
)

// A simulation of one of three availability zones that returns cold while the load is
// 80 per cent of the capacity. Each upstream has a gate, and each daemon a picker.

const (
	coldSlots     = 15
	coldWork      = 160 * time.Millisecond
	coldTarget    = 500 * time.Millisecond
	coldReturn    = 4 * time.Second // when the third zone is listed again
	coldFor       = 3 * time.Second
	coldEnd       = 12 * time.Second
	coldPerSecond = 13
	coldOneWay    = 3400 * time.Microsecond
)

type coldSim struct {
	rand       *rand.Rand
	now        time.Duration
	events     events
	limit      admit.ColdLimit
	gates      []*admit.Gate
	pickers    []*Picker
	candidates []Candidate
	calls      []*coldCall
	starts     [][]time.Duration // of each upstream while it is cold
	sent       int
	inTime     int
	late       int
	refused    int
}

type coldCall struct {
	daemon, worker int
	began, sent    time.Duration
	started        time.Duration
	work           time.Duration
	refusals       int
	avoid          []string
}

func (s *coldSim) clock() time.Time { return epoch.Add(s.now) }

func (s *coldSim) after(d time.Duration, do func()) {
	heap.Push(&s.events, event{at: s.now + d, do: do})
}

// coldAt reports whether a worker is cold: those of the third zone after their return.
func (s *coldSim) coldAt(worker int) bool {
	return worker%3 == 2 && s.now >= coldReturn && s.now < coldReturn+coldFor
}

func simulateCold(seed uint64, workers int, load float64, limit admit.ColdLimit, cold ColdLimit) *coldSim {
	s := &coldSim{rand: rand.New(rand.NewPCG(seed, 5)), limit: limit, starts: make([][]time.Duration, workers)}
	for i := range workers {
		s.candidates = append(s.candidates, Candidate{ID: fmt.Sprint(i), Zone: zoneName(i % 3), Incarnation: 1})
		s.gates = append(s.gates, s.newGate())
		p := New(Config{SelfZone: zoneName(i % 3), Rand: s.rand.Uint64, SameZoneChoices: 16, LinkCost: func(string) time.Duration { return 2 * coldOneWay }})
		p.SetColdLimit(cold)
		s.pickers = append(s.pickers, p)
		s.tick(i)
		s.arrivals(i, load*coldSlots/coldWork.Seconds())
	}
	s.after(coldReturn, func() {
		for i := 2; i < workers; i += 3 {
			s.candidates[i].Incarnation, s.gates[i] = 2, s.newGate()
		}
	})
	for s.now < coldEnd {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *coldSim) newGate() *admit.Gate {
	g := admit.New(admit.Config{})
	g.SetLimits(admit.Limits{Slots: coldSlots, Queue: 2 * coldSlots, Shed: true, Paced: true, ColdLimit: s.limit}, s.clock())
	return g
}

// arrivals sends the calls of one daemon at a rate as a Poisson process.
func (s *coldSim) arrivals(daemon int, perSecond float64) {
	s.after(time.Duration(s.rand.ExpFloat64()/perSecond*1e9), func() {
		s.arrivals(daemon, perSecond)
		s.send(&coldCall{daemon: daemon, began: s.now, work: time.Duration((0.5 + s.rand.Float64()) * float64(coldWork))})
	})
}

// send makes one attempt. The third zone is not listed before its return.
func (s *coldSim) send(c *coldCall) {
	candidates := s.candidates
	if s.now < coldReturn {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Zone == zoneName(2) })
	}
	o := Options{LoadAware: true, SpillOver: true, SlowStart: true, ExpectedWork: coldWork}
	i, ok := s.pickers[c.daemon].Pick(candidates, c.avoid, o, s.clock())
	if !ok {
		s.count(c, false)
		return
	}
	c.worker, c.sent = slices.Index(s.candidates, candidates[i]), s.now
	s.pickers[c.daemon].Started(candidates[i].ID, s.clock())
	s.after(s.link(c), func() {
		id := fmt.Sprint(len(s.calls))
		s.calls = append(s.calls, c)
		s.do(c.worker, s.gates[c.worker].Arrive(call.Request{
			ID: id, ExpectedWork: coldWork, Target: epoch.Add(c.began + coldTarget), Deadline: epoch.Add(c.began + 3*time.Second),
		}, s.clock()))
	})
}

func (s *coldSim) link(c *coldCall) time.Duration {
	if c.daemon%3 == c.worker%3 {
		return 100 * time.Microsecond
	}
	return coldOneWay
}

func (s *coldSim) do(worker int, actions []admit.Action) {
	g := s.gates[worker]
	for _, a := range actions {
		switch a.Kind {
		case admit.Start:
			s.start(worker, a.CallID)
		case admit.Refuse:
			s.end(s.call(a.CallID), Result{NotRun: true})
		case admit.Measure, admit.Probe:
			if !g.MayProbe(s.clock()) {
				s.do(worker, g.Unmeasured(s.clock()))
				continue
			}
			g.Probed(s.clock())
			pace := 100
			if s.coldAt(worker) {
				pace = 200
				g.FoundCold(coldReturn+coldFor-s.now, s.clock())
			} else {
				g.FoundWarm(s.clock())
			}
			s.do(worker, g.Measured(pace, s.clock()))
		}
	}
	if at, ok := g.NextStart(s.clock()); ok && len(actions) > 0 {
		s.after(at.Sub(s.clock()), func() { s.do(worker, g.Tick(s.clock())) })
	}
}

func (s *coldSim) call(id string) *coldCall {
	var i int
	_, _ = fmt.Sscan(id, &i)
	return s.calls[i]
}

func (s *coldSim) start(worker int, id string) {
	c, g := s.call(id), s.gates[worker]
	c.started = s.now
	took := c.work
	if s.coldAt(worker) {
		took *= 2
		s.starts[worker] = append(s.starts[worker], s.now)
	}
	s.after(took, func() {
		if s.gates[worker] == g {
			s.do(worker, g.Finish(id, took, s.clock()))
		}
		s.end(c, Result{})
	})
}

// end sends the result of an attempt back to the daemon, with a load report.
func (s *coldSim) end(c *coldCall, r Result) {
	load := s.report(c.worker)
	s.after(s.link(c), func() {
		p, id := s.pickers[c.daemon], s.candidates[c.worker].ID
		p.ObserveLoad(id, load, s.clock())
		r.Latency = s.now - c.sent
		p.Finished(id, r, s.clock())
		if r.NotRun && c.refusals < 4 {
			c.refusals++
			c.avoid = append(c.avoid, id)
			s.send(c)
			return
		}
		s.count(c, !r.NotRun)
	})
}

// report returns the load report of an upstream, as package node makes it.
func (s *coldSim) report(worker int) Load {
	g := s.gates[worker]
	l := g.Load(s.clock())
	pace, _ := g.Pace()
	load := Load{State: Serving, InFlight: l.InFlight, Queued: l.Queued, Slots: l.Slots, ServiceTime: l.ServiceTime, Pace: pace}
	if g.Limited(s.clock()) {
		load.State = Cold
		load.Slots = max(min(l.Slots, int(math.Ceil(coldPerSecond*l.ServiceTime.Seconds()*float64(max(pace, 100))/100))), 1)
	}
	return load
}

// tick reports the load of an upstream to the daemons of its zone.
func (s *coldSim) tick(worker int) {
	s.do(worker, s.gates[worker].Tick(s.clock()))
	if s.now >= coldReturn || worker%3 != 2 {
		for i := worker % 3; i < len(s.pickers); i += 3 {
			s.pickers[i].ObserveLoad(s.candidates[worker].ID, s.report(worker), s.clock())
		}
	}
	s.after(50*time.Millisecond, func() { s.tick(worker) })
}

// count counts the calls that began within 4 s after the return.
func (s *coldSim) count(c *coldCall, served bool) {
	if c.began < coldReturn || c.began >= coldReturn+4*time.Second {
		return
	}
	s.sent++
	switch {
	case !served:
		s.refused++
	case s.now-c.began <= coldTarget:
		s.inTime++
	default:
		s.late++
	}
}

// mostStarts returns the largest number of starts within a second at one cold upstream.
func (s *coldSim) mostStarts() int {
	result := 0
	for _, starts := range s.starts {
		times := make([]time.Time, len(starts))
		for i, at := range starts {
			times[i] = epoch.Add(at)
		}
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) > time.Second {
				first++
			}
			result = max(result, i-first+1)
		}
	}
	return result
}

// TestZoneReturnsCold guards against a zone that returns cold being sent more than its
// upstreams accept, and against being left unused while the other zones are full.
func TestZoneReturnsCold(t *testing.T) {
	limit := admit.NewColdLimit(coldPerSecond, 27.5)
	cold := ColdLimit{PerSecond: coldPerSecond, Duration: coldFor}
	for _, load := range []float64{0.6, 0.8} {
		before := simulateCold(1, 27, load, admit.ColdLimit{}, ColdLimit{})
		share := simulateCold(1, 27, load, limit, ColdLimit{})
		after := simulateCold(1, 27, load, limit, cold)
		for name, s := range map[string]*coldSim{"no limit": before, "limit, a tenth of the calls": share, "limit, used up to the rate": after} {
			used := 0
			for _, starts := range s.starts {
				used += len(starts)
			}
			t.Logf("load %.1f, %-27s: %4d calls, %5.1f %% in time, %4.1f %% late, %4.1f %% refused; most starts in a second %2d, in all %d",
				load, name, s.sent, percent(s.inTime, s.sent), percent(s.late, s.sent), percent(s.refused, s.sent), s.mostStarts(), used)
		}
		if got := after.mostStarts(); got > coldPerSecond {
			t.Errorf("%d starts within a second at a cold upstream, at most %d are allowed", got, coldPerSecond)
		}
		if got, want := percent(after.inTime, after.sent), percent(share.inTime, share.sent); got < want-0.5 || load == 0.8 && got < want+3 {
			t.Errorf("load %.1f: %.1f %% were served in time, and %.1f %% with a tenth of the calls", load, got, want)
		}
	}
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(of) }
