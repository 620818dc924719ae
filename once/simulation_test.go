package once

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// The schedules run several Coordinators, connected only by a list of undelivered
// messages, on a simulated clock.

const (
	testWindow = 60 * time.Second
	testLease  = 6 * time.Second
	testStep   = 100 * time.Millisecond
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

type node struct {
	coordinator *Coordinator
	self        Incarnation
	skew        time.Duration
	paused      bool
	unlisted    bool // missing from the platform's list, while paused
	partition   int
	lastRead    time.Time
	inbox       []message
	pendingRuns []Action // allowed runs that have not reached the upstream yet
}

func (n *node) clock(now time.Time) time.Time { return now.Add(n.skew) }

type message struct {
	due  time.Time
	from string
	to   string
	body any
}

// runEnd is a message to the Coordinator about the end of a run.
type runEnd struct {
	key     string
	outcome call.Outcome
	status  int
}

// simulation is the state of one schedule.
type simulation struct {
	rng          *rand.Rand
	now          time.Time
	nodes        map[string]*node
	nodeIDs      []string
	listChanges  []listChange
	messages     []message
	lastID       uint64
	keys         []string
	history      history
	faults       faults
	loss         float64
	randomFaults bool
	listOutage   bool
	config       Config
	queriedCalls map[string]bool
	crashedAt    map[string]time.Time
	leavingIDs   map[string]bool
}

// faults are injected to prove that the checker detects them.
type faults struct {
	// message handles a message in place of the Coordinator if it returns true.
	message func(s *simulation, n *node, m message) bool
	// tamper changes the state of a Coordinator before it handles a message.
	tamper func(c *Coordinator, now time.Time)
	// action changes an action before it is carried out.
	action func(a *Action)
	// fromSeed is the first seed that is tried to detect the fault.
	fromSeed int
}

// listChange is a new state of the platform's list.
type listChange struct {
	at   time.Time
	live []string
}

func newSimulation(seed uint64, size int) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, nodes: map[string]*node{}, queriedCalls: map[string]bool{}, loss: 0.02, randomFaults: true}
	s.config = Config{Window: testWindow, Lease: testLease, MaxListLag: 10 * time.Second, MaxSkew: 1100 * time.Millisecond, MaxRecords: 1000, Rand: s.rng.Uint64}
	s.addNodes(size)
	return s
}

func (s *simulation) addNodes(size int) {
	for range size {
		s.start(fmt.Sprintf("orders-%d", len(s.nodeIDs)))
	}
}

func (s *simulation) start(id string) {
	s.lastID++
	skew := time.Duration(s.rng.IntN(1000)) * time.Millisecond
	self := Incarnation{ID: id, Number: s.lastID}
	config := s.config
	config.Self, config.Started = self, s.now.Add(skew)
	s.nodes[id] = &node{coordinator: New(config), self: self, skew: skew}
	if !slices.Contains(s.nodeIDs, id) {
		s.nodeIDs = append(s.nodeIDs, id)
	}
	s.updateList()
}

func (s *simulation) stop(id string) {
	delete(s.nodes, id)
	s.updateList()
}

func (s *simulation) updateList() {
	change := listChange{at: s.now}
	for _, id := range s.nodeIDs {
		if n, ok := s.nodes[id]; ok && !n.unlisted {
			change.live = append(change.live, id)
		}
	}
	s.listChanges = append(s.listChanges, change)
}

// readList gives a node the list as it was up to eight seconds ago.
func (s *simulation) readList(n *node) {
	if s.listOutage || s.now.Sub(n.lastRead) < 2*time.Second {
		return
	}
	n.lastRead = s.now
	past := s.now.Add(-time.Duration(s.rng.IntN(8000)) * time.Millisecond)
	var members []Member
	for _, change := range s.listChanges {
		if !change.at.After(past) || members == nil {
			members = members[:0]
			for _, id := range change.live {
				members = append(members, Member{Incarnation: Incarnation{ID: id}, Live: true})
			}
		}
	}
	self := Member{Incarnation: Incarnation{ID: n.self.ID}, Live: true}
	if !slices.Contains(members, self) { // a daemon's membership always includes the daemon
		members = append(members, self)
	}
	n.coordinator.SetGroup(Group(members), n.clock(s.now))
}

func (s *simulation) send(from, to string, body any) {
	if s.rng.Float64() < s.loss {
		return
	}
	copies := 1
	if s.rng.IntN(50) == 0 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+s.rng.IntN(150)) * time.Millisecond
		if s.randomFaults && s.rng.IntN(100) == 0 {
			delay = time.Duration(s.rng.IntN(90)) * time.Second
		}
		s.messages = append(s.messages, message{s.now.Add(delay), from, to, body})
	}
}

// step advances the clock and runs every node that is not paused.
func (s *simulation) step() {
	s.now = s.now.Add(testStep)
	s.deliver()
	for _, id := range s.nodeIDs {
		n, ok := s.nodes[id]
		if !ok || n.paused {
			continue
		}
		s.rng.Shuffle(len(n.inbox), func(i, j int) { n.inbox[i], n.inbox[j] = n.inbox[j], n.inbox[i] })
		inbox := n.inbox
		n.inbox = nil
		for _, m := range inbox {
			if s.faults.tamper != nil {
				s.faults.tamper(n.coordinator, n.clock(s.now))
			}
			s.handle(n, m)
		}
		s.startRuns(n)
		s.readList(n)
		s.perform(n, n.coordinator.Tick(n.clock(s.now)))
		if s.now.Sub(epoch)%(2*time.Second) == 0 {
			s.sendHeartbeat(n, n.coordinator.Heartbeat(n.clock(s.now)))
		}
	}
}

func (s *simulation) sendHeartbeat(n *node, heartbeat Heartbeat) {
	for _, id := range n.coordinator.Recipients() {
		s.send(n.self.ID, id, heartbeat)
	}
}

func (s *simulation) deliver() {
	var rest []message
	for _, m := range s.messages {
		if m.due.After(s.now) {
			rest = append(rest, m)
			continue
		}
		from, sent := s.nodes[m.from]
		to, ok := s.nodes[m.to]
		if ok && (!sent || from.partition == to.partition || m.from == m.to) {
			to.inbox = append(to.inbox, m)
		}
	}
	s.messages = rest
}

func (s *simulation) handle(n *node, m message) {
	if s.faults.message != nil && s.faults.message(s, n, m) {
		return
	}
	now := n.clock(s.now)
	switch body := m.body.(type) {
	case Heartbeat:
		n.coordinator.HandleHeartbeat(body, now)
	case Claim:
		s.send(n.self.ID, body.From.ID, n.coordinator.HandleClaim(body, now))
	case Reply:
		s.perform(n, n.coordinator.HandleReply(body, now))
	case runEnd:
		n.coordinator.Finish(body.key, body.outcome, StoredAnswer{Status: body.status}, now)
	case call.Request:
		s.perform(n, n.coordinator.Begin(body, now))
	}
}

func (s *simulation) perform(n *node, actions []Action) {
	for _, a := range actions {
		if s.faults.action != nil {
			s.faults.action(&a)
		}
		switch a.Kind {
		case Run:
			n.pendingRuns = append(n.pendingRuns, a)
		case SendClaim:
			s.queriedCalls[a.CallID] = true
			s.send(n.self.ID, a.Claim.To.ID, a.Claim)
		case Refuse:
			s.history.recordAnswer(a.CallID, a.Key, a.Outcome, a.Reason, 0, s.now)
		case Replay:
			s.history.recordAnswer(a.CallID, a.Key, a.Outcome, a.Reason, a.Answer.Status, s.now)
		}
	}
}

// startRuns lets the pending runs of a node reach the upstream, unless it is too
// late.
func (s *simulation) startRuns(n *node) {
	var rest []Action
	for _, a := range n.pendingRuns {
		switch {
		case s.randomFaults && s.rng.IntN(3) == 0: // delayed in the daemon
			rest = append(rest, a)
		case !n.clock(s.now).Before(a.Until) || s.randomFaults && s.rng.IntN(10) == 0:
			outcome := n.coordinator.Finish(a.Key, call.NotRun, StoredAnswer{}, n.clock(s.now))
			s.history.recordAnswer(a.CallID, a.Key, outcome, call.Overloaded, 0, s.now)
		default:
			status := s.history.recordRun(a.CallID, a.Key, s.now)
			outcome := call.Run
			if s.randomFaults && s.rng.IntN(8) == 0 {
				outcome = call.Unknown
			}
			s.send(n.self.ID, n.self.ID, runEnd{a.Key, outcome, status})
		}
	}
	n.pendingRuns = rest
}

// sendRequest sends a request with a key to a node.
func (s *simulation) sendRequest(id, key string) {
	s.lastID++
	req := call.Request{ID: fmt.Sprint("call-", s.lastID), Key: key, Method: "POST", Fingerprint: 7}
	s.history.recordSend(req.ID, key)
	s.messages = append(s.messages, message{s.now, "caller", id, req})
}

func (s *simulation) newKey(kind KeyKind) string {
	switch kind {
	case Issued:
		if n := s.randomNode(); n != nil {
			if key, ok := n.coordinator.IssueKey(n.clock(s.now)); ok {
				return key
			}
		}
	case Timed:
		return timedKey(s.now.Add(time.Duration(s.rng.IntN(1000))*time.Millisecond), s.rng.Uint64())
	}
	return fmt.Sprint("order-", s.rng.Uint64())
}

func timedKey(made time.Time, nonce uint64) string {
	ms := made.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", ms>>16, ms&0xffff, nonce&0xfff, nonce>>12&0xfff, nonce>>16)
}

func (s *simulation) randomNode() *node {
	if len(s.nodes) == 0 {
		return nil
	}
	for {
		if n, ok := s.nodes[s.nodeIDs[s.rng.IntN(len(s.nodeIDs))]]; ok {
			return n
		}
	}
}

// sendKey sends a key once or twice, each time to its home according to a random
// view or to a random node.
func (s *simulation) sendKey(key string) {
	for range 1 + s.rng.IntN(2) {
		n := s.randomNode()
		if n == nil {
			return
		}
		to := n.self.ID
		if s.rng.IntN(5) > 0 { // routed by a random subset of the live instances
			var members []Member
			for _, id := range s.nodeIDs {
				if _, ok := s.nodes[id]; ok && s.rng.IntN(10) > 0 {
					members = append(members, Member{Incarnation: Incarnation{ID: id}, Live: true})
				}
			}
			if home, ok, _ := Route(key, members); ok {
				to = home.ID
			}
		}
		s.sendRequest(to, key)
	}
}
