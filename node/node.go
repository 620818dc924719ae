package node

import (
	"time"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/measure"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/once"
	"pomelodoor.example/pomelodoor/quarantine"
	"pomelodoor.example/pomelodoor/retry"
	"pomelodoor.example/pomelodoor/spread"
)

// Config sets up a node.
type Config struct {
	// Self is the daemon's own instance.
	Self membership.Instance
	// Incarnation names this life of the daemon; it is above that of every
	// earlier life of the same instance.
	Incarnation uint64
	// Started is when this life began.
	Started time.Time
	// Rand returns uniform random numbers.
	Rand func() uint64
	// FleetSize is the number of instances to assume before the platform's list
	// is known.
	FleetSize int
	// KeyWindow is how long callers' own keys are good for; the default of
	// package once when zero. It is the same at all daemons of a service.
	KeyWindow time.Duration
	// Choose replaces package balance in experiments; nil keeps it.
	Choose Choose
	// Direct is true for a daemon that reads the users' store itself: nothing is
	// spread, and every request must match a route.
	Direct bool
	// Assumed are the actions allowed until a switches document is read.
	Assumed []config.Action
	// Retry bounds further attempts over all daemons together.
	Retry SharedBudget
	// ProbesPerSecond bounds the probes of the own upstream where no document
	// does.
	ProbesPerSecond float64
}

// SharedBudget is what all daemons together may add to the requests of one
// service: Share of the first sends, and Extra in each Window.
type SharedBudget struct {
	Share  float64
	Extra  float64
	Window time.Duration
}

// Choose picks one of the candidates, but none of those in avoid. It returns
// false when there is none.
type Choose func(candidates []balance.Candidate, avoid []string, now time.Time) (int, bool)

// Node is the state of one daemon. It is not safe for concurrent use.
type Node struct {
	cfg    Config
	config *config.Set
	view   *membership.View
	// spread is nil for a daemon that reads the store itself.
	spread *spread.State
	// strangers holds the control addresses of daemons that no record names.
	strangers map[string]string

	// As ingress: the calls of callers, and what is known of upstreams.
	calls    map[string]*callState
	sets     map[candidateKey]*candidateSet
	pickers  map[string]*balance.Picker
	policies map[string]*retry.Policy
	splits   map[string]*split
	links    *links
	doubt    bool

	// As admission: the requests for the own upstream.
	runs  map[string]*runState
	gate  *admit.Gate
	own   balance.Estimate
	meter *measure.Meter

	// suspects holds what crashes of upstreams have shown.
	suspects   *quarantine.Quarantine
	lastRetold time.Time

	book *once.Book
	// homes, bookView and lastBeat serve the book of keys.
	homes    map[string]*homeSet
	bookView uint64
	lastBeat time.Time

	// loadTold and loadLast are when siblings were last told of the load,
	// and what.
	loadTold time.Time
	loadLast string

	// callers are the daemons that send requests here, and when they last did.
	callers map[string]time.Time
	// work is what each route's requests take at the usual pace.
	work map[string]time.Duration
	// paceTold, callsTold and paceToldAt are what the zone was last told, and
	// when.
	paceTold   int
	callsTold  int
	paceToldAt time.Time
	// present is the life that the own upstream tells of itself, and rereadAt
	// when the store was last asked for it.
	present  string
	rereadAt time.Time
	// rereadPause is the least time until the next question.
	rereadPause time.Duration
	// paceless is the number of answers of the own upstream in a row that did not
	// tell its pace.
	paceless int
	// crowding is what was last noted of Gate.Crowding.
	crowding float64
	// gateDue is true while a WakeGate is under way.
	gateDue bool

	upstreamCold bool
	// servingSince is when the upstream began to say that it serves.
	servingSince time.Time
	// stopping is set by Shutdown, closing once no new work is accepted.
	stopping bool
	closing  bool
}

// New returns the node of a daemon that has just started and knows only
// itself.
func New(cfg Config) *Node {
	n := &Node{
		cfg:    cfg,
		config: config.NewSet(),
		view: membership.New(membership.Config{
			Self: cfg.Self, Incarnation: cfg.Incarnation, Started: cfg.Started, WakeLimit: wakeLimit(cfg),
		}),
		strangers: map[string]string{},
		calls:     map[string]*callState{},
		sets:      map[candidateKey]*candidateSet{},
		pickers:   map[string]*balance.Picker{},
		policies:  map[string]*retry.Policy{},
		splits:    map[string]*split{},
		links:     newLinks(cfg.Self.AvailabilityZone),
		runs:      map[string]*runState{},
		gate:      admit.New(admit.Config{}),
		meter:     measure.New(measure.Config{Rand: cfg.Rand}),
		homes:     map[string]*homeSet{},
		callers:   map[string]time.Time{},
		work:      map[string]time.Duration{},
		suspects:  quarantine.New(quarantine.Config{Self: cfg.Self.ID, Incarnation: cfg.Incarnation}),
		book: once.New(once.Config{
			Self:    once.Incarnation{ID: cfg.Self.ID, Number: cfg.Incarnation},
			Started: cfg.Started,
			Window:  cfg.KeyWindow,
			Rand:    cfg.Rand,
		}),
	}
	n.config.Assume(cfg.Assumed)
	if cfg.Direct {
		// The own upstream gets no work before the list names it.
		n.view.Replace(nil, cfg.Started)
		n.gate.Drain(cfg.Started)
		return n
	}
	n.spread = n.newSpread(cfg.Started)
	n.announce(cfg.Started)
	return n
}

// directWakeLimit is how long a daemon that woke waits for the store. One that
// reads the store has its answer within milliseconds, or not soon.
const directWakeLimit = 2 * time.Second

func wakeLimit(cfg Config) time.Duration {
	if cfg.Direct {
		return directWakeLimit
	}
	return membership.DefaultWakeLimit
}

// Update takes in one message and returns what is to be done, in order.
func (n *Node) Update(m Message, now time.Time) []Command {
	woke := n.wake(now)
	return append(woke, n.update(m, now)...)
}

func (n *Node) update(m Message, now time.Time) []Command {
	switch m := m.(type) {
	case CallerRequest:
		return n.callerRequest(m, now)
	case AttemptEnded:
		return n.attemptEnded(m, now)
	case HedgeDue:
		return n.hedgeDue(m, now)
	case CallerLeft:
		return n.callerLeft(m, now)
	case PeerRequest:
		return n.peerRequest(m, now)
	case RunEnded:
		return n.runEnded(m, now)
	case HandOnEnded:
		return n.handOnEnded(m, now)
	case PeerLeft:
		return n.peerLeft(m, now)
	case ProbeEnded:
		return n.probeEnded(m, now)
	case GateDue:
		return n.gateWoken(now)
	case Tick:
		return n.tick(now)
	case Shutdown:
		return n.shutdown(now)
	case Closing:
		return n.close(now)
	}
	return n.updateFleet(m, now)
}

// updateFleet takes in what concerns the fleet rather than one request.
func (n *Node) updateFleet(m Message, now time.Time) []Command {
	switch m := m.(type) {
	case PeerMessage:
		return n.peerMessage(m, now)
	case IndexRead:
		return n.spreadActions(n.spread.Index(m.Version, m.Keys, now), now)
	case ValueRead:
		return n.spreadActions(n.spread.Value(m.Key, m.Version, m.Body, now), now)
	case InstancesRead:
		return n.instancesRead(m, now)
	case InstancesListed:
		return n.instancesListed(m, now)
	case DocumentRead:
		return n.documentRead(m, now)
	case DocumentsComplete:
		return n.documentsComplete(now)
	case StoreAnswered:
		n.view.Fresh()
	case ReadFailed:
		return n.spreadActions(n.spread.Failed(m.Read, now), now)
	}
	return nil
}

// wake notices that the process was paused before anything else is decided.
func (n *Node) wake(now time.Time) []Command {
	gap := n.view.Tick(now)
	if gap == 0 {
		return nil
	}
	if n.direct() {
		return []Command{
			Note{Part: "node", Text: "The process was paused.", Warn: true, Fields: []any{"paused", gap}},
			RereadStore{},
		}
	}
	n.config.Doubt()
	text := "The process was paused for " + gap.Round(time.Millisecond).String() + "."
	out := []Command{Note{Part: "node", Text: text, Warn: true}}
	return append(out, n.spreadActions(n.spread.Woke(now), now)...)
}

// tick does what is due by time alone.
func (n *Node) tick(now time.Time) []Command {
	n.doubt = !n.direct() && n.view.Doubt(now)
	out := n.admit(n.gate.Tick(now), now)
	if !n.direct() {
		if !now.Before(n.spread.WakeAt()) {
			out = append(out, n.spreadTick(now)...)
		}
		n.confirm(now)
		out = append(out, n.keepBook(now)...)
	}
	out = append(out, n.limits(now)...)
	out = append(out, n.noteCrowding(now)...)
	if !n.direct() {
		out = append(out, n.tellSiblings(now)...)
	}
	out = append(out, n.keepSuspects(now)...)
	return append(out, n.probe(now)...)
}

// shutdown refuses new work and tells the other daemons. What runs goes on to
// its end, and callers are still served. A daemon that cannot tell the others
// goes on working until Closing: its upstream stays, and work refused now would
// only be missing there.
func (n *Node) shutdown(now time.Time) []Command {
	if n.stopping {
		return nil
	}
	n.stopping = true
	if n.direct() {
		return nil
	}
	return n.close(now)
}

// close refuses new work from now on.
func (n *Node) close(now time.Time) []Command {
	if n.closing {
		return nil
	}
	n.closing = true
	out := n.admit(n.gate.Drain(now), now)
	n.book.Leave()
	if n.view.Leave(now) {
		n.announce(now)
	}
	return append(out, n.spreadTick(now)...)
}

// Farewell returns the last messages of a daemon whose work is done: its keys
// go to the other homes, and its record says that it is gone.
func (n *Node) Farewell(now time.Time) []Command {
	var out []Command
	if n.direct() {
		return out
	}
	audience := n.book.Audience()
	last := n.book.Retire(now)
	for _, id := range audience {
		out = append(out, n.send(id, kindHeartbeat, last)...)
	}
	if n.view.Finish(now) {
		n.announce(now)
	}
	return append(out, n.spreadTick(now)...)
}

// Idle reports whether no request is under way here.
func (n *Node) Idle() bool {
	return len(n.calls) == 0 && len(n.runs) == 0
}

func (n *Node) self() string { return n.cfg.Self.ID }

const (
	// fallbackTimeout and fallbackBody hold for services without a document,
	// whose calls are refused once they have been read.
	fallbackTimeout = 2 * time.Second
	fallbackBody    = 1 << 20
	// routedTimeout bounds a caller that states no deadline until its route is
	// known.
	routedTimeout = 30 * time.Second
)

// Timeout returns the longest deadline of a service's calls.
func (n *Node) Timeout(service string) time.Duration {
	if n.cfg.Direct {
		return routedTimeout
	}
	if s, ok := n.config.Service(service); ok {
		return s.Limits().Timeout()
	}
	return fallbackTimeout
}

// Level returns the promised service level of a service, or false when no
// document states one.
func (n *Node) Level(service string) (config.Level, bool) {
	if s, ok := n.config.Service(service); ok {
		return s.Level(), true
	}
	return config.Level{}, false
}

// Connections returns how many connections to the own upstream are allowed, or
// false when no document says so.
func (n *Node) Connections() (int, bool) {
	s, ok := n.config.Service(n.cfg.Self.Service)
	if !ok {
		return 0, false
	}
	return s.Limits().Connections(), true
}

// ProbePath returns the path at which the own upstream tells its load.
func (n *Node) ProbePath() string {
	if routes := n.config.Routes(); routes != nil {
		if e, ok := routes.Endpoint(n.cfg.Self.Service); ok {
			return e.ProbePath()
		}
	}
	return "/load"
}

// MaxBodyBytes returns the size of a service's longest request body.
func (n *Node) MaxBodyBytes(service string) int64 {
	if routes := n.config.Routes(); routes != nil {
		return routes.MaxBodyBytes()
	}
	if s, ok := n.config.Service(service); ok {
		return s.Limits().MaxBodyBytes()
	}
	return fallbackBody
}
