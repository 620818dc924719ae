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

var began = time.Unix(1_800_000_000, 0)

func ms(n int) time.Time { return began.Add(time.Duration(n) * time.Millisecond) }

// paced is a request that takes 100 ms at the usual pace.
func paced(id string, target int) call.Request {
	return call.Request{
		ID: id, Priority: call.Ranked(1), Work: 100 * time.Millisecond, Target: ms(target), Deadline: ms(target + 400),
	}
}

func patient(r call.Request) call.Request {
	r.Patient = true
	return r
}

func TestPace(t *testing.T) {
	type event struct {
		ms     int
		arrive *call.Request
		pace   int // a reading
		none   bool
		finish string
		wake   bool
	}
	arrive := func(at int, r call.Request) event { return event{ms: at, arrive: &r} }
	tests := map[string]struct {
		slots  int
		events []event
		want   []string
	}{
		"asks first": {2, []event{arrive(0, paced("a", 400))}, []string{"measure"}},
		"starts on a fresh reading": {2, []event{arrive(0, paced("a", 400)), {ms: 1, pace: 100}},
			[]string{"measure", "start a"}},
		"one reading serves those who wait": {2, []event{arrive(0, paced("a", 400)), arrive(1, paced("b", 400)), {ms: 2, pace: 100}},
			[]string{"measure", "start a", "start b"}},
		"a fresh reading serves the next": {2, []event{{ms: 0, pace: 100}, arrive(4, paced("a", 400))}, []string{"start a"}},
		"an old reading does not":         {2, []event{{ms: 0, pace: 100}, arrive(50, paced("a", 400))}, []string{"measure"}},
		"slow turns away":                 {2, []event{arrive(0, paced("a", 400)), {ms: 1, pace: 500}}, []string{"measure", "refuse a slow"}},
		"slow but short work starts": {2, []event{arrive(0, func() call.Request {
			r := paced("a", 400)
			r.Work = 2 * time.Millisecond
			return r
		}()), {ms: 1, pace: 500}}, []string{"measure", "start a"}},
		"a patient one is held, then starts": {2, []event{arrive(0, patient(paced("a", 800))), {ms: 1, pace: 500}, {ms: 90, pace: 100}},
			[]string{"measure", "start a"}},
		"a lasting spell is not waited out": {2, []event{arrive(0, patient(paced("a", 2000))), {ms: 1, pace: 500}, {ms: 700, pace: 500}},
			[]string{"measure", "start a"}},
		"what may not be measured starts": {2, []event{arrive(0, paced("a", 400)), {ms: 1, none: true}}, []string{"measure", "start a"}},
		"a measurement that hangs is asked again": {2, []event{arrive(0, paced("a", 400)), {ms: 50, wake: true}, {ms: 51, pace: 100}},
			[]string{"measure", "start a"}},
		"slow for long is usual, as after a start": {2, []event{{ms: 0, pace: 200}, {ms: 300, pace: 200}, {ms: 500, pace: 200}, {ms: 900, pace: 200}, arrive(901, paced("a", 1400))},
			[]string{"start a"}},
		"slower than slow for long is slow": {2, []event{{ms: 0, pace: 200}, {ms: 300, pace: 200}, {ms: 500, pace: 200}, {ms: 900, pace: 1000}, arrive(901, paced("a", 1400))},
			[]string{"refuse a slow"}},
		"ill for long is not usual": {2, []event{{ms: 0, pace: 480}, {ms: 300, pace: 480}, {ms: 500, pace: 480}, {ms: 900, pace: 480}, arrive(901, paced("a", 1400))},
			[]string{"refuse a slow"}},
		"the best of late comes back": {2, []event{{ms: 0, pace: 200}, {ms: 900, pace: 200}, {ms: 1400, pace: 100}, {ms: 1500, pace: 200}, arrive(1501, paced("a", 2000))},
			[]string{"refuse a slow"}},
		"no more than the slots": {1, []event{{ms: 0, pace: 100}, arrive(1, paced("a", 400)), arrive(2, paced("b", 400)), {ms: 60, pace: 100}, {ms: 61, finish: "a"}},
			[]string{"start a", "start b"}},
		"the earlier target first": {1, []event{{ms: 0, pace: 100}, arrive(1, paced("a", 400)), arrive(2, paced("b", 900)), arrive(3, paced("c", 600)), {ms: 99, pace: 100}, {ms: 100, finish: "a"}},
			[]string{"start a", "start c"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := admit.New(admit.Config{})
			g.Resize(admit.Limits{Slots: test.slots, Queue: 10, Shed: true, Paced: true}, began)
			var got []string
			note := func(actions []admit.Action) {
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
				switch now := ms(e.ms); {
				case e.arrive != nil:
					note(g.Arrive(*e.arrive, now))
				case e.pace > 0:
					note(g.Measured(e.pace, now))
				case e.none:
					note(g.Unmeasured(now))
				case e.finish != "":
					note(g.Finish(e.finish, 100*time.Millisecond, now))
				case e.wake:
					note(g.Tick(now))
				}
			}
			if !slices.Equal(got, test.want) {
				t.Fatalf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestColdUpstreamStartsAtOnce: an upstream that has just started is slower than
// usual, and has no better pace to wait for.
func TestColdUpstreamStartsAtOnce(t *testing.T) {
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
			g.Resize(admit.Limits{Slots: 2, Queue: 10, Shed: true, Paced: true, Cold: test.cold}, began)
			g.Measured(test.pace, ms(0))
			got := g.Arrive(paced("a", 500), ms(1))
			if len(got) != 1 || got[0].Kind != test.want {
				t.Fatalf("got %v, want %s", got, test.want)
			}
		})
	}
}

// TestTargetsAreMetOrRefusedEarly: twice the load of the slots, all of one kind.
// What is started ends by its target; what is refused was not held long.
func TestTargetsAreMetOrRefusedEarly(t *testing.T) {
	const slots, every, work, target = 4, 12, 100, 300
	g := admit.New(admit.Config{})
	g.Resize(admit.Limits{Slots: slots, Queue: 20, Shed: true, Paced: true}, began)
	ends := map[string]int{}
	arrived := map[string]int{}
	late, inTime, refused, held := 0, 0, 0, 0
	note := func(actions []admit.Action, now int) {
		for _, a := range actions {
			switch a.Kind {
			case admit.Start:
				ends[a.CallID] = now + work
				if now+work > arrived[a.CallID]+target {
					late++
				} else {
					inTime++
				}
			case admit.Refuse:
				refused++
				held = max(held, now-arrived[a.CallID])
			}
		}
	}
	for now := range 10_000 {
		note(g.Measured(100, ms(now)), now)
		for id, end := range ends {
			if end == now {
				delete(ends, id)
				note(g.Finish(id, work*time.Millisecond, ms(now)), now)
			}
		}
		if now%every == 0 {
			id := fmt.Sprint(now)
			arrived[id] = now
			r := paced(id, now+target)
			note(g.Arrive(r, ms(now)), now)
		}
	}
	most := 10_000 / work * slots
	if inTime < most*95/100 || late > inTime/50 || refused == 0 || held > target {
		t.Fatalf("%d in time of %d possible, %d late, %d refused, held %d ms", inTime, most, late, refused, held)
	}
}

// ledger follows what becomes of each call at a gate.
type ledger struct {
	t       *rapid.T
	gate    *admit.Gate
	slots   int
	now     int
	state   map[string]string
	running []string
}

// note takes in actions: a call is started or refused once, while it is queued.
func (l *ledger) note(actions []admit.Action) {
	for _, a := range actions {
		if a.Kind != admit.Start && a.Kind != admit.Refuse {
			continue
		}
		if l.state[a.CallID] != "queued" {
			l.t.Fatalf("%s of %s while %q", a.Kind, a.CallID, l.state[a.CallID])
		}
		l.state[a.CallID] = string(a.Kind)
		if a.Kind == admit.Start {
			l.running = append(l.running, a.CallID)
		}
	}
	if len(l.running) > l.slots {
		l.t.Fatalf("%d run in %d slots", len(l.running), l.slots)
	}
}

// finish ends the call that has run longest, if there is one.
func (l *ledger) finish() bool {
	if len(l.running) == 0 {
		return false
	}
	id := l.running[0]
	l.running = l.running[1:]
	l.note(l.gate.Finish(id, 50*time.Millisecond, ms(l.now)))
	return true
}

// step makes one thing happen at the gate.
func (l *ledger) step(next int) {
	switch rapid.IntRange(0, 4).Draw(l.t, "what") {
	case 0, 1:
		r := paced(fmt.Sprint(next), l.now+rapid.IntRange(50, 600).Draw(l.t, "target"))
		r.Patient = rapid.Bool().Draw(l.t, "patient")
		l.state[r.ID] = "queued"
		l.note(l.gate.Arrive(r, ms(l.now)))
	case 2:
		l.note(l.gate.Measured(rapid.SampledFrom([]int{0, 100, 200, 500}).Draw(l.t, "pace"), ms(l.now)))
	case 3:
		l.note(l.gate.Unmeasured(ms(l.now)))
	case 4:
		l.finish()
	}
}

// TestPacedGateLosesNothing: each call is started or refused once, and never
// more run than there are slots.
func TestPacedGateLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &ledger{t: t, gate: admit.New(admit.Config{}), slots: rapid.IntRange(1, 4).Draw(t, "slots"), state: map[string]string{}}
		l.gate.Resize(admit.Limits{Slots: l.slots, Queue: 6, Shed: rapid.Bool().Draw(t, "shed"), Paced: true}, began)
		for next := range rapid.IntRange(1, 80).Draw(t, "steps") {
			l.now += rapid.IntRange(0, 60).Draw(t, "ms")
			l.step(next)
		}
		for range 200 {
			l.now += 100
			l.note(l.gate.Measured(100, ms(l.now)))
			for l.finish() {
			}
		}
		for id, s := range l.state {
			if s == "queued" {
				t.Fatalf("%s is still queued", id)
			}
		}
	})
}
