package once

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// The schedules run several Books joined by nothing but a list of undelivered
// messages and a time that is passed in.

const (
	testWindow = 60 * time.Second
	testLease  = 6 * time.Second
	testStep   = 100 * time.Millisecond
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

type node struct {
	book    *Book
	self    Incarnation
	skew    time.Duration
	frozen  bool
	dropped bool // from the platform's list, while frozen
	side    int
	viewed  time.Time
	inbox   []message
	handoff []Action // runs that have not reached the upstream yet
}

func (n *node) clock(now time.Time) time.Time { return now.Add(n.skew) }

type message struct {
	due  time.Time
	from string
	to   string
	body any
}

// finish is the end of a run on its way back to the Book.
type finish struct {
	key     string
	outcome call.Outcome
	status  int
}

// world is one schedule under way.
type world struct {
	rng      *rand.Rand
	now      time.Time
	nodes    map[string]*node
	order    []string
	list     []listChange
	messages []message
	next     uint64
	keys     []string
	history  history
	faults   faults
	loss     float64
	hostile  bool
	outage   bool
	config   Config
	asked    map[string]bool
	crashed  map[string]time.Time
	leavers  map[string]bool
}

// faults are planted to prove that the checker sees them.
type faults struct {
	// message handles a message in place of the Book if it returns true.
	message func(w *world, n *node, m message) bool
	// tamper changes a Book's memory at each step.
	tamper func(b *Book, now time.Time)
	// action changes an action.
	action func(a *Action)
	// from is where the search for a schedule that shows the fault begins.
	from int
}

// listChange is one state of the platform's list.
type listChange struct {
	at   time.Time
	live []string
}

func newWorld(seed uint64, size int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, nodes: map[string]*node{}, asked: map[string]bool{}, loss: 0.02, hostile: true}
	w.config = Config{Window: testWindow, Lease: testLease, Settle: 10 * time.Second, Skew: 1100 * time.Millisecond, MaxRecords: 1000, Rand: w.rng.Uint64}
	w.grow(size)
	return w
}

func (w *world) grow(size int) {
	for range size {
		w.start(fmt.Sprintf("orders-%d", len(w.order)))
	}
}

func (w *world) start(id string) {
	w.next++
	skew := time.Duration(w.rng.IntN(1000)) * time.Millisecond
	self := Incarnation{ID: id, Number: w.next}
	config := w.config
	config.Self, config.Started = self, w.now.Add(skew)
	w.nodes[id] = &node{book: New(config), self: self, skew: skew}
	if !slices.Contains(w.order, id) {
		w.order = append(w.order, id)
	}
	w.relist()
}

func (w *world) stop(id string) {
	delete(w.nodes, id)
	w.relist()
}

func (w *world) relist() {
	change := listChange{at: w.now}
	for _, id := range w.order {
		if n, ok := w.nodes[id]; ok && !n.dropped {
			change.live = append(change.live, id)
		}
	}
	w.list = append(w.list, change)
}

// read gives a node the list as it was up to eight seconds ago.
func (w *world) read(n *node) {
	if w.outage || w.now.Sub(n.viewed) < 2*time.Second {
		return
	}
	n.viewed = w.now
	past := w.now.Add(-time.Duration(w.rng.IntN(8000)) * time.Millisecond)
	var members []Member
	for _, change := range w.list {
		if !change.at.After(past) || members == nil {
			members = members[:0]
			for _, id := range change.live {
				members = append(members, Member{Incarnation: Incarnation{ID: id}, Live: true})
			}
		}
	}
	self := Member{Incarnation: Incarnation{ID: n.self.ID}, Live: true}
	if !slices.Contains(members, self) { // a daemon's membership always has itself
		members = append(members, self)
	}
	n.book.SetView(Group(members), n.clock(w.now))
}

func (w *world) send(from, to string, body any) {
	if w.rng.Float64() < w.loss {
		return
	}
	copies := 1
	if w.rng.IntN(50) == 0 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+w.rng.IntN(150)) * time.Millisecond
		if w.hostile && w.rng.IntN(100) == 0 {
			delay = time.Duration(w.rng.IntN(90)) * time.Second
		}
		w.messages = append(w.messages, message{w.now.Add(delay), from, to, body})
	}
}

// step moves time on and lets every node that is not frozen act.
func (w *world) step() {
	w.now = w.now.Add(testStep)
	w.deliver()
	for _, id := range w.order {
		n, ok := w.nodes[id]
		if !ok || n.frozen {
			continue
		}
		w.rng.Shuffle(len(n.inbox), func(i, j int) { n.inbox[i], n.inbox[j] = n.inbox[j], n.inbox[i] })
		inbox := n.inbox
		n.inbox = nil
		for _, m := range inbox {
			if w.faults.tamper != nil {
				w.faults.tamper(n.book, n.clock(w.now))
			}
			w.handle(n, m)
		}
		w.handOff(n)
		w.read(n)
		w.act(n, n.book.Tick(n.clock(w.now)))
		if w.now.Sub(epoch)%(2*time.Second) == 0 {
			w.beat(n, n.book.Heartbeat(n.clock(w.now)))
		}
	}
}

func (w *world) beat(n *node, beat Heartbeat) {
	for _, id := range n.book.Audience() {
		w.send(n.self.ID, id, beat)
	}
}

func (w *world) deliver() {
	var rest []message
	for _, m := range w.messages {
		if m.due.After(w.now) {
			rest = append(rest, m)
			continue
		}
		from, sent := w.nodes[m.from]
		to, ok := w.nodes[m.to]
		if ok && (!sent || from.side == to.side || m.from == m.to) {
			to.inbox = append(to.inbox, m)
		}
	}
	w.messages = rest
}

func (w *world) handle(n *node, m message) {
	if w.faults.message != nil && w.faults.message(w, n, m) {
		return
	}
	now := n.clock(w.now)
	switch body := m.body.(type) {
	case Heartbeat:
		n.book.Hear(body, now)
	case Claim:
		w.send(n.self.ID, body.From.ID, n.book.Claim(body, now))
	case Reply:
		w.act(n, n.book.Reply(body, now))
	case finish:
		n.book.Finish(body.key, body.outcome, Answer{Status: body.status}, now)
	case call.Request:
		w.act(n, n.book.Begin(body, now))
	}
}

func (w *world) act(n *node, actions []Action) {
	for _, a := range actions {
		if w.faults.action != nil {
			w.faults.action(&a)
		}
		switch a.Kind {
		case Run:
			n.handoff = append(n.handoff, a)
		case Ask:
			w.asked[a.CallID] = true
			w.send(n.self.ID, a.Claim.To.ID, a.Claim)
		case Refuse:
			w.history.answer(a.CallID, a.Key, a.Outcome, a.Reason, 0, w.now)
		case Replay:
			w.history.answer(a.CallID, a.Key, a.Outcome, a.Reason, a.Answer.Status, w.now)
		}
	}
}

// handOff lets the runs of a node reach the upstream, unless too late.
func (w *world) handOff(n *node) {
	var rest []Action
	for _, a := range n.handoff {
		switch {
		case w.hostile && w.rng.IntN(3) == 0: // held up in the process
			rest = append(rest, a)
		case !n.clock(w.now).Before(a.Until) || w.hostile && w.rng.IntN(10) == 0:
			outcome := n.book.Finish(a.Key, call.NotRun, Answer{}, n.clock(w.now))
			w.history.answer(a.CallID, a.Key, outcome, call.Overloaded, 0, w.now)
		default:
			status := w.history.execute(a.CallID, a.Key, w.now)
			outcome := call.Run
			if w.hostile && w.rng.IntN(8) == 0 {
				outcome = call.Unknown
			}
			w.send(n.self.ID, n.self.ID, finish{a.Key, outcome, status})
		}
	}
	n.handoff = rest
}

// request sends a request with a key to a node.
func (w *world) request(id, key string) {
	w.next++
	req := call.Request{ID: fmt.Sprint("call-", w.next), Key: key, Method: "POST", Fingerprint: 7}
	w.history.begin(req.ID, key)
	w.messages = append(w.messages, message{w.now, "caller", id, req})
}

func (w *world) newKey(kind KeyKind) string {
	switch kind {
	case Issued:
		if n := w.any(); n != nil {
			if key, ok := n.book.IssueKey(n.clock(w.now)); ok {
				return key
			}
		}
	case Timed:
		return timedKey(w.now.Add(time.Duration(w.rng.IntN(1000))*time.Millisecond), w.rng.Uint64())
	}
	return fmt.Sprint("order-", w.rng.Uint64())
}

func timedKey(made time.Time, nonce uint64) string {
	ms := made.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", ms>>16, ms&0xffff, nonce&0xfff, nonce>>12&0xfff, nonce>>16)
}

func (w *world) any() *node {
	if len(w.nodes) == 0 {
		return nil
	}
	for {
		if n, ok := w.nodes[w.order[w.rng.IntN(len(w.order))]]; ok {
			return n
		}
	}
}

// sendKey lets a caller send a key once or twice, to the home that some view
// gives it, or to any node.
func (w *world) sendKey(key string) {
	for range 1 + w.rng.IntN(2) {
		n := w.any()
		if n == nil {
			return
		}
		to := n.self.ID
		if w.rng.IntN(5) > 0 { // routed by some view of the live instances
			var members []Member
			for _, id := range w.order {
				if _, ok := w.nodes[id]; ok && w.rng.IntN(10) > 0 {
					members = append(members, Member{Incarnation: Incarnation{ID: id}, Live: true})
				}
			}
			if home, ok, _ := Route(key, members); ok {
				to = home.ID
			}
		}
		w.request(to, key)
	}
}
