package node_test

import (
	"flag"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/measure"
	"pomelodoor.example/pomelodoor/node"
)

var (
	schedules   = flag.Uint64("schedules", 1000, "number of schedules")
	traceEvents = flag.Bool("trace", false, "print the events of each schedule")
	firstSeed   = flag.Uint64("seed", 1, "seed of the first schedule")
)

const (
	// warmUpTime is longer than a new fleet takes to trust the list and then to
	// cover the whole validity window of caller-supplied keys.
	warmUpTime = 60 * time.Second
	faultTime  = 40 * time.Second
	// healTime is how long a configuration may take to be in force everywhere.
	healTime = 15 * time.Second
	maxSends = 4
)

// TestSchedules runs seeded schedules of freezes, kills, partitions, outages,
// stale reads, drains, evacuations and conflicting documents of operators, and checks the
// guarantees. A seed repeats its schedule exactly:
//
//	go test ./node -run TestSchedules -args -seed 17 -schedules 1
func TestSchedules(t *testing.T) {
	var next atomic.Uint64
	next.Store(*firstSeed)
	last := *firstSeed + *schedules
	if testing.Short() {
		last = *firstSeed + *schedules/10
	}
	var mu sync.Mutex
	total := tally{}
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Add(1)
		go func() {
			defer group.Done()
			for seed := next.Add(1) - 1; seed < last; seed = next.Add(1) - 1 {
				sim := schedule(seed, nil)
				for _, v := range sim.violations {
					t.Errorf("seed %d: %s", seed, v)
				}
				mu.Lock()
				total.add(sim)
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	t.Logf("%d schedules", last-*firstSeed)
	for _, kind := range slices.Sorted(maps.Keys(total)) {
		c := total[kind]
		t.Logf("%-8s %6d orders: run %d, notRun %d, unknown %d; %d runs",
			kind, c[call.Run]+c[call.NotRun]+c[call.Unknown], c[call.Run], c[call.NotRun], c[call.Unknown], c["ran"])
		if c["ran"] == 0 {
			t.Errorf("no order with key kind %q ran, so the schedules do not test it", kind)
		}
	}
}

// tally counts orders by the kind of their key and the outcome reported to
// their callers.
type tally map[string]map[call.Outcome]int

func (c tally) add(sim *simulation) {
	for _, o := range sim.orders {
		if c[o.kind] == nil {
			c[o.kind] = map[call.Outcome]int{}
		}
		c[o.kind][o.outcome()]++
		for _, s := range o.sends {
			c[o.kind]["ran"] += sim.runs[s.id]
		}
	}
}

// TestCheckersCatchInjectedFaults injects faults into simulations: each checker
// must find its fault within a few schedules.
func TestCheckersCatchInjectedFaults(t *testing.T) {
	cases := map[string]struct {
		inject func(*simulation)
		want   string
	}{
		"a key is granted without a look-up":   {func(sim *simulation) { sim.inject.grantAll = true }, "times"},
		"a request is sent twice":              {func(sim *simulation) { sim.inject.sendTwice = true }, "times"},
		"a lost answer is reported as notRun":  {func(sim *simulation) { sim.inject.lostIsNotRun = true }, "received notRun, but the request ran"},
		"the daemon misses a drain":            {func(sim *simulation) { sim.inject.ignoreDrain = true }, "after it began to leave"},
		"a restarted daemon forgets documents": {func(sim *simulation) { sim.inject.forgetDocuments = true }, "went back"},
		"a daemon receives no messages":        {func(sim *simulation) { sim.inject.receiveNothing = true }, "holds"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(40) {
				sim := schedule(seed, tc.inject)
				if slices.ContainsFunc(sim.violations, func(v string) bool { return strings.Contains(v, tc.want) }) {
					return
				}
			}
			t.Fatal("fault not found in 40 schedules")
		})
	}
}

// schedule runs one seeded schedule. inject may set faults in the simulation.
func schedule(seed uint64, inject func(*simulation)) *simulation {
	sim := newSimulation(seed)
	sim.trace = *traceEvents
	if inject != nil {
		inject(sim)
	}
	sim.runUntil(sim.now.Add(warmUpTime), func() {})
	end := sim.now.Add(faultTime)
	sim.runUntil(end, sim.disturb)
	sim.heal()
	sim.runUntil(sim.now.Add(healTime), func() {})
	sim.checkConverged()
	sim.runUntil(sim.now.Add(5*time.Second), func() {})
	sim.checkOrders()
	return sim
}

// runUntil advances time in steps. Each step delivers the due messages, ticks
// every process, and then calls each.
func (sim *simulation) runUntil(end time.Time, each func()) {
	for sim.now.Before(end) {
		sim.now = sim.now.Add(tickInterval)
		sim.deliverDue()
		for _, proc := range sim.processes {
			sim.update(proc, node.Tick{})
		}
		each()
	}
}

func (sim *simulation) deliverDue() {
	var due []queuedMessage
	sim.queue = slices.DeleteFunc(sim.queue, func(q queuedMessage) bool {
		if q.at.After(sim.now) {
			return false
		}
		due = append(due, q)
		return true
	})
	slices.SortStableFunc(due, func(a, b queuedMessage) int { return a.at.Compare(b.at) })
	for _, q := range due {
		sim.deliverInbox(q.to)
		sim.update(q.to, q.msg)
	}
	for _, proc := range sim.processes {
		sim.deliverInbox(proc)
	}
}

// deliverInbox delivers to a process that is no longer frozen the messages
// received meanwhile.
func (sim *simulation) deliverInbox(proc *process) {
	if proc.dead || sim.now.Before(proc.frozenUntil) || len(proc.inbox) == 0 {
		return
	}
	inbox := proc.inbox
	proc.inbox = nil
	for _, msg := range inbox {
		if _, tick := msg.(node.Tick); !tick {
			sim.update(proc, msg)
		}
	}
}

// disturb causes faults and sends orders, at random.
func (sim *simulation) disturb() {
	i := sim.rand.IntN(instances)
	proc := sim.processes[i]
	switch sim.rand.IntN(400) {
	case 0:
		proc.frozenUntil = sim.now.Add(time.Duration(sim.rand.IntN(30_000)) * time.Millisecond)
	case 1:
		sim.start(i)
		if sim.inject.forgetDocuments {
			sim.restartAll()
		}
	case 2:
		sim.partition = map[string]int{proc.id: 1}
	case 3:
		sim.partition = map[string]int{sim.processes[0].id: 1, sim.processes[1].id: 1}
	case 4, 5:
		sim.partition = map[string]int{}
	case 6:
		sim.platformDown = !sim.platformDown
	case 7:
		sim.publishSwitches()
	case 8:
		sim.toggleStale()
	case 9:
		sim.drainUpstream(proc)
	case 10, 11:
		sim.publishZones()
	}
	if sim.rand.IntN(4) == 0 {
		sim.newOrder()
	}
	if sim.rand.IntN(4) == 0 {
		sim.resend()
	}
}

// restartAll restarts every daemon while the platform shows the first documents
// again. The revisions held before the restart remain the minimum to be held.
func (sim *simulation) restartAll() {
	sim.platformStale, sim.platformDown = true, false
	sim.stale = map[string]document{}
	sim.stale["switches"] = document{sim.version, firstSwitches}
	for i := range sim.processes {
		sim.start(i)
	}
}

// publishSwitches publishes new switches, sometimes two conflicting documents
// of one revision.
func (sim *simulation) publishSwitches() {
	revision := sim.version + 10
	sim.publish("switches", fmt.Sprintf(`{"kind":"switches","revision":%d,"allOff":true}`, revision))
	if sim.rand.IntN(2) == 0 {
		sim.publish("switches", fmt.Sprintf(`{"kind":"switches","revision":%d,"allow":["retry"]}`, revision))
	}
}

// publishZones evacuates one zone, all of them or none.
func (sim *simulation) publishZones() {
	evacuated := []string{`[]`, `["a"]`, `["b"]`, `["a","b"]`}[sim.rand.IntN(4)]
	sim.publish("zones", fmt.Sprintf(`{"kind":"zones","revision":%d,"evacuated":%s}`, sim.version+10, evacuated))
}

// toggleStale makes the platform show an old state from now on, or the current
// one again.
func (sim *simulation) toggleStale() {
	sim.platformStale = !sim.platformStale
	if sim.platformStale && len(sim.stale) == 0 {
		for key, d := range sim.docs {
			sim.stale[key] = d
		}
	}
}

// drainUpstream makes the upstream of a process drain, as reported by its next
// probe.
func (sim *simulation) drainUpstream(proc *process) {
	if proc.dead || sim.now.Before(proc.frozenUntil) || !proc.leftAt.IsZero() {
		return
	}
	proc.leftAt = sim.now
	if sim.inject.ignoreDrain {
		return
	}
	sim.update(proc, node.ProbeEnded{Reading: measure.Reading{State: measure.Draining}})
}

func (sim *simulation) heal() {
	sim.partition = map[string]int{}
	sim.platformDown, sim.platformStale = false, false
	for _, proc := range sim.processes {
		proc.frozenUntil = time.Time{}
	}
}

// newOrder makes a caller send a new order, with a key of some kind or none.
func (sim *simulation) newOrder() {
	o := &order{token: fmt.Sprintf("o%d", len(sim.orders)), kind: "none"}
	switch sim.rand.IntN(5) {
	case 4:
		o.kind = "lookup"
	case 0:
		o.kind, o.key = "opaque", "opaque-"+o.token
	case 1:
		o.kind, o.key = "timed", sim.timedKey()
	case 2:
		proc := sim.processes[sim.rand.IntN(instances)]
		if proc.dead || sim.now.Before(proc.frozenUntil) {
			return
		}
		key, ok := proc.node.IssueKey(sim.now)
		if !ok {
			return
		}
		o.kind, o.key = "issued", key
	}
	sim.orders = append(sim.orders, o)
	sim.send(o)
}

// timedKey returns a UUID of version 7 (RFC 9562, section 5.7).
func (sim *simulation) timedKey() string {
	ms := uint64(sim.now.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", ms>>16, ms&0xffff,
		sim.rand.IntN(1<<12), sim.rand.IntN(1<<12), sim.rand.Uint64()>>16)
}

// resend sends an order again as a correct caller would: with a key whenever
// the last send did not certainly run, without one only after notRun.
func (sim *simulation) resend() {
	if len(sim.orders) == 0 {
		return
	}
	o := sim.orders[max(0, len(sim.orders)-1-sim.rand.IntN(60))]
	last := o.sends[len(o.sends)-1].reported
	again := last == call.NotRun || o.key != "" && (last == call.Unknown || last == "" && sim.rand.IntN(8) == 0)
	if again && len(o.sends) < maxSends {
		sim.send(o)
	}
}

func (sim *simulation) send(o *order) {
	s := &send{id: fmt.Sprintf("%s.%d", o.token, len(o.sends))}
	o.sends = append(o.sends, s)
	method := "POST"
	if o.kind == "lookup" {
		method = "GET"
	}
	sim.update(sim.processes[sim.rand.IntN(instances)], node.CallerRequest{Request: call.Request{
		ID: s.id, Service: "faults", Caller: "dispatch", Method: method, Key: o.key,
		Fingerprint: uint64(len(o.token)), Replayable: true, Deadline: sim.now.Add(3 * time.Second),
	}})
}

// outcome returns the best outcome reported to the caller of an order.
func (o *order) outcome() call.Outcome {
	best := call.NotRun
	for _, s := range o.sends {
		switch s.reported {
		case call.Run:
			return call.Run
		case call.NotRun:
		default:
			best = call.Unknown
		}
	}
	return best
}

// checkRevisions reports a document that went back to an older revision within
// one incarnation of a daemon.
func (sim *simulation) checkRevisions(proc *process) {
	for _, d := range proc.node.Documents() {
		if d.Revision < proc.highest[d.Key] {
			sim.violation("%s went back to revision %d of %s", proc.id, d.Revision, d.Key)
		}
		proc.highest[d.Key] = d.Revision
	}
}

// checkConverged reports a daemon whose documents differ from the others' after
// healTime without faults.
func (sim *simulation) checkConverged() {
	first := sim.processes[0].node.Documents()
	newest := uint64(0)
	for _, proc := range sim.processes {
		if !slices.Equal(first, proc.node.Documents()) {
			sim.violation("%s holds %v, %s holds %v", sim.processes[0].id, first, proc.id, proc.node.Documents())
		}
		for _, d := range proc.node.Documents() {
			if d.Key == "switches" {
				newest = max(newest, d.Revision)
			}
		}
	}
	if want := sim.published(); newest < want {
		sim.violation("switches of revision %d are in force, want revision %d as published", newest, want)
	}
}

// published returns the revision of the newest switches of publishSwitches, or
// 0.
func (sim *simulation) published() uint64 {
	var revision uint64
	_, _ = fmt.Sscanf(sim.docs["switches"].body, `{"kind":"switches","revision":%d`, &revision)
	return revision
}

// checkOrders reports orders that ran twice, and orders that ran although their
// callers received notRun.
func (sim *simulation) checkOrders() {
	for _, o := range sim.orders {
		runs := 0
		for i, s := range o.sends {
			runs += sim.runs[s.id]
			if s.reported != call.NotRun {
				continue
			}
			if sim.runs[s.id] > 0 || o.key != "" && sim.ranEarlier(o, i) {
				sim.violation("%s with key %q: caller received notRun, but the request ran", s.id, o.key)
			}
		}
		if runs > 1 && o.kind != "lookup" {
			sim.violation("%s with key %q ran %d times", o.token, o.key, runs)
		}
	}
}

// ranEarlier reports whether a send before the given one ran: notRun for a key
// covers all of them.
func (sim *simulation) ranEarlier(o *order, before int) bool {
	return slices.ContainsFunc(o.sends[:before], func(s *send) bool { return sim.runs[s.id] > 0 })
}
