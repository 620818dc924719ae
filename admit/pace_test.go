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

// TestPacedGateLosesNothing: each call is started or refused once, and never
// more run than there are slots.
func TestPacedGateLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		g := admit.New(admit.Config{})
		g.Resize(admit.Limits{Slots: slots, Queue: 6, Shed: rapid.Bool().Draw(t, "shed"), Paced: true}, began)
		now, next := 0, 0
		state := map[string]string{}
		running := []string{}
		note := func(actions []admit.Action) {
			for _, a := range actions {
				switch a.Kind {
				case admit.Start:
					if state[a.CallID] != "queued" {
						t.Fatalf("%s started while %q", a.CallID, state[a.CallID])
					}
					state[a.CallID] = "running"
					running = append(running, a.CallID)
				case admit.Refuse:
					if state[a.CallID] != "queued" {
						t.Fatalf("%s refused while %q", a.CallID, state[a.CallID])
					}
					state[a.CallID] = "refused"
				}
			}
			if len(running) > slots {
				t.Fatalf("%d run in %d slots", len(running), slots)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.IntRange(0, 60).Draw(t, "ms")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				next++
				r := paced(fmt.Sprint(next), now+rapid.IntRange(50, 600).Draw(t, "target"))
				r.Patient = rapid.Bool().Draw(t, "patient")
				state[r.ID] = "queued"
				note(g.Arrive(r, ms(now)))
			case 2:
				note(g.Measured(rapid.SampledFrom([]int{0, 100, 200, 500}).Draw(t, "pace"), ms(now)))
			case 3:
				note(g.Unmeasured(ms(now)))
			case 4:
				if len(running) > 0 {
					id := running[0]
					running = running[1:]
					note(g.Finish(id, 50*time.Millisecond, ms(now)))
				}
			}
		}
		for range 200 {
			now += 100
			note(g.Measured(100, ms(now)))
			for len(running) > 0 {
				id := running[0]
				running = running[1:]
				note(g.Finish(id, 50*time.Millisecond, ms(now)))
			}
		}
		for id, s := range state {
			if s == "queued" {
				t.Fatalf("%s is still queued", id)
			}
		}
	})
}
