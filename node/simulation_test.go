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
	tickInterval = 50 * time.Millisecond
	leaveLimit   = 3 * time.Second
	keyWindow    = 20 * time.Second
	instances    = 4
)

// simulation runs a few nodes that are connected only by a list of undelivered
// messages, on a simulated clock. Its upstreams only count runs.
type simulation struct {
	rand      *rand.Rand
	now       time.Time
	processes []*process
	queue     []queuedMessage
	// docs is what the platform holds, by key; stale is an old copy of it.
	docs, stale   map[string]document
	version       uint64
	platformDown  bool
	platformStale bool
	// partition holds the side of each instance; a message between two sides is
	// lost.
	partition map[string]int

	waiting map[string]pending
	// corrected holds the outcomes that a node has corrected.
	corrected map[string]call.Outcome
	orders    []*order
	// runs counts the runs of each send of an order, by the send's call ID.
	runs   map[string]int
	trace  bool
	inject injectedFaults
	// violations lists the guarantees that were broken.
	violations []string
}

// injectedFaults are faults set on purpose, to prove the checkers.
type injectedFaults struct {
	grantAll, sendTwice, lostIsNotRun, ignoreDrain, forgetDocuments, receiveNothing bool
}

// order is an operation that one caller wants to run at most once.
type order struct {
	token string
	// kind is the kind of the key: none, issued, timed or opaque; or lookup for
	// a request that may run often.
	kind  string
	key   string
	sends []*send
}

// send is one request for an order.
type send struct {
	id       string
	reported call.Outcome
}

type document struct {
	version uint64
	body    string
}

// process is one incarnation of one instance.
type process struct {
	id          string
	node        *node.Node
	frozenUntil time.Time
	dead        bool
	inbox       []node.Message
	highest     map[string]uint64
	// leftAt is when the upstream began to drain, or zero.
	leftAt time.Time
}

// queuedMessage is a message in transit, or an event that is due at a time.
type queuedMessage struct {
	to  *process
	at  time.Time
	msg node.Message
}

const firstSwitches = `{"kind":"switches","revision":1,"allow":["retry","handOn","loadAware","spillOver","eject"]}`

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_800_000_000, 0),
		docs: map[string]document{}, partition: map[string]int{},
		waiting: map[string]pending{}, corrected: map[string]call.Outcome{}, runs: map[string]int{},
	}
	sim.publish("services/faults", `{"kind":"service","revision":1,"service":"faults",
		"selectors":[{"name":"all","callers":["*"]}],"limits":{"slots":2,"queue":4,"timeoutMs":3000}}`)
	sim.publish("switches", firstSwitches)
	sim.stale = map[string]document{}
	for i := range instances {
		sim.processes = append(sim.processes, nil)
		sim.start(i)
	}
	return sim
}

func (sim *simulation) publish(key, body string) {
	sim.version++
	sim.docs[key] = document{sim.version, body}
}

func instance(i int) membership.Instance {
	return membership.Instance{
		ID: fmt.Sprintf("faults-%d", i), Service: "faults",
		AvailabilityZone: string(rune('a' + i%2)), Region: "north",
		Listen: fmt.Sprintf("127.0.0.1:1%d", i), Peer: fmt.Sprintf("127.0.0.1:2%d", i),
		Control: fmt.Sprintf("127.0.0.1:3%d", i),
	}
}

// start begins a new incarnation of instance i.
func (sim *simulation) start(i int) {
	old := sim.processes[i]
	if old != nil {
		old.dead = true
	}
	sim.log("start %s", instance(i).ID)
	sim.processes[i] = &process{id: instance(i).ID, highest: map[string]uint64{}, node: node.New(node.Config{
		Self: instance(i), Incarnation: uint64(sim.now.UnixNano()), Started: sim.now,
		Rand: sim.rand.Uint64, FleetSize: instances, KeyWindow: keyWindow,
	})}
	if old != nil && sim.inject.forgetDocuments {
		sim.processes[i].highest = old.highest
	}
}

func (sim *simulation) byControl(address string) *process {
	for i, proc := range sim.processes {
		if instance(i).Control == address {
			return proc
		}
	}
	return nil
}

func (sim *simulation) byID(id string) *process {
	for _, proc := range sim.processes {
		if proc.id == id {
			return proc
		}
	}
	return nil
}

// partitioned reports whether a partition separates two instances.
func (sim *simulation) partitioned(a, b string) bool { return sim.partition[a] != sim.partition[b] }

// enqueue schedules a message to a process after a delay.
func (sim *simulation) enqueue(proc *process, delay time.Duration, msg node.Message) {
	sim.queue = append(sim.queue, queuedMessage{proc, sim.now.Add(delay), msg})
}

// update passes a message to a process, unless it is dead; a frozen process
// receives it when it resumes.
func (sim *simulation) update(proc *process, msg node.Message) {
	switch {
	case proc.dead:
	case sim.now.Before(proc.frozenUntil):
		proc.inbox = append(proc.inbox, msg)
	default:
		sim.carryOut(proc, proc.node.Update(msg, sim.now))
		sim.checkRevisions(proc)
	}
}

func (sim *simulation) carryOut(proc *process, commands []node.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case node.Send:
			sim.sendControl(proc, c)
		case node.ReadPlatform:
			sim.read(proc, c.Read)
		case node.Forward:
			sim.forward(proc, c)
		case node.HandOn:
			sim.handOn(proc, c)
		case node.Run:
			sim.run(proc, c)
		case node.Refuse:
			sim.refuse(proc, c)
		case node.CorrectOutcome:
			sim.corrected[c.ID] = c.Outcome
		case node.Answer:
			sim.recordOutcome(c.ID, c.Outcome)
		case node.Deliver:
			sim.recordOutcome(c.ID, call.Run)
		}
	}
}

func (sim *simulation) sendControl(from *process, c node.Send) {
	sim.log("send %s %s %s %s", from.id, c.Address, c.Envelope.Kind, c.Envelope.Body)
	to := sim.byControl(c.Address)
	if sim.inject.receiveNothing && c.Address == instance(0).Control {
		return
	}
	if to == nil || sim.partitioned(from.id, to.id) || sim.rand.IntN(20) == 0 {
		return
	}
	copies := 1 + sim.rand.IntN(20)/19
	for range copies {
		delay := time.Duration(sim.rand.IntN(30)) * time.Millisecond
		if sim.rand.IntN(30) == 0 {
			delay = time.Duration(sim.rand.IntN(8)) * time.Second
		}
		sim.enqueue(to, delay, node.PeerMessage{Envelope: c.Envelope})
	}
}

func (sim *simulation) read(proc *process, r spread.Read) {
	if sim.inject.receiveNothing && proc.id == instance(0).ID {
		return
	}
	sim.log("read %s %+v", proc.id, r)
	if sim.platformDown {
		sim.enqueue(proc, time.Second, node.ReadFailed{Read: r})
		return
	}
	docs := sim.docs
	if sim.platformStale {
		docs = sim.stale
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
		sim.enqueue(proc, 500*time.Millisecond, index)
	case spread.ReadValue:
		if d, ok := docs[r.Key]; ok {
			sim.enqueue(proc, 5*time.Millisecond, node.ValueRead{Key: r.Key, Version: d.version, Body: []byte(d.body)})
			return
		}
		sim.enqueue(proc, 5*time.Millisecond, node.ReadFailed{Read: r})
	case spread.ReadInstances:
		list := node.InstancesRead{Version: 1}
		for i := range sim.processes {
			list.Entries = append(list.Entries, membership.ListEntry{Instance: instance(i), State: membership.Live})
		}
		sim.enqueue(proc, 500*time.Millisecond, list)
	}
}

// pending identifies the sender that waits for the end of a request at an
// admission.
type pending struct {
	from   *process
	id     string
	number int
	handOn bool
}

func (sim *simulation) forward(from *process, f node.Forward) {
	sim.deliver(from, f.To.ID, f.Request, f.Incarnation, pending{from: from, id: f.ID, number: f.Number})
}

func (sim *simulation) handOn(from *process, h node.HandOn) {
	sim.deliver(from, h.To.ID, h.Request, h.Incarnation, pending{from: from, id: h.ID, handOn: true})
}

// deliver sends a request to another admission. If it is lost in transit the
// sender sees unknown, unless nothing could be sent.
func (sim *simulation) deliver(from *process, target string, r call.Request, incarnation uint64, p pending) {
	to := sim.byID(target)
	if sim.partitioned(from.id, to.id) || to.dead {
		sim.end(p, node.Attempt{Outcome: call.NotRun, Reason: call.ConnectFailed, Unreachable: true}, time.Second)
		return
	}
	sim.waiting[r.ID] = p
	r.KeyGranted = r.KeyGranted || sim.inject.grantAll
	if sim.inject.sendTwice {
		again := r
		again.ID += "-again"
		sim.waiting[again.ID] = p
		sim.enqueue(to, time.Second, node.PeerRequest{Request: again, From: from.id, Target: target, Incarnation: incarnation})
	}
	sim.log("forward %s to %s %s", from.id, to.id, r.ID)
	sim.enqueue(to, time.Duration(sim.rand.IntN(40))*time.Millisecond, node.PeerRequest{
		Request: r, From: from.id, Target: target, Incarnation: incarnation,
	})
	// The sender gives up at the deadline, whatever happens to the request.
	lost := node.Attempt{Outcome: call.Unknown, Reason: call.DeadlineExceeded}
	if sim.inject.lostIsNotRun {
		lost.Outcome = call.NotRun
	}
	sim.end(p, lost, r.Deadline.Sub(sim.now))
}

// end reports the result of an attempt to its sender, which uses only the first
// result.
func (sim *simulation) end(p pending, result node.Attempt, delay time.Duration) {
	if p.handOn {
		sim.enqueue(p.from, delay, node.HandOnEnded{ID: p.id, Result: result})
		return
	}
	sim.enqueue(p.from, delay, node.AttemptEnded{ID: p.id, Number: p.number, Result: result})
}

// run counts one run at the upstream, which ends some time later.
func (sim *simulation) run(proc *process, r node.Run) {
	if !r.SendBefore.IsZero() && !sim.now.Before(r.SendBefore) {
		sim.update(proc, node.RunEnded{ID: r.ID, Outcome: call.NotRun, Reason: call.Stale})
		outcome, ok := sim.corrected[r.ID]
		if !ok {
			outcome = call.NotRun
		}
		sim.refuse(proc, node.Refuse{ID: r.ID, Outcome: outcome, Reason: call.Stale})
		return
	}
	sim.log("run %s %s", proc.id, r.ID)
	sim.runs[sendOf(r.ID)]++
	if !proc.leftAt.IsZero() && sim.now.Sub(proc.leftAt) > leaveLimit {
		sim.violation("%s started %s %v after it began to leave", proc.id, r.ID, sim.now.Sub(proc.leftAt))
	}
	if proc.node.Evacuated() {
		sim.violation("%s started %s although its zone is evacuated", proc.id, r.ID)
	}
	status := 200
	if sim.rand.IntN(10) == 0 {
		status = 500
	}
	sim.finish(proc, r.ID, node.RunEnded{ID: r.ID, Outcome: call.Run, Status: status, Body: []byte("done")},
		time.Duration(sim.rand.IntN(300))*time.Millisecond)
}

// finish ends a run, and answers its sender if the answer gets through.
func (sim *simulation) finish(proc *process, id string, e node.RunEnded, delay time.Duration) {
	sim.enqueue(proc, delay, e)
	p := sim.waiting[id]
	if sim.rand.IntN(10) > 0 && !sim.partitioned(proc.id, p.from.id) {
		sim.end(p, node.Attempt{Outcome: e.Outcome, Reason: e.Reason, Status: e.Status, Answered: true}, delay+tickInterval)
	}
}

func (sim *simulation) refuse(proc *process, r node.Refuse) {
	sim.log("refuse %s %s %s %s", proc.id, r.ID, r.Outcome, r.Reason)
	p := sim.waiting[r.ID]
	if !sim.partitioned(proc.id, p.from.id) {
		sim.end(p, node.Attempt{Outcome: r.Outcome, Reason: r.Reason, Status: r.Status, Answered: true}, tickInterval)
	}
}

// sendOf removes the suffix that daemons append to the ID of a call.
func sendOf(id string) string {
	id, _, _ = strings.Cut(id, "-")
	return id
}

// recordOutcome records the outcome reported to the caller of one send.
func (sim *simulation) recordOutcome(id string, outcome call.Outcome) {
	sim.log("outcome %s %s", id, outcome)
	for _, o := range sim.orders {
		for _, s := range o.sends {
			if s.id == id && s.reported == "" {
				s.reported = outcome
			}
		}
	}
}

func (sim *simulation) log(format string, args ...any) {
	if sim.trace {
		fmt.Printf(sim.now.Format("04:05.000 ")+format+"\n", args...)
	}
}

func (sim *simulation) violation(format string, args ...any) {
	sim.violations = append(sim.violations, sim.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}
