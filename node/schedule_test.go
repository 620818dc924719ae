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
	schedules = flag.Uint64("schedules", 1000, "number of schedules")
	traced    = flag.Bool("trace", false, "print what happens")
	firstSeed = flag.Uint64("seed", 1, "seed of the first schedule")
)

const (
	// settleTime is longer than a new fleet takes to trust the list, and then
	// to know the whole window of callers' own keys.
	settleTime = 60 * time.Second
	faultTime  = 40 * time.Second
	// healTime is what a configuration has to be in force everywhere.
	healTime = 15 * time.Second
	maxSends = 4
)

// TestSchedules runs seeded schedules of freezes, kills, cuts, outages, stale
// reads, drains and operators' races, and checks the promises. A seed reruns
// its schedule exactly:
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
				w := schedule(seed, nil)
				for _, f := range w.faults {
					t.Errorf("seed %d: %s", seed, f)
				}
				mu.Lock()
				total.add(w)
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	t.Logf("%d schedules", last-*firstSeed)
	for _, kind := range slices.Sorted(maps.Keys(total)) {
		c := total[kind]
		t.Logf("%-8s %6d orders: run %d, notRun %d, unknown %d; %d were run",
			kind, c[call.Run]+c[call.NotRun]+c[call.Unknown], c[call.Run], c[call.NotRun], c[call.Unknown], c["ran"])
		if c["ran"] == 0 {
			t.Errorf("no order with key %q ran: the schedules prove nothing of it", kind)
		}
	}
}

// tally counts orders by the kind of their key and what their callers were told.
type tally map[string]map[call.Outcome]int

func (c tally) add(w *world) {
	for _, o := range w.orders {
		if c[o.kind] == nil {
			c[o.kind] = map[call.Outcome]int{}
		}
		c[o.kind][o.outcome()]++
		for _, s := range o.sends {
			c[o.kind]["ran"] += w.runs[s.id]
		}
	}
}

// TestCheckersCatchPlantedFaults breaks worlds on purpose: each checker must
// find its fault within a few schedules.
func TestCheckersCatchPlantedFaults(t *testing.T) {
	cases := map[string]struct {
		plant func(*world)
		want  string
	}{
		"a key that nobody looks up":        {func(w *world) { w.plant.grantAll = true }, "times"},
		"a transport that sends twice":      {func(w *world) { w.plant.twice = true }, "times"},
		"a lost answer told as notRun":      {func(w *world) { w.plant.lostIsNotRun = true }, "was told notRun, but ran"},
		"a drain that the daemon never saw": {func(w *world) { w.plant.blindDrain = true }, "after it began to leave"},
		"a daemon that forgets documents":   {func(w *world) { w.plant.amnesia = true }, "went back"},
		"a daemon that hears nobody":        {func(w *world) { w.plant.deaf = true }, "holds"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(40) {
				w := schedule(seed, tc.plant)
				if slices.ContainsFunc(w.faults, func(f string) bool { return strings.Contains(f, tc.want) }) {
					return
				}
			}
			t.Fatal("not found in 40 schedules")
		})
	}
}

// schedule runs one seeded schedule. plant may break a world on purpose.
func schedule(seed uint64, plant func(*world)) *world {
	w := newWorld(seed)
	w.trace = *traced
	if plant != nil {
		plant(w)
	}
	w.runUntil(w.now.Add(settleTime), func() {})
	end := w.now.Add(faultTime)
	w.runUntil(end, w.disturb)
	w.heal()
	w.runUntil(w.now.Add(healTime), func() {})
	w.checkConverged()
	w.runUntil(w.now.Add(5*time.Second), func() {})
	w.checkOrders()
	return w
}

// runUntil passes time in steps. Each step delivers what is due, lets every
// machine tick, and then calls each.
func (w *world) runUntil(end time.Time, each func()) {
	for w.now.Before(end) {
		w.now = w.now.Add(step)
		w.deliverDue()
		for _, m := range w.nodes {
			w.update(m, node.Tick{})
		}
		each()
	}
}

func (w *world) deliverDue() {
	var due []letter
	w.mail = slices.DeleteFunc(w.mail, func(l letter) bool {
		if l.at.After(w.now) {
			return false
		}
		due = append(due, l)
		return true
	})
	slices.SortStableFunc(due, func(a, b letter) int { return a.at.Compare(b.at) })
	for _, l := range due {
		w.wake(l.to)
		w.update(l.to, l.msg)
	}
	for _, m := range w.nodes {
		w.wake(m)
	}
}

// wake gives a machine that was frozen all that came in the meantime.
func (w *world) wake(m *machine) {
	if m.dead || w.now.Before(m.frozen) || len(m.inbox) == 0 {
		return
	}
	inbox := m.inbox
	m.inbox = nil
	for _, msg := range inbox {
		if _, tick := msg.(node.Tick); !tick {
			w.update(m, msg)
		}
	}
}

// disturb makes faults and sends orders, at random.
func (w *world) disturb() {
	i := w.rand.IntN(instances)
	m := w.nodes[i]
	switch w.rand.IntN(400) {
	case 0:
		m.frozen = w.now.Add(time.Duration(w.rand.IntN(30_000)) * time.Millisecond)
	case 1:
		w.start(i)
		if w.plant.amnesia {
			w.restartAll()
		}
	case 2:
		w.cut = map[string]int{m.id: 1}
	case 3:
		w.cut = map[string]int{w.nodes[0].id: 1, w.nodes[1].id: 1}
	case 4, 5:
		w.cut = map[string]int{}
	case 6:
		w.down = !w.down
	case 7:
		w.operate()
	case 8:
		w.goStale()
	case 9:
		w.leave(m)
	}
	if w.rand.IntN(4) == 0 {
		w.newOrder()
	}
	if w.rand.IntN(4) == 0 {
		w.resend()
	}
}

// restartAll starts every daemon anew beside a platform that shows the first
// documents again, and keeps what the old lives held as the least to be held.
func (w *world) restartAll() {
	w.behind, w.down = true, false
	w.stale = map[string]document{}
	w.stale["switches"] = document{w.version, firstSwitches}
	for i := range w.nodes {
		w.start(i)
	}
}

// operate publishes new switches, sometimes two rivals of one revision.
func (w *world) operate() {
	revision := w.version + 10
	w.publish("switches", fmt.Sprintf(`{"kind":"switches","revision":%d,"allOff":true}`, revision))
	if w.rand.IntN(2) == 0 {
		w.publish("switches", fmt.Sprintf(`{"kind":"switches","revision":%d,"allow":["retry"]}`, revision))
	}
}

// goStale lets the platform show an old state from now on, or the present one
// again.
func (w *world) goStale() {
	w.behind = !w.behind
	if w.behind && len(w.stale) == 0 {
		for key, d := range w.docs {
			w.stale[key] = d
		}
	}
}

// leave lets the upstream of a machine drain, as its next probe shows.
func (w *world) leave(m *machine) {
	if m.dead || w.now.Before(m.frozen) || !m.leftAt.IsZero() {
		return
	}
	m.leftAt = w.now
	if w.plant.blindDrain {
		return
	}
	w.update(m, node.ProbeEnded{Reading: measure.Reading{State: measure.Draining}})
}

func (w *world) heal() {
	w.cut = map[string]int{}
	w.down, w.behind = false, false
	for _, m := range w.nodes {
		m.frozen = time.Time{}
	}
}

// newOrder lets a caller send a new order, with a key of some kind or none.
func (w *world) newOrder() {
	o := &order{token: fmt.Sprintf("o%d", len(w.orders)), kind: "none"}
	switch w.rand.IntN(5) {
	case 4:
		o.kind = "lookup"
	case 0:
		o.kind, o.key = "opaque", "opaque-"+o.token
	case 1:
		o.kind, o.key = "timed", w.timedKey()
	case 2:
		m := w.nodes[w.rand.IntN(instances)]
		if m.dead || w.now.Before(m.frozen) {
			return
		}
		key, ok := m.node.IssueKey(w.now)
		if !ok {
			return
		}
		o.kind, o.key = "issued", key
	}
	w.orders = append(w.orders, o)
	w.send(o)
}

// timedKey returns a UUID of version 7 (RFC 9562, section 5.7).
func (w *world) timedKey() string {
	ms := uint64(w.now.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", ms>>16, ms&0xffff,
		w.rand.IntN(1<<12), w.rand.IntN(1<<12), w.rand.Uint64()>>16)
}

// resend sends an order again as a careful caller would: with a key whenever
// the last send did not run for sure, without one only after notRun.
func (w *world) resend() {
	if len(w.orders) == 0 {
		return
	}
	o := w.orders[max(0, len(w.orders)-1-w.rand.IntN(60))]
	told := o.sends[len(o.sends)-1].told
	again := told == call.NotRun || o.key != "" && (told == call.Unknown || told == "" && w.rand.IntN(8) == 0)
	if again && len(o.sends) < maxSends {
		w.send(o)
	}
}

func (w *world) send(o *order) {
	s := &send{id: fmt.Sprintf("%s.%d", o.token, len(o.sends))}
	o.sends = append(o.sends, s)
	method := "POST"
	if o.kind == "lookup" {
		method = "GET"
	}
	w.update(w.nodes[w.rand.IntN(instances)], node.CallerRequest{Request: call.Request{
		ID: s.id, Service: "faults", Caller: "dispatch", Method: method, Key: o.key,
		Fingerprint: uint64(len(o.token)), Replayable: true, Deadline: w.now.Add(3 * time.Second),
	}})
}

// outcome is the best that the caller of an order was told.
func (o *order) outcome() call.Outcome {
	best := call.NotRun
	for _, s := range o.sends {
		switch s.told {
		case call.Run:
			return call.Run
		case call.NotRun:
		default:
			best = call.Unknown
		}
	}
	return best
}

// checkRevisions finds a document that went back within one life of a daemon.
func (w *world) checkRevisions(m *machine) {
	for _, d := range m.node.Documents() {
		if d.Revision < m.highest[d.Key] {
			w.fault("%s went back to revision %d of %s", m.id, d.Revision, d.Key)
		}
		m.highest[d.Key] = d.Revision
	}
}

// checkConverged finds a daemon that does not hold what the others hold once
// everything has healed for healTime.
func (w *world) checkConverged() {
	first := w.nodes[0].node.Documents()
	newest := uint64(0)
	for _, m := range w.nodes {
		if !slices.Equal(first, m.node.Documents()) {
			w.fault("%s holds %v, %s holds %v", w.nodes[0].id, first, m.id, m.node.Documents())
		}
		for _, d := range m.node.Documents() {
			if d.Key == "switches" {
				newest = max(newest, d.Revision)
			}
		}
	}
	if want := w.published(); newest < want {
		w.fault("switches of revision %d are in force, %d were published", newest, want)
	}
}

// published is the revision of the newest switches of operate, or 0.
func (w *world) published() uint64 {
	var revision uint64
	_, _ = fmt.Sscanf(w.docs["switches"].body, `{"kind":"switches","revision":%d`, &revision)
	return revision
}

// checkOrders finds orders that ran twice, and callers who were told notRun of
// what ran.
func (w *world) checkOrders() {
	for _, o := range w.orders {
		runs := 0
		for i, s := range o.sends {
			runs += w.runs[s.id]
			if s.told != call.NotRun {
				continue
			}
			if w.runs[s.id] > 0 || o.key != "" && w.ranEarlier(o, i) {
				w.fault("%s with key %q was told notRun, but ran", s.id, o.key)
			}
		}
		if runs > 1 && o.kind != "lookup" {
			w.fault("%s with key %q ran %d times", o.token, o.key, runs)
		}
	}
}

// ranEarlier reports whether a send before the given one ran: notRun for a key
// covers all of them.
func (w *world) ranEarlier(o *order, before int) bool {
	return slices.ContainsFunc(o.sends[:before], func(s *send) bool { return w.runs[s.id] > 0 })
}
