package admit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/call"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func request(id string, priority call.Priority, deadlineMs int) call.Request {
	return call.Request{ID: id, Priority: priority, Deadline: at(deadlineMs)}
}

// newFullGate returns a gate with one slot, taken by the call "running".
func newFullGate(shed bool, queue int) *admit.Gate {
	g := admit.New(admit.Config{Slots: 1, Queue: queue, Shed: shed})
	g.Arrive(request("warm", call.Normal, 1000), epoch)
	g.Finish("warm", 10*time.Millisecond, epoch)
	g.Arrive(request("running", call.Normal, 10000), epoch)
	return g
}

func TestGate(t *testing.T) {
	tests := map[string]struct {
		shed  bool
		queue int
		do    func(g *admit.Gate) []admit.Action
		want  string
	}{
		"queues when full": {true, 2, func(g *admit.Gate) []admit.Action {
			return g.Arrive(request("a", call.Normal, 1000), at(0))
		}, "[{queue a }]"},
		"refuses a call past its deadline": {true, 2, func(g *admit.Gate) []admit.Action {
			return g.Arrive(request("a", call.Normal, 5), at(5))
		}, "[{refuse a deadlineExceeded}]"},
		"refuses a call predicted to start late": {true, 2, func(g *admit.Gate) []admit.Action {
			return g.Arrive(request("a", call.Normal, 9), at(0))
		}, "[{refuse a overloaded}]"},
		"queues a call predicted to start late when shedding is off": {false, 2, func(g *admit.Gate) []admit.Action {
			return g.Arrive(request("a", call.Normal, 9), at(0))
		}, "[{queue a }]"},
		"evicts a lower priority": {true, 1, func(g *admit.Gate) []admit.Action {
			g.Arrive(request("a", call.Low, 1000), at(0))
			return g.Arrive(request("b", call.High, 1000), at(0))
		}, "[{refuse a overloaded} {queue b }]"},
		"keeps an equal priority": {true, 1, func(g *admit.Gate) []admit.Action {
			g.Arrive(request("a", call.Normal, 1000), at(0))
			return g.Arrive(request("b", call.Normal, 900), at(0))
		}, "[{refuse b overloaded}]"},
		"evicts nothing when shedding is off": {false, 1, func(g *admit.Gate) []admit.Action {
			g.Arrive(request("a", call.Low, 1000), at(0))
			return g.Arrive(request("b", call.High, 1000), at(0))
		}, "[{refuse b overloaded}]"},
		"serves the earlier deadline first": {true, 2, func(g *admit.Gate) []admit.Action {
			g.Arrive(request("a", call.Normal, 1000), at(0))
			g.Arrive(request("b", call.Normal, 500), at(0))
			return g.Finish("running", 0, at(1))
		}, "[{start b }]"},
		"serves in order of arrival when shedding is off": {false, 2, func(g *admit.Gate) []admit.Action {
			g.Arrive(request("a", call.Low, 1000), at(0))
			g.Arrive(request("b", call.High, 500), at(0))
			return g.Finish("running", 0, at(1))
		}, "[{start a }]"},
		"refuses expired calls before it starts the next": {true, 2, func(g *admit.Gate) []admit.Action {
			g.Arrive(request("a", call.Normal, 50), at(0))
			g.Arrive(request("b", call.Normal, 5000), at(0))
			return g.Finish("running", 0, at(60))
		}, "[{refuse a deadlineExceeded} {start b }]"},
		"refuses queued calls after a pause": {true, 2, func(g *admit.Gate) []admit.Action {
			g.Arrive(request("a", call.Normal, 1000), at(0))
			g.Arrive(request("b", call.Normal, 60000), at(0))
			return g.Finish("running", 0, at(30000))
		}, "[{refuse a deadlineExceeded} {refuse b stale}]"},
		"refuses queued and new calls when draining": {true, 2, func(g *admit.Gate) []admit.Action {
			g.Arrive(request("a", call.Normal, 1000), at(0))
			return append(g.Drain(at(1)), g.Arrive(request("b", call.Normal, 1000), at(2))...)
		}, "[{refuse a leaving} {refuse b leaving}]"},
		"refuses queued and new calls during an evacuation": {true, 2, func(g *admit.Gate) []admit.Action {
			g.Arrive(request("a", call.Normal, 1000), at(0))
			return append(g.Evacuate(at(1)), g.Arrive(request("b", call.Normal, 1000), at(2))...)
		}, "[{refuse a evacuated} {refuse b evacuated}]"},
		"drains after an evacuation that began during the drain": {true, 2, func(g *admit.Gate) []admit.Action {
			g.Drain(at(0))
			g.Evacuate(at(1))
			g.EndEvacuation()
			return g.Arrive(request("b", call.Normal, 1000), at(2))
		}, "[{refuse b leaving}]"},
		"cancels a running call once": {true, 2, func(g *admit.Gate) []admit.Action {
			return append(g.Cancel("running", at(1)), g.Cancel("running", at(2))...)
		}, "[{cancel running }]"},
		"refuses a cancelled queued call": {true, 2, func(g *admit.Gate) []admit.Action {
			g.Arrive(request("a", call.Normal, 1000), at(0))
			return g.Cancel("a", at(1))
		}, "[{refuse a cancelled}]"},
		"refuses the least urgent calls when the queue shrinks": {true, 2, func(g *admit.Gate) []admit.Action {
			g.Arrive(request("a", call.Low, 1000), at(0))
			g.Arrive(request("b", call.High, 1000), at(0))
			return g.SetLimits(admit.Limits{Slots: 1, Queue: 1, Shed: true}, at(1))
		}, "[{refuse a overloaded}]"},
		"starts queued calls in new slots": {true, 2, func(g *admit.Gate) []admit.Action {
			g.Arrive(request("a", call.Normal, 1000), at(0))
			return g.SetLimits(admit.Limits{Slots: 2, Queue: 1, Shed: true}, at(1))
		}, "[{start a }]"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := fmt.Sprint(tt.do(newFullGate(tt.shed, tt.queue))); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// model tracks the state of each call at a gate and checks every action.
type model struct {
	gate     *admit.Gate
	deadline map[string]time.Time
	ended    map[string]bool
	running  map[string]bool
	drained  bool
	// evacuated is true during an evacuation.
	evacuated bool
	now       time.Time
}

func (m *model) check(t *rapid.T, actions []admit.Action) {
	for _, a := range actions {
		if m.ended[a.CallID] {
			t.Fatalf("got action %v for a call that has ended", a)
		}
		switch a.Kind {
		case admit.Start:
			if m.drained || m.evacuated || !m.now.Before(m.deadline[a.CallID]) || m.running[a.CallID] {
				t.Fatalf("got action %v at %v with drained = %v, evacuated = %v", a, m.now, m.drained, m.evacuated)
			}
			m.running[a.CallID] = true
		case admit.Refuse:
			if m.running[a.CallID] {
				t.Fatalf("got action %v for a running call", a)
			}
			m.ended[a.CallID] = true
		}
	}
	limits := m.gate.Limits()
	if m.gate.Queued() > limits.Queue {
		t.Fatalf("%d calls queued, limit is %d", m.gate.Queued(), limits.Queue)
	}
	if open := len(m.deadline) - len(m.ended); open != m.gate.InFlight()+m.gate.Queued() {
		t.Fatalf("%d calls open, but %d in flight and %d queued", open, m.gate.InFlight(), m.gate.Queued())
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) string {
		return fmt.Sprint(rapid.IntRange(0, max(len(m.deadline)-1, 0)).Draw(t, "call"))
	}
	return map[string]func(*rapid.T){
		"arrive": func(t *rapid.T) {
			priority := rapid.SampledFrom([]call.Priority{call.High, call.Normal, call.Low}).Draw(t, "priority")
			id := fmt.Sprint(len(m.deadline))
			m.deadline[id] = m.now.Add(time.Duration(rapid.IntRange(-1, 300).Draw(t, "deadline")) * time.Millisecond)
			before := len(m.running)
			got := m.gate.Arrive(call.Request{ID: id, Priority: priority, Deadline: m.deadline[id]}, m.now)
			m.check(t, got)
			if len(m.running) > before && len(m.running) > m.gate.Limits().Slots {
				t.Fatalf("%d calls running in %d slots", len(m.running), m.gate.Limits().Slots)
			}
		},
		"finish": func(t *rapid.T) {
			id := pick(t)
			if m.running[id] {
				delete(m.running, id)
				m.ended[id] = true
			}
			before := len(m.running)
			m.check(t, m.gate.Finish(id, time.Duration(rapid.IntRange(0, 200).Draw(t, "took"))*time.Millisecond, m.now))
			if len(m.running) > before && len(m.running) > m.gate.Limits().Slots {
				t.Fatalf("%d calls running in %d slots", len(m.running), m.gate.Limits().Slots)
			}
		},
		"leave": func(t *rapid.T) { m.check(t, m.gate.Cancel(pick(t), m.now)) },
		"drain": func(t *rapid.T) { m.drained = true; m.check(t, m.gate.Drain(m.now)) },
		"open":  func(*rapid.T) { m.drained = false; m.gate.Open() },
		"evacuate": func(t *rapid.T) {
			m.evacuated = true
			m.check(t, m.gate.Evacuate(m.now))
			if m.gate.Queued() > 0 {
				t.Fatalf("%d calls queued during an evacuation", m.gate.Queued())
			}
		},
		"end evacuation": func(*rapid.T) { m.evacuated = false; m.gate.EndEvacuation() },
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 100, 30000}).Draw(t, "ms")) * time.Millisecond)
			m.check(t, m.gate.Tick(m.now))
		},
		"resize": func(t *rapid.T) {
			limits := admit.Limits{Slots: rapid.IntRange(0, 4).Draw(t, "slots"), Queue: rapid.IntRange(0, 4).Draw(t, "queue"), Shed: rapid.Bool().Draw(t, "shed")}
			m.check(t, m.gate.SetLimits(limits, m.now))
		},
	}
}

func TestGateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			gate:     admit.New(admit.Config{Slots: 2, Queue: 3, Shed: rapid.Bool().Draw(t, "shed")}),
			deadline: make(map[string]time.Time),
			ended:    make(map[string]bool),
			running:  make(map[string]bool),
			now:      epoch,
		}
		t.Repeat(m.actions())
	})
}
