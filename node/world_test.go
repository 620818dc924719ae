package node_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/spread"
)

const (
	step       = 50 * time.Millisecond
	leaveLimit = 3 * time.Second
	keyWindow  = 20 * time.Second
	instances  = 4
)

// world is a handful of nodes joined by nothing but a list of undelivered
// messages, and a time that is passed in. Its upstreams only count runs.
type world struct {
	rand  *rand.Rand
	now   time.Time
	nodes []*machine
	mail  []letter
	// docs is what the platform holds, by key; stale is an old copy of it.
	docs, stale map[string]document
	version     uint64
	down        bool
	behind      bool
	// cut holds the sides of a partition; a message between two sides is lost.
	cut map[string]int

	waiting map[string]pending
	// settled holds the outcomes that a node has corrected.
	settled map[string]call.Outcome
	orders  []*order
	// runs counts the runs of each send of an order, by the send's call ID.
	runs  map[string]int
	trace bool
	plant plant
	// faults lists what broke a promise.
	faults []string
}

// plant breaks a world on purpose, to prove its checkers.
type plant struct {
	grantAll, twice, lostIsNotRun, blindDrain, amnesia, deaf bool
}

// order is what one caller wants to run at most once.
type order struct {
	token string
	// kind is that of the key, none, issued, timed or opaque; or lookup for a
	// request that may run often.
	kind  string
	key   string
	sends []*send
}

// send is one request for an order.
type send struct {
	id   string
	told call.Outcome
}

type document struct {
	version uint64
	body    string
}

// machine is one life of one instance.
type machine struct {
	id      string
	node    *node.Node
	frozen  time.Time
	dead    bool
	inbox   []node.Message
	highest map[string]uint64
	// leftAt is when the upstream or the daemon began to leave.
	leftAt time.Time
}

// letter is a message on its way, or an event that is due.
type letter struct {
	to  *machine
	at  time.Time
	msg node.Message
}

const firstSwitches = `{"kind":"switches","revision":1,"allow":["retry","handOn","loadAware","spillOver","eject"]}`

func newWorld(seed uint64) *world {
	w := &world{
		rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_800_000_000, 0),
		docs: map[string]document{}, cut: map[string]int{},
		waiting: map[string]pending{}, settled: map[string]call.Outcome{}, runs: map[string]int{},
	}
	w.publish("services/faults", `{"kind":"service","revision":1,"service":"faults",
		"selectors":[{"name":"all","callers":["*"]}],"limits":{"slots":2,"queue":4,"timeoutMs":3000}}`)
	w.publish("switches", firstSwitches)
	w.stale = map[string]document{}
	for i := range instances {
		w.nodes = append(w.nodes, nil)
		w.start(i)
	}
	return w
}

func (w *world) publish(key, body string) {
	w.version++
	w.docs[key] = document{w.version, body}
}

func instance(i int) membership.Instance {
	return membership.Instance{
		ID: fmt.Sprintf("faults-%d", i), Service: "faults",
		AvailabilityZone: string(rune('a' + i%2)), Region: "north",
		Listen: fmt.Sprintf("127.0.0.1:1%d", i), Peer: fmt.Sprintf("127.0.0.1:2%d", i),
		Control: fmt.Sprintf("127.0.0.1:3%d", i),
	}
}

// start begins a new life of instance i.
func (w *world) start(i int) {
	old := w.nodes[i]
	if old != nil {
		old.dead = true
	}
	w.log("start %s", instance(i).ID)
	w.nodes[i] = &machine{id: instance(i).ID, highest: map[string]uint64{}, node: node.New(node.Config{
		Self: instance(i), Incarnation: uint64(w.now.UnixNano()), Started: w.now,
		Rand: w.rand.Uint64, FleetSize: instances, KeyWindow: keyWindow,
	})}
	if old != nil && w.plant.amnesia {
		w.nodes[i].highest = old.highest
	}
}

func (w *world) byControl(address string) *machine {
	for i, m := range w.nodes {
		if instance(i).Control == address {
			return m
		}
	}
	return nil
}

func (w *world) byID(id string) *machine {
	for _, m := range w.nodes {
		if m.id == id {
			return m
		}
	}
	return nil
}

// apart reports whether a partition lies between two instances.
func (w *world) apart(a, b string) bool { return w.cut[a] != w.cut[b] }

// after queues an event of a machine's own.
func (w *world) after(m *machine, delay time.Duration, msg node.Message) {
	w.mail = append(w.mail, letter{m, w.now.Add(delay), msg})
}

// update gives a machine a message, unless it is dead; a frozen one gets it
// when it wakes.
func (w *world) update(m *machine, msg node.Message) {
	switch {
	case m.dead:
	case w.now.Before(m.frozen):
		m.inbox = append(m.inbox, msg)
	default:
		w.carryOut(m, m.node.Update(msg, w.now))
		w.checkRevisions(m)
	}
}

func (w *world) carryOut(m *machine, commands []node.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case node.Send:
			w.sendControl(m, c)
		case node.ReadPlatform:
			w.read(m, c.Read)
		case node.Forward:
			w.forward(m, c)
		case node.HandOn:
			w.handOn(m, c)
		case node.Run:
			w.run(m, c)
		case node.Refuse:
			w.refuse(m, c)
		case node.Settled:
			w.settled[c.ID] = c.Outcome
		case node.Answer:
			w.tell(c.ID, c.Outcome)
		case node.Deliver:
			w.tell(c.ID, call.Run)
		}
	}
}

func (w *world) sendControl(from *machine, c node.Send) {
	w.log("send %s %s %s %s", from.id, c.Address, c.Envelope.Kind, c.Envelope.Body)
	to := w.byControl(c.Address)
	if w.plant.deaf && c.Address == instance(0).Control {
		return
	}
	if to == nil || w.apart(from.id, to.id) || w.rand.IntN(20) == 0 {
		return
	}
	copies := 1 + w.rand.IntN(20)/19
	for range copies {
		delay := time.Duration(w.rand.IntN(30)) * time.Millisecond
		if w.rand.IntN(30) == 0 {
			delay = time.Duration(w.rand.IntN(8)) * time.Second
		}
		w.after(to, delay, node.PeerMessage{Envelope: c.Envelope})
	}
}

func (w *world) read(m *machine, r spread.Read) {
	if w.plant.deaf && m.id == instance(0).ID {
		return
	}
	w.log("read %s %+v", m.id, r)
	if w.down {
		w.after(m, time.Second, node.ReadFailed{Read: r})
		return
	}
	docs := w.docs
	if w.behind {
		docs = w.stale
	}
	switch r.Kind {
	case spread.ReadIndex:
		index := node.IndexRead{}
		for _, key := range slices.Sorted(maps.Keys(docs)) {
			d := docs[key]
			index.Version = max(index.Version, d.version)
			if d.version > r.After {
				index.Keys = append(index.Keys, spread.KeyVersion{Key: key, Version: d.version})
			}
		}
		w.after(m, 500*time.Millisecond, index)
	case spread.ReadValue:
		if d, ok := docs[r.Key]; ok {
			w.after(m, 5*time.Millisecond, node.ValueRead{Key: r.Key, Version: d.version, Body: []byte(d.body)})
			return
		}
		w.after(m, 5*time.Millisecond, node.ReadFailed{Read: r})
	case spread.ReadInstances:
		list := node.InstancesRead{Version: 1}
		for i := range w.nodes {
			list.Entries = append(list.Entries, membership.ListEntry{Instance: instance(i), State: membership.Live})
		}
		w.after(m, 500*time.Millisecond, list)
	}
}

// pending remembers who waits for the end of a request at an admission.
type pending struct {
	from   *machine
	id     string
	number int
	hand   bool
}

func (w *world) forward(from *machine, f node.Forward) {
	w.deliver(from, f.To.ID, f.Request, f.Incarnation, pending{from: from, id: f.ID, number: f.Number})
}

func (w *world) handOn(from *machine, h node.HandOn) {
	w.deliver(from, h.To.ID, h.Request, h.Incarnation, pending{from: from, id: h.ID, hand: true})
}

// deliver brings a request to another admission. What is lost on the way there
// is unknown to the sender, unless nothing could be sent.
func (w *world) deliver(from *machine, target string, r call.Request, incarnation uint64, p pending) {
	to := w.byID(target)
	if w.apart(from.id, to.id) || to.dead {
		w.end(p, node.Attempt{Outcome: call.NotRun, Reason: call.ConnectFailed, Unreachable: true}, time.Second)
		return
	}
	w.waiting[r.ID] = p
	r.Granted = r.Granted || w.plant.grantAll
	if w.plant.twice {
		again := r
		again.ID += "-again"
		w.waiting[again.ID] = p
		w.after(to, time.Second, node.PeerRequest{Request: again, From: from.id, Target: target, Incarnation: incarnation})
	}
	w.log("forward %s to %s %s", from.id, to.id, r.ID)
	w.after(to, time.Duration(w.rand.IntN(40))*time.Millisecond, node.PeerRequest{
		Request: r, From: from.id, Target: target, Incarnation: incarnation,
	})
	// The sender gives up at the deadline, whatever becomes of the request.
	lost := node.Attempt{Outcome: call.Unknown, Reason: call.DeadlineExceeded}
	if w.plant.lostIsNotRun {
		lost.Outcome = call.NotRun
	}
	w.end(p, lost, r.Deadline.Sub(w.now))
}

// end tells the sender how its attempt ended. Only the first word counts.
func (w *world) end(p pending, result node.Attempt, delay time.Duration) {
	if p.hand {
		w.after(p.from, delay, node.HandOnEnded{ID: p.id, Result: result})
		return
	}
	w.after(p.from, delay, node.AttemptEnded{ID: p.id, Number: p.number, Result: result})
}

// run counts one run at the upstream, which ends a while later.
func (w *world) run(m *machine, r node.Run) {
	if !r.Before.IsZero() && !w.now.Before(r.Before) {
		w.update(m, node.RunEnded{ID: r.ID, Outcome: call.NotRun, Reason: call.Stale})
		outcome, ok := w.settled[r.ID]
		if !ok {
			outcome = call.NotRun
		}
		w.refuse(m, node.Refuse{ID: r.ID, Outcome: outcome, Reason: call.Stale})
		return
	}
	w.log("run %s %s", m.id, r.ID)
	w.runs[sendOf(r.ID)]++
	if !m.leftAt.IsZero() && w.now.Sub(m.leftAt) > leaveLimit {
		w.fault("%s started %s %v after it began to leave", m.id, r.ID, w.now.Sub(m.leftAt))
	}
	status := 200
	if w.rand.IntN(10) == 0 {
		status = 500
	}
	w.finish(m, r.ID, node.RunEnded{ID: r.ID, Outcome: call.Run, Status: status, Body: []byte("done")},
		time.Duration(w.rand.IntN(300))*time.Millisecond)
}

// finish ends a run, and answers its sender if the answer gets through.
func (w *world) finish(m *machine, id string, e node.RunEnded, delay time.Duration) {
	w.after(m, delay, e)
	p := w.waiting[id]
	if w.rand.IntN(10) > 0 && !w.apart(m.id, p.from.id) {
		w.end(p, node.Attempt{Outcome: e.Outcome, Reason: e.Reason, Status: e.Status, Answered: true}, delay+step)
	}
}

func (w *world) refuse(m *machine, r node.Refuse) {
	w.log("refuse %s %s %s %s", m.id, r.ID, r.Outcome, r.Reason)
	p := w.waiting[r.ID]
	if !w.apart(m.id, p.from.id) {
		w.end(p, node.Attempt{Outcome: r.Outcome, Reason: r.Reason, Status: r.Status, Answered: true}, step)
	}
}

// sendOf strips what daemons append to the ID of a call.
func sendOf(id string) string {
	id, _, _ = strings.Cut(id, "-")
	return id
}

// tell notes what the caller of one send was told.
func (w *world) tell(id string, outcome call.Outcome) {
	w.log("tell %s %s", id, outcome)
	for _, o := range w.orders {
		for _, s := range o.sends {
			if s.id == id && s.told == "" {
				s.told = outcome
			}
		}
	}
}

func (w *world) log(format string, args ...any) {
	if w.trace {
		fmt.Printf(w.now.Format("04:05.000 ")+format+"\n", args...)
	}
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, w.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}
