package admit

import (
	"fmt"
	"math/bits"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelodoor.example/pomelodoor/call"
)

var shedStart = time.Unix(1_800_000_000, 0)

// maxInTime returns how many of the jobs one slot can end in time, in their order.
func maxInTime(jobs []job) int {
	best := 0
	for set := range 1 << len(jobs) {
		end, fits := time.Duration(0), true
		for i, j := range jobs {
			if set>>i&1 == 1 {
				end += j.work
				fits = fits && end <= j.latest
			}
		}
		if fits {
			best = max(best, bits.OnesCount(uint(set)))
		}
	}
	return best
}

// TestPlanLeavesMostInTime guards against refusing more calls than necessary: with one slot
// the plan is optimal, and what it keeps is in time.
func TestPlanLeavesMostInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var jobs []job
		for range rapid.IntRange(0, 9).Draw(t, "calls") {
			work := ms(rapid.IntRange(1, 50).Draw(t, "work"))
			jobs = append(jobs, job{work: work, latest: ms(rapid.IntRange(1, 150).Draw(t, "latest")), shedKey: float64(work)})
		}
		slices.SortFunc(jobs, func(a, b job) int { return int(a.latest - b.latest) })
		var p planner
		p.plan(jobs, slotTimes{0})
		kept, end := 0, time.Duration(0)
		for _, j := range jobs {
			if j.late {
				continue
			}
			kept++
			if end += j.work; end > j.latest {
				t.Fatalf("a call that is kept ends %v late", end-j.latest)
			}
		}
		if want := maxInTime(jobs); kept != want {
			t.Fatalf("%d calls are in time, %d could be", kept, want)
		}
	})
}

// shedModel drives a gate that sheds, and checks each action.
type shedModel struct {
	t       *rapid.T
	gate    *Gate
	now     time.Time
	calls   map[string]call.Request
	ended   map[string]bool
	running []string
	// onePer is true if each rank has one route.
	onePer   bool
	maxSlots int
}

func newShedModel(t *rapid.T, onePerRank bool) *shedModel {
	m := &shedModel{t: t, gate: New(Config{}), now: shedStart, calls: map[string]call.Request{}, ended: map[string]bool{}, onePer: onePerRank}
	m.maxSlots = rapid.IntRange(1, 4).Draw(t, "slots")
	m.gate.SetLimits(Limits{Slots: m.maxSlots, Queue: rapid.IntRange(1, 8).Draw(t, "queue"), Shed: true, LeastCost: true, Paced: true}, m.now)
	return m
}

// request draws a request. Where each rank has one route, the calls of a route differ only
// in their age.
func (m *shedModel) request() call.Request {
	rank := rapid.IntRange(0, 2).Draw(m.t, "rank")
	route := rapid.IntRange(0, 1).Draw(m.t, "route")
	target := rapid.IntRange(20, 600).Draw(m.t, "target")
	work := []int{40, 150}[route]
	if m.onePer {
		route, work, target = 0, 40+40*rank, 200+200*rank
	}
	return call.Request{
		ID: fmt.Sprint(len(m.calls)), Route: fmt.Sprint(rank, route), Priority: call.PriorityOfRank(rank),
		Target: m.now.Add(ms(target)), Deadline: m.now.Add(ms(target + 300)), ExpectedWork: ms(work),
		WaitWhenSlow: true, Nested: !m.onePer && rapid.IntRange(0, 9).Draw(m.t, "nested") == 0,
	}
}

func (m *shedModel) apply(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Start:
			if m.ended[a.CallID] || slices.Contains(m.running, a.CallID) || !m.now.Before(m.calls[a.CallID].Deadline) {
				m.t.Fatalf("got %v at %v for %+v", a, m.now, m.calls[a.CallID])
			}
			m.running = append(m.running, a.CallID)
		case Refuse:
			if m.ended[a.CallID] || slices.Contains(m.running, a.CallID) {
				m.t.Fatalf("got %v for a call that has ended or runs", a)
			}
			m.ended[a.CallID] = true
		}
	}
	if len(m.running) > m.maxSlots {
		m.t.Fatalf("%d calls run in %d slots", len(m.running), m.maxSlots)
	}
	if open := len(m.calls) - len(m.ended); open != m.gate.InFlight()+m.gate.Queued() {
		m.t.Fatalf("%d calls are open, %d run and %d are queued", open, m.gate.InFlight(), m.gate.Queued())
	}
}

func (m *shedModel) step() {
	m.now = m.now.Add(ms(rapid.IntRange(0, 30).Draw(m.t, "ms")))
	switch rapid.IntRange(0, 5).Draw(m.t, "what") {
	case 0, 1, 2:
		r := m.request()
		m.calls[r.ID] = r
		m.apply(m.gate.Arrive(r, m.now))
	case 3:
		if len(m.running) > 0 {
			id := m.running[0]
			m.running, m.ended[id] = m.running[1:], true
			m.apply(m.gate.Finish(id, m.calls[id].ExpectedWork, m.now))
		}
	case 4:
		m.apply(m.gate.Measured(rapid.SampledFrom([]int{100, 100, 500}).Draw(m.t, "pace"), m.now))
	case 5:
		m.apply(m.gate.Tick(m.now))
	}
}

// TestShedProperties guards against a call that starts twice, after its deadline or beyond
// the slots, or is lost.
func TestShedProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newShedModel(t, false)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step()
		}
	})
}

// TestLowerRanksChangeNothing guards against calls of a lower rank that make one of a higher
// rank refused: what is refused of a rank is the same without the lower ranks.
func TestLowerRanksChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newShedModel(t, false)
		for i := range m.maxSlots {
			m.gate.running[fmt.Sprint("r", i)] = &runningCall{expectedEnd: m.now.Add(ms(rapid.IntRange(0, 200).Draw(t, "ends")))}
		}
		rank := rapid.IntRange(0, 2).Draw(t, "rank")
		upper := *m.gate
		for range rapid.IntRange(0, 12).Draw(t, "calls") {
			r := m.request()
			m.calls[r.ID] = r
			m.gate.queue.push(r)
			if r.Nested || r.Priority.Rank() <= rank {
				upper.queue.push(r)
			}
		}
		ids := func(late []lateCall) (ids []string) {
			for _, l := range late {
				if classOf(l.queuedCall) <= rank {
					ids = append(ids, l.req.ID)
				}
			}
			return ids
		}
		if all, alone := ids(m.gate.lateCalls(m.now)), ids(upper.lateCalls(m.now)); !slices.Equal(all, alone) {
			t.Fatalf("refused %v, without lower ranks %v", all, alone)
		}
	})
}

// TestOneRoutePerRankKeepsOrder guards against another order of service than by priority,
// target, deadline and arrival where each rank has one route.
func TestOneRoutePerRankKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newShedModel(t, true)
		m.gate.queue.floorShare = 0
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			queued := slices.Clone(m.gate.queue.calls)
			started := len(m.running)
			m.step()
			if len(m.running) <= started {
				continue
			}
			first := m.calls[m.running[len(m.running)-1]]
			for _, w := range queued {
				before := w.req.Priority.Rank() < first.Priority.Rank() ||
					w.req.Priority == first.Priority && w.req.Target.Before(first.Target)
				if before && m.gate.queue.has(w.req.ID) {
					t.Fatalf("%+v started before %+v", first, w.req)
				}
			}
		}
	})
}

// TestGivingWay guards against refusing another call than the one that costs least.
func TestGivingWay(t *testing.T) {
	at := func(n int) time.Time { return shedStart.Add(ms(n)) }
	request := func(id string, rank, work, target int) call.Request {
		return call.Request{
			ID: id, Route: id[:1], Priority: call.PriorityOfRank(rank), ExpectedWork: ms(work),
			Target: at(target), Deadline: at(target + 100),
		}
	}
	nested := request("n", 2, 40, 50)
	nested.Nested = true
	tests := map[string]struct {
		queue    int
		arrivals []call.Request
		want     string
	}{
		"most work gives way":              {4, []call.Request{request("a", 1, 100, 220), request("b", 1, 60, 240)}, "[{refuse a overloaded} {queue b }]"},
		"least work stays":                 {4, []call.Request{request("a", 1, 60, 220), request("b", 1, 100, 240)}, "[{refuse b overloaded}]"},
		"higher rank is not displaced":     {4, []call.Request{request("a", 0, 100, 220), request("b", 1, 10, 180)}, "[{refuse b overloaded}]"},
		"lower rank gives way":             {4, []call.Request{request("a", 1, 100, 220), request("b", 0, 60, 240)}, "[{refuse a overloaded} {queue b }]"},
		"late call of a higher rank stays": {4, []call.Request{request("a", 1, 50, 900), request("b", 0, 60, 150)}, "[{queue b }]"},
		"late call beside one in time":     {4, []call.Request{request("a", 1, 50, 900), request("b", 1, 60, 150)}, "[{refuse b overloaded}]"},
		"deadline cannot be met":           {4, []call.Request{request("a", 1, 50, 900), request("b", 0, 60, 40)}, "[{refuse b overloaded}]"},
		"nested call goes first":           {4, []call.Request{request("a", 0, 100, 220), nested}, "[{refuse a overloaded} {queue n }]"},
		"full: most work of the last rank": {2, []call.Request{request("a", 1, 90, 900), request("b", 1, 50, 950), request("c", 0, 60, 900)}, "[{refuse a overloaded} {queue c }]"},
		"full: equal work is kept":         {1, []call.Request{request("a", 1, 50, 950), request("b", 1, 50, 900)}, "[{refuse b overloaded}]"},
		"full: higher rank is kept":        {1, []call.Request{request("a", 0, 90, 950), request("b", 1, 50, 900)}, "[{refuse b overloaded}]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := New(Config{})
			g.SetLimits(Limits{Slots: 1, Queue: test.queue, Shed: true, LeastCost: true, Paced: true}, at(0))
			g.queue.floorShare = 0
			g.Measured(NominalPace, at(0))
			g.Arrive(request("x", 0, 100, 900), at(0))
			var got []Action
			for _, r := range test.arrivals {
				got = g.Arrive(r, at(1))
			}
			if fmt.Sprint(got) != test.want {
				t.Errorf("got %v, want %s", got, test.want)
			}
		})
	}
}

// TestUnknownWorkIsEvicted guards against a call of unknown work that counts as the shortest
// where the queue is full, but as one of mean work in the plan.
func TestUnknownWorkIsEvicted(t *testing.T) {
	g := New(Config{})
	g.SetLimits(Limits{Slots: 1, Queue: 1, Shed: true, Paced: true}, shedStart)
	g.Measured(NominalPace, shedStart)
	g.serviceTime.mean = ms(100)
	for _, id := range []string{"running", "known"} {
		g.Arrive(call.Request{ID: id, ExpectedWork: ms(10)}, shedStart)
	}
	got := g.Arrive(call.Request{ID: "unknown"}, shedStart)
	if want := []Action{refuse("unknown", call.Overloaded)}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestFloorHolds guards against a route that starves: of each route, a quarter of the share
// of all calls is served at each gate.
func TestFloorHolds(t *testing.T) {
	for name, mix := range simMixes {
		t.Run(name, func(t *testing.T) {
			s := simulate(mix, 2.5, 40*time.Second, 1, simPolicies["9 the same, with floor: built"])
			for i, g := range s.gates {
				var all callCount
				for _, c := range g.routes {
					all.offered, all.served = all.offered+c.offered, all.served+c.served
				}
				for route, c := range g.routes {
					if share := c.served / c.offered; share < 0.95*0.25*all.served/all.offered {
						t.Errorf("gate %d serves %.3f of %s and %.3f of all calls", i, share, route, all.served/all.offered)
					}
				}
			}
		})
	}
}

// BenchmarkArrive measures the arrival of a call at a full gate that refuses one call.
func BenchmarkArrive(b *testing.B) {
	for _, length := range []int{32, 200} {
		b.Run(fmt.Sprint(length), func(b *testing.B) {
			g := New(Config{})
			g.SetLimits(Limits{Slots: 15, Queue: length, Shed: true, LeastCost: true, Paced: true}, shedStart)
			g.Measured(NominalPace, shedStart)
			request := func(id string, i int) call.Request {
				return call.Request{
					ID: id, Route: fmt.Sprint(i % 4), Priority: call.PriorityOfRank(i % 3), ExpectedWork: ms(100 + 50*(i%4)),
					Target: shedStart.Add(ms(5000 + i)), Deadline: shedStart.Add(time.Minute),
				}
			}
			for i := range length + 15 {
				g.Arrive(request(fmt.Sprint(i), i), shedStart)
			}
			late := request("late", 3)
			late.Target = shedStart.Add(ms(260))
			b.ReportMetric(float64(g.Queued()), "queued")
			for b.Loop() {
				g.Arrive(late, shedStart)
			}
			b.ReportMetric(float64(g.Queued()), "queued")
		})
	}
}
