package admit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/call"
)

var paceStart = time.Unix(1_800_000_000, 0)

func paceAt(ms int) time.Time { return paceStart.Add(time.Duration(ms) * time.Millisecond) }

// pacedRequest returns a request that takes 100 ms at nominal pace. target is in
// milliseconds after paceStart.
func pacedRequest(id string, target int) call.Request {
	return call.Request{
		ID: id, Priority: call.PriorityOfRank(1), ExpectedWork: 100 * time.Millisecond, Target: paceAt(target), Deadline: paceAt(target + 400),
	}
}

func waitWhenSlow(r call.Request) call.Request {
	r.WaitWhenSlow = true
	return r
}

func TestPace(t *testing.T) {
	type event struct {
		ms         int
		arrive     *call.Request
		pace       int // a reading
		unmeasured bool
		finish     string
		tick       bool
	}
	arrive := func(at int, r call.Request) event { return event{ms: at, arrive: &r} }
	tests := map[string]struct {
		slots  int
		events []event
		want   []string
	}{
		"measures first": {2, []event{arrive(0, pacedRequest("a", 400))}, []string{"measure"}},
		"starts on a fresh reading": {2, []event{arrive(0, pacedRequest("a", 400)), {ms: 1, pace: 100}},
			[]string{"measure", "start a"}},
		"one reading starts all waiting calls": {2, []event{arrive(0, pacedRequest("a", 400)), arrive(1, pacedRequest("b", 400)), {ms: 2, pace: 100}},
			[]string{"measure", "start a", "start b"}},
		"fresh reading is used for the next call": {2, []event{{ms: 0, pace: 100}, arrive(4, pacedRequest("a", 400))}, []string{"start a"}},
		"old reading is not used":                 {2, []event{{ms: 0, pace: 100}, arrive(50, pacedRequest("a", 400))}, []string{"measure"}},
		"call is refused while slow":              {2, []event{arrive(0, pacedRequest("a", 400)), {ms: 1, pace: 500}}, []string{"measure", "refuse a slow"}},
		"short call starts while slow": {2, []event{arrive(0, func() call.Request {
			r := pacedRequest("a", 400)
			r.ExpectedWork = 2 * time.Millisecond
			return r
		}()), {ms: 1, pace: 500}}, []string{"measure", "start a"}},
		"call with WaitWhenSlow is held, then starts": {2, []event{arrive(0, waitWhenSlow(pacedRequest("a", 800))), {ms: 1, pace: 500}, {ms: 90, pace: 100}},
			[]string{"measure", "start a"}},
		"prolonged slow period is not waited out": {2, []event{arrive(0, waitWhenSlow(pacedRequest("a", 2000))), {ms: 1, pace: 500}, {ms: 700, pace: 500}},
			[]string{"measure", "start a"}},
		"call starts without a measurement if none is allowed": {2, []event{arrive(0, pacedRequest("a", 400)), {ms: 1, unmeasured: true}}, []string{"measure", "start a"}},
		"call starts after the measurement has timed out": {2, []event{arrive(0, pacedRequest("a", 400)), {ms: 50, tick: true}, {ms: 51, pace: 100}},
			[]string{"measure", "start a"}},
		"long slow pace becomes the baseline, as after a start": {2, []event{{ms: 0, pace: 200}, {ms: 300, pace: 200}, {ms: 500, pace: 200}, {ms: 900, pace: 200}, arrive(901, pacedRequest("a", 1400))},
			[]string{"start a"}},
		"slower than a slow baseline is slow": {2, []event{{ms: 0, pace: 200}, {ms: 300, pace: 200}, {ms: 500, pace: 200}, {ms: 900, pace: 1000}, arrive(901, pacedRequest("a", 1400))},
			[]string{"refuse a slow"}},
		"unhealthy pace does not become the baseline": {2, []event{{ms: 0, pace: 480}, {ms: 300, pace: 480}, {ms: 500, pace: 480}, {ms: 900, pace: 480}, arrive(901, pacedRequest("a", 1400))},
			[]string{"refuse a slow"}},
		"better pace restores the baseline": {2, []event{{ms: 0, pace: 200}, {ms: 900, pace: 200}, {ms: 1400, pace: 100}, {ms: 1500, pace: 200}, arrive(1501, pacedRequest("a", 2000))},
			[]string{"refuse a slow"}},
		"no more calls than slots": {1, []event{{ms: 0, pace: 100}, arrive(1, pacedRequest("a", 400)), arrive(2, pacedRequest("b", 400)), {ms: 60, pace: 100}, {ms: 61, finish: "a"}},
			[]string{"start a", "start b"}},
		"earlier target first": {1, []event{{ms: 0, pace: 100}, arrive(1, pacedRequest("a", 400)), arrive(2, pacedRequest("b", 900)), arrive(3, pacedRequest("c", 600)), {ms: 99, pace: 100}, {ms: 100, finish: "a"}},
			[]string{"start a", "start c"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := admit.New(admit.Config{})
			g.SetLimits(admit.Limits{Slots: test.slots, Queue: 10, Shed: true, Paced: true}, paceStart)
			var got []string
			record := func(actions []admit.Action) {
				for _, a := range actions {
					switch a.Kind {
					case admit.Measure:
						got = append(got, "measure")
					case admit.Start:
						got = append(got, "start "+a.CallID)
					case admit.Refuse:
						got = append(got, "refuse "+a.CallID+" "+string(a.Reason))
					}
				}
			}
			for _, e := range test.events {
				switch now := paceAt(e.ms); {
				case e.arrive != nil:
					record(g.Arrive(*e.arrive, now))
				case e.pace > 0:
					record(g.Measured(e.pace, now))
				case e.unmeasured:
					record(g.Unmeasured(now))
				case e.finish != "":
					record(g.Finish(e.finish, 100*time.Millisecond, now))
				case e.tick:
					record(g.Tick(now))
				}
			}
			if !slices.Equal(got, test.want) {
				t.Fatalf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestBaselinePaceOfColdUpstream checks that calls start at the slower pace of an
// upstream that has just started, as there is no better pace to wait for.
func TestBaselinePaceOfColdUpstream(t *testing.T) {
	tests := map[string]struct {
		cold bool
		pace int
		want admit.Kind
	}{
		"cold":              {true, 200, admit.Start},
		"cold and slow too": {true, 1000, admit.Refuse},
		"warm and slow":     {false, 200, admit.Refuse},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := admit.New(admit.Config{})
			g.SetLimits(admit.Limits{Slots: 2, Queue: 10, Shed: true, Paced: true, Cold: test.cold}, paceStart)
			g.Measured(test.pace, paceAt(0))
			got := g.Arrive(pacedRequest("a", 500), paceAt(1))
			if len(got) != 1 || got[0].Kind != test.want {
				t.Fatalf("got %v, want %s", got, test.want)
			}
		})
	}
}

// TestOverloadedGateMeetsTargetsOrRefusesEarly sends identical calls at about twice the
// capacity of the slots. Calls that start must end by their target, and refused
// calls must not have waited long.
func TestOverloadedGateMeetsTargetsOrRefusesEarly(t *testing.T) {
	const slots, intervalMs, workMs, targetMs = 4, 12, 100, 300
	g := admit.New(admit.Config{})
	g.SetLimits(admit.Limits{Slots: slots, Queue: 20, Shed: true, Paced: true}, paceStart)
	ends := map[string]int{}
	arrived := map[string]int{}
	late, inTime, refused, maxWait := 0, 0, 0, 0
	record := func(actions []admit.Action, now int) {
		for _, a := range actions {
			switch a.Kind {
			case admit.Start:
				ends[a.CallID] = now + workMs
				if now+workMs > arrived[a.CallID]+targetMs {
					late++
				} else {
					inTime++
				}
			case admit.Refuse:
				refused++
				maxWait = max(maxWait, now-arrived[a.CallID])
			}
		}
	}
	for now := range 10_000 {
		record(g.Measured(100, paceAt(now)), now)
		for id, end := range ends {
			if end == now {
				delete(ends, id)
				record(g.Finish(id, workMs*time.Millisecond, paceAt(now)), now)
			}
		}
		if now%intervalMs == 0 {
			id := fmt.Sprint(now)
			arrived[id] = now
			r := pacedRequest(id, now+targetMs)
			record(g.Arrive(r, paceAt(now)), now)
		}
	}
	possible := 10_000 / workMs * slots
	if inTime < possible*95/100 || late > inTime/50 || refused == 0 || maxWait > targetMs {
		t.Fatalf("%d calls in time of %d possible, %d late, %d refused, longest wait before refusal %d ms", inTime, possible, late, refused, maxWait)
	}
}

// callTracker tracks the state of each call at a gate.
type callTracker struct {
	t       *rapid.T
	gate    *admit.Gate
	slots   int
	now     int
	state   map[string]string
	running []string
}

// record applies actions and checks that only queued calls are started or refused.
func (c *callTracker) record(actions []admit.Action) {
	for _, a := range actions {
		if a.Kind != admit.Start && a.Kind != admit.Refuse {
			continue
		}
		if c.state[a.CallID] != "queued" {
			c.t.Fatalf("got action %s for call %s in state %q", a.Kind, a.CallID, c.state[a.CallID])
		}
		c.state[a.CallID] = string(a.Kind)
		if a.Kind == admit.Start {
			c.running = append(c.running, a.CallID)
		}
	}
	if len(c.running) > c.slots {
		c.t.Fatalf("%d calls running in %d slots", len(c.running), c.slots)
	}
}

// finish ends the call that started first and reports whether there was one.
func (c *callTracker) finish() bool {
	if len(c.running) == 0 {
		return false
	}
	id := c.running[0]
	c.running = c.running[1:]
	c.record(c.gate.Finish(id, 50*time.Millisecond, paceAt(c.now)))
	return true
}

// step triggers one random event at the gate.
func (c *callTracker) step(next int) {
	switch rapid.IntRange(0, 4).Draw(c.t, "what") {
	case 0, 1:
		r := pacedRequest(fmt.Sprint(next), c.now+rapid.IntRange(50, 600).Draw(c.t, "target"))
		r.WaitWhenSlow = rapid.Bool().Draw(c.t, "waitWhenSlow")
		c.state[r.ID] = "queued"
		c.record(c.gate.Arrive(r, paceAt(c.now)))
	case 2:
		c.record(c.gate.Measured(rapid.SampledFrom([]int{0, 100, 200, 500}).Draw(c.t, "pace"), paceAt(c.now)))
	case 3:
		c.record(c.gate.Unmeasured(paceAt(c.now)))
	case 4:
		c.finish()
	}
}

// TestPacedGateStartsOrRefusesEachCallOnce checks that each call is started or
// refused once, and that no more calls run than there are slots.
func TestPacedGateStartsOrRefusesEachCallOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &callTracker{t: t, gate: admit.New(admit.Config{}), slots: rapid.IntRange(1, 4).Draw(t, "slots"), state: map[string]string{}}
		c.gate.SetLimits(admit.Limits{Slots: c.slots, Queue: 6, Shed: rapid.Bool().Draw(t, "shed"), LeastCost: rapid.Bool().Draw(t, "leastCost"), Paced: true}, paceStart)
		for next := range rapid.IntRange(1, 80).Draw(t, "steps") {
			c.now += rapid.IntRange(0, 60).Draw(t, "ms")
			c.step(next)
		}
		for range 200 {
			c.now += 100
			c.record(c.gate.Measured(100, paceAt(c.now)))
			for c.finish() {
			}
		}
		for id, s := range c.state {
			if s == "queued" {
				t.Fatalf("call %s is still queued", id)
			}
		}
	})
}
