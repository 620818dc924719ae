package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/call"
)

// overload drives a gate for one minute. It counts the calls that ended by their
// deadline for each priority, and the refused calls and how long they had waited.
type overload struct {
	gate    *admit.Gate
	rng     *rand.Rand
	calls   map[string]call.Request
	arrived map[string]time.Time
	ends    map[string]time.Time
	offered map[call.Priority]int
	inTime  map[call.Priority]int
	refused int
	waited  time.Duration
}

func (o *overload) apply(actions []admit.Action, now time.Time) {
	for _, a := range actions {
		switch a.Kind {
		case admit.Start:
			o.ends[a.CallID] = now.Add(time.Duration(5+o.rng.IntN(10)) * time.Millisecond)
		case admit.Refuse:
			o.refused++
			o.waited += now.Sub(o.arrived[a.CallID])
		}
	}
}

func (o *overload) run(load float64) {
	priorities := []call.Priority{call.High, call.Normal, call.Normal, call.Low}
	for ms := range 60000 {
		now := at(ms)
		for id, end := range o.ends {
			if end.After(now) {
				continue
			}
			delete(o.ends, id)
			if !now.After(o.calls[id].Deadline) {
				o.inTime[o.calls[id].Priority]++
			}
			o.apply(o.gate.Finish(id, 10*time.Millisecond, now), now)
		}
		if o.rng.Float64() < load {
			req := request(fmt.Sprint(ms), priorities[o.rng.IntN(4)], ms+30+o.rng.IntN(70))
			o.calls[req.ID], o.arrived[req.ID] = req, now
			o.offered[req.Priority]++
			o.apply(o.gate.Arrive(req, now), now)
		}
		o.apply(o.gate.Tick(now), now)
	}
}

// TestOverload sends 0.9 calls/ms to a gate with 6 slots and calls of about 10 ms,
// which is about 1.5 times its capacity. With shedding, calls of high priority end
// in time.
func TestOverload(t *testing.T) {
	inTime := map[bool]map[call.Priority]float64{}
	for _, shed := range []bool{false, true} {
		o := &overload{
			gate: admit.New(admit.Config{Slots: 6, Queue: 48, Shed: shed}), rng: rand.New(rand.NewPCG(1, 2)),
			calls: map[string]call.Request{}, arrived: map[string]time.Time{}, ends: map[string]time.Time{},
			offered: map[call.Priority]int{}, inTime: map[call.Priority]int{},
		}
		o.run(0.9)
		inTime[shed] = map[call.Priority]float64{}
		for _, p := range []call.Priority{call.High, call.Normal, call.Low} {
			inTime[shed][p] = float64(o.inTime[p]) / float64(o.offered[p])
		}
		t.Logf("shed %-5v share in time: high %.3f normal %.3f low %.3f; %d refused after %v on average", shed,
			inTime[shed][call.High], inTime[shed][call.Normal], inTime[shed][call.Low], o.refused, o.waited/time.Duration(o.refused))
	}
	if inTime[true][call.High] < 0.99 || inTime[true][call.High] <= inTime[false][call.High] {
		t.Errorf("with shedding %.3f of the high-priority calls ended in time, want at least 0.99 and more than without", inTime[true][call.High])
	}
}

func BenchmarkGate(b *testing.B) {
	g := newFullGate(true, 48)
	req := request("a", call.Normal, 1<<30)
	for b.Loop() {
		g.Arrive(req, epoch)
		g.Cancel("a", epoch)
	}
}

// BenchmarkColdGate measures a call at a gate without a limit for cold upstreams, and at one
// with it whose upstream is warm (with a probe for each four calls) or cold.
func BenchmarkColdGate(b *testing.B) {
	limit := admit.NewColdLimit(13, 27.5)
	tests := map[string]struct {
		limit  admit.ColdLimit
		pause  time.Duration
		probed bool
	}{
		"without a limit": {admit.ColdLimit{}, 10 * time.Millisecond, false},
		"warm":            {limit, 10 * time.Millisecond, true},
		"cold":            {limit, 100 * time.Millisecond, false},
	}
	for name, test := range tests {
		b.Run(name, func(b *testing.B) {
			g := admit.New(admit.Config{})
			g.SetLimits(admit.Limits{Slots: 12, Queue: 24, ColdLimit: test.limit}, epoch)
			now := epoch.Add(time.Minute)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(test.pause)
				if test.probed && i%4 == 0 {
					g.Probed(now)
					g.FoundWarm(now)
				}
				g.Arrive(request("a", call.Normal, 1<<40), now)
				g.Finish("a", 40*time.Millisecond, now)
			}
			if g.Queued() > 0 {
				b.Errorf("%d calls wait, want none", g.Queued())
			}
		})
	}
}
