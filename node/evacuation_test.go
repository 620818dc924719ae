package node_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/measure"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/node"
)

// listZones lists one instance for each name of the form "a1", whose first letter is its zone.
// The instance beside the daemon is "self:2" in zone a.
func (d *directDaemon) listZones(names ...string) {
	var list []membership.StoreEntry
	for _, name := range names {
		e := membership.StoreEntry{Incarnation: 5, State: membership.Live}
		e.ID, e.UpstreamIncarnation, e.Service, e.AvailabilityZone, e.Slots = name, "i-"+name, "faults", name[:1], 10
		if name == "self:2" {
			e.AvailabilityZone = "a"
		}
		e.Peer, e.Control = name, name+"c"
		list = append(list, e)
	}
	d.update(node.InstancesListed{List: list, Revision: 1})
}

func (d *directDaemon) evacuate(zones ...string) []node.Command {
	return d.update(node.ZonesEvacuated{Zones: zones, Revision: 2})
}

// zonesChosen sends callers' requests and counts the zones to which the first attempts go.
func (d *directDaemon) zonesChosen(name string, requests int) map[string]int {
	zones := map[string]int{}
	for i := range requests {
		id := fmt.Sprintf("%s-%d", name, i)
		f, ok := find(d.request(id, "/look/1"), node.Forward{}).(node.Forward)
		if !ok {
			zones["none"]++
			continue
		}
		zones[f.To.AvailabilityZone]++
		d.update(node.AttemptEnded{ID: id, Number: f.Number, Result: node.Attempt{Outcome: call.Run, Status: 200, Latency: time.Millisecond}})
	}
	return zones
}

// TestNothingIsSentToEvacuatedZone guards against first attempts and retries that go to an
// evacuated zone. Hedges use the same candidates; requests with a route get none.
func TestNothingIsSentToEvacuatedZone(t *testing.T) {
	d := newDirectDaemon(t, config.Retry, config.SpillOver, config.LoadAware)
	d.routes(1, onlyFaults)
	d.listZones("self:2", "a1", "a2", "b1", "b2", "c1")
	d.zonesChosen("before", 400)
	d.evacuate("a", "c")
	kinds := map[string]int{}
	note := func(kind string, out []node.Command) (f node.Forward, ok bool) {
		if f, ok = find(out, node.Forward{}).(node.Forward); ok {
			kinds[kind]++
			if f.To.AvailabilityZone != "b" {
				t.Fatalf("a %s goes to %s", kind, f.To.ID)
			}
		}
		return f, ok
	}
	for i := range 200 {
		id := fmt.Sprint(i)
		first, ok := note("first attempt", d.request(id, "/look/1"))
		if !ok {
			t.Fatal("no attempt")
		}
		reasons := []call.Reason{call.Overloaded, call.ConnectFailed, call.Slow, call.Evacuated}
		refused := node.Attempt{Outcome: call.NotRun, Reason: reasons[i%len(reasons)], Answered: true}
		for f, more := first, true; more; {
			f, more = note("retry", d.update(node.AttemptEnded{ID: id, Number: f.Number, Result: refused}))
		}
		d.update(node.CallerLeft{ID: id})
		d.advance(20 * time.Millisecond)
	}
	if kinds["retry"] == 0 {
		t.Errorf("got %v, want retries", kinds)
	}
}

// peerRequest passes a request of another daemon to the node.
func (d *directDaemon) peerRequest(id string) []node.Command {
	return d.update(node.PeerRequest{From: "b1", Target: "self:2", Request: call.Request{
		ID: id, Service: "faults", Route: "look", Deadline: d.now.Add(time.Minute), Replayable: true,
	}})
}

// checkEvacuated checks that a request was refused because of an evacuation.
func checkEvacuated(t *testing.T, out []node.Command, id string) {
	t.Helper()
	r, ok := find(out, node.Refuse{}).(node.Refuse)
	if !ok || r.ID != id || r.Outcome != call.NotRun || r.Reason != call.Evacuated {
		t.Errorf("got %+v, want a refusal of %s with the reason evacuated", out, id)
	}
}

// TestEvacuatedDaemon guards against an instance that starts requests of daemons which do not
// know of the evacuation, cuts running ones, or is avoided after the end.
func TestEvacuatedDaemon(t *testing.T) {
	d := newDirectDaemon(t, config.Shed, config.Retry, config.SpillOver, config.LoadAware)
	d.routes(1, onlyFaults)
	d.listZones("self:2", "b1")
	for i := range 11 {
		d.peerRequest(fmt.Sprint("r", i))
	}
	if load := d.Load(d.now); load.InFlight != 10 || load.Queued != 1 || load.State != balance.Serving {
		t.Fatalf("got load %+v, want 10 running and 1 queued", load)
	}
	out := d.evacuate("a")
	checkEvacuated(t, out, "r10")
	if find(out, node.CancelRun{}) != nil {
		t.Errorf("got %+v, want no cancellation", out)
	}
	checkEvacuated(t, d.peerRequest("late"), "late")
	if out := d.update(node.RunEnded{ID: "r0", Outcome: call.Run, Status: 200}); find(out, node.Run{}) != nil {
		t.Errorf("got %+v after a run has ended", out)
	}
	if load := d.Load(d.now); load.State != balance.Draining || load.InFlight != 9 {
		t.Errorf("got load %+v, want draining with 9 running", load)
	}
	if s := d.Status(d.now); !s.Ready || !s.Evacuated || s.Leaving || !slices.Equal(s.EvacuatedZones, []string{"a"}) {
		t.Errorf("got status %+v", s)
	}
	if zones := d.zonesChosen("during", 50); zones["b"] != 50 {
		t.Errorf("callers of the evacuated daemon were served by %v", zones)
	}
	d.evacuate()
	if load := d.Load(d.now); load.State != balance.Serving || find(d.peerRequest("after"), node.Run{}) == nil {
		t.Errorf("got load %+v after the end, and a request that does not run", load)
	}
}

// TestEvacuationIsUnionOfSources guards against a zone that returns while one of the sources
// still evacuates it, and against one that outlives both.
func TestEvacuationIsUnionOfSources(t *testing.T) {
	d := newDirectDaemon(t)
	d.routes(1, onlyFaults)
	d.listZones("self:2", "b1")
	steps := []struct {
		do   func()
		want []string
	}{
		{func() { d.evacuate("a", "x") }, []string{"a", "x"}},
		{func() { d.document("zones", `{"kind":"zones","revision":1,"evacuated":["a","b"]}`) }, []string{"a", "b", "x"}},
		{func() { d.evacuate() }, []string{"a", "b"}},
		{func() { d.document("zones", `{"kind":"zones","revision":1,"evacuated":[]}`) }, []string{"a", "b"}},
		{func() { d.document("zones", `{"kind":"zones","revision":2,"evacuated":["b"]}`) }, []string{"b"}},
		{func() { d.document("zones", `{"kind":"zones","revision":3,"evacuated":[]}`) }, nil},
	}
	for i, step := range steps {
		step.do()
		if got := d.Status(d.now); !slices.Equal(got.EvacuatedZones, step.want) || got.Evacuated != slices.Contains(step.want, "a") {
			t.Errorf("step %d: got %v, want %v", i, got.EvacuatedZones, step.want)
		}
	}
}

// TestNoZoneLeft guards against callers that wait for the end of an evacuation.
func TestNoZoneLeft(t *testing.T) {
	d := newDirectDaemon(t, config.Retry, config.SpillOver)
	d.routes(1, onlyFaults)
	d.listZones("self:2", "b1")
	d.evacuate("a", "b")
	a, ok := find(d.request("1", "/order/1"), node.Answer{}).(node.Answer)
	if !ok || a.Outcome != call.NotRun || a.Reason != call.Evacuated || a.RetryAfter <= 0 || call.Status(a.Outcome, a.Reason) != 503 {
		t.Errorf("got %+v, want a refusal with the reason evacuated", a)
	}
}

// TestStaleSenderLeavesZone guards against a request that is lost because a daemon which does
// not know of the evacuation tries one instance of the zone after the other.
func TestStaleSenderLeavesZone(t *testing.T) {
	d := newDirectDaemon(t, config.Retry, config.SpillOver, config.LoadAware)
	d.routes(1, onlyFaults)
	d.listZones("self:2", "a1", "a2", "a3", "a4", "a5", "a6", "b1")
	for i := range 50 {
		id := fmt.Sprint(i)
		f, _ := find(d.request(id, "/order/1"), node.Forward{}).(node.Forward)
		if f.To.AvailabilityZone == "a" {
			refused := node.Attempt{Outcome: call.NotRun, Reason: call.Evacuated, Answered: true}
			f, _ = find(d.update(node.AttemptEnded{ID: id, Number: f.Number, Result: refused}), node.Forward{}).(node.Forward)
		}
		if f.To.ID != "b1" {
			t.Fatalf("the next attempt goes to %q", f.To.ID)
		}
		d.update(node.AttemptEnded{ID: id, Number: f.Number, Result: node.Attempt{Outcome: call.Run, Status: 200}})
	}
}

// TestZoneReturnsInSteps guards against a zone that gets its whole share at once after an
// evacuation, or none for long because its daemons reported that they drain.
func TestZoneReturnsInSteps(t *testing.T) {
	d := newDirectDaemon(t, config.SlowStart, config.LoadAware, config.SpillOver)
	d.routes(1, onlyFaults)
	d.listZones("self:2", "a1", "b1")
	if zones := d.zonesChosen("before", 400); zones["a"] < 350 {
		t.Fatalf("got %v before the evacuation", zones)
	}
	d.evacuate("a")
	d.advance(time.Minute)
	if zones := d.zonesChosen("during", 400); zones["b"] != 400 {
		t.Fatalf("got %v during the evacuation", zones)
	}
	d.evacuate()
	if zones := d.zonesChosen("end", 400); zones["a"] == 0 || zones["a"] > 150 {
		t.Errorf("got %v at the end", zones)
	}
	d.advance(5 * time.Second)
	if zones := d.zonesChosen("middle", 400); zones["a"] < 150 {
		t.Errorf("got %v after 5 s", zones)
	}
	d.advance(6 * time.Second)
	if zones := d.zonesChosen("after", 400); zones["a"] < 350 {
		t.Errorf("got %v after the ramp", zones)
	}
}

// TestKeyIsHandedOnDuringEvacuation guards against keys that can't run because their home is
// in the evacuated zone, and against a home that runs them.
func TestKeyIsHandedOnDuringEvacuation(t *testing.T) {
	sim := newSimulation(5)
	sim.runUntil(sim.now.Add(warmUpTime), func() {})
	sim.publish("zones", `{"kind":"zones","revision":1,"evacuated":["a"]}`)
	sim.runUntil(sim.now.Add(healTime), func() {})
	sim.runUntil(sim.now.Add(20*time.Second), func() {
		if sim.rand.IntN(4) == 0 {
			sim.newOrder()
		}
	})
	sim.runUntil(sim.now.Add(5*time.Second), func() {})
	sim.checkOrders()
	for _, v := range sim.violations {
		t.Error(v)
	}
	total := tally{}
	total.add(sim)
	for _, kind := range []string{"none", "issued", "timed", "opaque", "lookup"} {
		// The network of the simulation loses a part of the answers.
		if c := total[kind]; c[call.NotRun] > 0 || c[call.Run] == 0 {
			t.Errorf("orders with key kind %q: %v", kind, c)
		}
	}
	if s := sim.processes[0].node.Status(sim.now); !s.Ready || !s.Evacuated {
		t.Errorf("got status %+v, want ready and evacuated", s)
	}
}

// TestMeasuringDoesNotStartEvacuated guards against queued requests that start with a reading
// which arrives after the evacuation has begun.
func TestMeasuringDoesNotStartEvacuated(t *testing.T) {
	d := newDirectDaemon(t, config.Probe, config.LoadAware)
	d.routes(1, onlyFaults)
	d.listZones("self:2", "b1")
	// The budget of probes begins empty, so the first request starts without a reading.
	d.peerRequest("0")
	d.advance(time.Second)
	if out := d.peerRequest("1"); find(out, node.Probe{}) == nil {
		t.Fatalf("got %+v, want a probe", out)
	}
	d.evacuate("a")
	if out := d.update(node.ProbeEnded{Reading: measure.Reading{State: measure.Serving, PacePercent: 100}}); find(out, node.Run{}) != nil {
		t.Errorf("got %+v, want no run", out)
	}
}
