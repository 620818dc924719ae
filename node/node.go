package node

import (
	"time"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/measure"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/once"
	"pomelodoor.example/pomelodoor/quarantine"
	"pomelodoor.example/pomelodoor/retry"
	"pomelodoor.example/pomelodoor/spread"
)

// Config holds the settings of a Node.
type Config struct {
	// Self is the instance that this daemon serves.
	Self membership.Instance
	// Incarnation numbers this start of the daemon. It is greater than that of
	// every earlier start of the same instance.
	Incarnation uint64
	// Started is the start time of this incarnation.
	Started time.Time
	// Rand returns uniformly distributed random numbers.
	Rand func() uint64
	// FleetSize is the number of instances to assume until the platform's list
	// is known.
	FleetSize int
	// KeyWindow is how long a caller-supplied idempotency key is valid; zero
	// means the default of package once. It must be the same for all daemons of
	// a service.
	KeyWindow time.Duration
	// Choose replaces package balance in experiments; nil uses package balance.
	Choose Choose
	// Direct is true for a daemon that reads the store itself. Nothing is
	// spread between daemons then, and every request must match a route.
	Direct bool
	// AssumedActions are the actions allowed until a switches document has been read.
	AssumedActions []config.Action
	// Retry limits further attempts by all daemons together.
	Retry SharedBudget
	// ProbesPerSecond limits the probes of the local upstream while requests are
	// started according to its pace; otherwise the document of its service does.
	ProbesPerSecond float64
	// ColdBound bounds what is sent to a cold upstream.
	ColdBound ColdBound
}

// SharedBudget limits the requests that all daemons together may add to those
// of one service: Share of the first sends, plus Extra in each Window.
type SharedBudget struct {
	Share  float64
	Extra  float64
	Window time.Duration
}

// Choose returns the index of one of the candidates, never one in avoid. It
// returns false if there is none.
type Choose func(candidates []balance.Candidate, avoid []string, now time.Time) (int, bool)

// Node is the state of one daemon. It is not safe for concurrent use.
type Node struct {
	cfg    Config
	config *config.Set
	view   *membership.View
	// spread is nil for a daemon that reads the store itself.
	spread *spread.State
	// unlisted holds the control addresses of daemons that have no membership
	// record, by ID.
	unlisted map[string]string

	// Ingress: the calls of callers and the state used to choose upstreams.
	// uncertain is membership's suspicion that the fault is on this side, which
	// disables ejection.
	calls     map[string]*callState
	sets      map[candidateKey]*candidateSet
	pickers   map[string]*balance.Picker
	policies  map[string]*retry.Policy
	splits    map[string]*split
	links     *links
	uncertain bool

	evacuation evacuation

	// Admission: the requests for the local upstream.
	runs          map[string]*runState
	gate          *admit.Gate
	localEstimate balance.Estimate
	meter         *measure.Meter
	shortage      shortage

	// suspects holds the evidence from crashes of upstreams, suspectsSentAt
	// when it was last sent to a sibling.
	suspects       *quarantine.Quarantine
	suspectsSentAt time.Time
	suspectSync    suspectSync
	// instancesKnown is set once the store's list of instances has been read.
	instancesKnown bool

	// coordinator decides on idempotency keys. homes holds the possible homes
	// of keys by service, coordinatorGeneration is the membership generation
	// last passed to the coordinator.
	coordinator           *once.Coordinator
	homes                 map[string]*homeSet
	coordinatorGeneration uint64
	lastHeartbeat         time.Time

	// loadSentAt and lastLoad are the time and content of the last load report
	// to siblings.
	loadSentAt time.Time
	lastLoad   string

	// senders are the daemons that send requests here, with the time of the
	// last one.
	senders map[string]time.Time
	// routeWork is the expected processing time of each route's requests at
	// nominal pace, and routeTimes the longest time from request to answer.
	routeWork  map[string]work
	routeTimes map[string]*longestTime
	// sentPace, sentCalls and zoneSentAt are the content and time of the last
	// load report to the availability zone.
	sentPace   int
	sentCalls  int
	zoneSentAt time.Time
	// reportedIncarnation is the incarnation that the local upstream reports,
	// and lastReread when the store was last queried for it.
	reportedIncarnation string
	lastReread          time.Time
	// rereadDelay is the minimum time until the next query.
	rereadDelay time.Duration
	// answersWithoutPace counts the latest consecutive answers of the local
	// upstream that did not report a pace.
	answersWithoutPace int
	// contention is the value of Gate.Contention last logged.
	contention float64
	// gateDueAt is when the pending GateAfter ends; zero if none is pending.
	gateDueAt time.Time

	cold coldState

	upstreamCold bool
	// upstreamListed is set once the store has listed the local upstream.
	upstreamListed bool
	// eraFilter keeps upstreams out of use that came back with an older copy of the store.
	eraFilter membership.EraFilter
	// servingSince is when the upstream began to report that it is serving.
	servingSince time.Time
	// stopping is set by Shutdown; closing is set once no new work is accepted.
	stopping bool
	closing  bool
	// answerBy is when the stop ends the last requests, and screenFrom when requests that
	// may outlast it begin to be refused; zero if there is no limit.
	answerBy   time.Time
	screenFrom time.Time
}

// New returns the node of a daemon that has just started and knows only itself.
func New(cfg Config) *Node {
	n := &Node{
		cfg:    cfg,
		config: config.NewSet(),
		view: membership.New(membership.Config{
			Self: cfg.Self, Incarnation: cfg.Incarnation, Started: cfg.Started, ResumeTimeout: resumeTimeout(cfg),
		}),
		unlisted:    map[string]string{},
		calls:       map[string]*callState{},
		sets:        map[candidateKey]*candidateSet{},
		pickers:     map[string]*balance.Picker{},
		policies:    map[string]*retry.Policy{},
		splits:      map[string]*split{},
		links:       newLinks(cfg.Self.AvailabilityZone),
		runs:        map[string]*runState{},
		gate:        admit.New(admit.Config{}),
		meter:       measure.New(measure.Config{Rand: cfg.Rand}),
		homes:       map[string]*homeSet{},
		senders:     map[string]time.Time{},
		routeWork:   map[string]work{},
		routeTimes:  map[string]*longestTime{},
		suspects:    quarantine.New(quarantine.Config{Self: cfg.Self.ID, Incarnation: cfg.Incarnation}),
		suspectSync: newSuspectSync(),
		coordinator: once.New(once.Config{
			Self:    once.Incarnation{ID: cfg.Self.ID, Number: cfg.Incarnation},
			Started: cfg.Started,
			Window:  cfg.KeyWindow,
			Rand:    cfg.Rand,
		}),
	}
	n.config.Assume(cfg.AssumedActions)
	if cfg.Direct {
		// The local upstream gets no work until the list names it.
		n.view.ReplaceAll(nil, cfg.Started)
		n.gate.Drain(cfg.Started)
		return n
	}
	n.spread = n.newSpread(cfg.Started)
	n.announceSelf(cfg.Started)
	return n
}

// directResumeTimeout is how long a resumed daemon that reads the store waits for
// the store's answer, which comes within milliseconds or not for a while.
const directResumeTimeout = 2 * time.Second

func resumeTimeout(cfg Config) time.Duration {
	if cfg.Direct {
		return directResumeTimeout
	}
	return membership.DefaultResumeTimeout
}

// Update handles one message and returns the commands to carry out, in order.
func (n *Node) Update(m Message, now time.Time) []Command {
	out := append(n.detectPause(now), n.update(m, now)...)
	return append(out, n.scheduleStart(now)...)
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
		return n.gateDue(now)
	case Tick:
		return n.tick(now)
	case Shutdown:
		return n.shutdown(m, now)
	case Closing:
		return n.stopAccepting(now)
	}
	return n.updateFleet(m, now)
}

// updateFleet handles messages about the fleet rather than a single request.
func (n *Node) updateFleet(m Message, now time.Time) []Command {
	switch m := m.(type) {
	case PeerMessage:
		return n.peerMessage(m, now)
	case IndexRead:
		return n.applySpreadActions(n.spread.IndexRead(m.Version, m.Keys, now), now)
	case ValueRead:
		return n.applySpreadActions(n.spread.ValueRead(m.Key, m.Version, m.Body, now), now)
	case InstancesRead:
		return n.instancesRead(m, now)
	case InstancesListed:
		out := n.instancesListed(m, now)
		return append(out, n.tickSuspectSync(now)...)
	case ZonesEvacuated:
		return n.zonesEvacuated(m, now)
	case DocumentRead:
		return n.documentRead(m, now)
	case DocumentsComplete:
		return n.documentsComplete(now)
	case StoreAnswered:
		n.view.EndPause()
	case ReadFailed:
		return n.applySpreadActions(n.spread.ReadFailed(m.Read, now), now)
	}
	return nil
}

// detectPause checks, before anything else is decided, whether the process was
// paused.
func (n *Node) detectPause(now time.Time) []Command {
	gap := n.view.Tick(now)
	if gap == 0 {
		return nil
	}
	if n.direct() {
		return []Command{
			LogEntry{Part: "node", Text: "The process was paused.", Warn: true, Fields: []any{"paused", gap}},
			RereadStore{},
		}
	}
	n.config.Unconfirm()
	text := "The process was paused for " + gap.Round(time.Millisecond).String() + "."
	out := []Command{LogEntry{Part: "node", Text: text, Warn: true}}
	return append(out, n.applySpreadActions(n.spread.Resumed(now), now)...)
}

// tick does the work that is due by time alone.
func (n *Node) tick(now time.Time) []Command {
	n.uncertain = !n.direct() && n.view.Uncertain(now)
	out := n.applyGateActions(n.gate.Tick(now), now)
	if !n.direct() {
		if !now.Before(n.spread.NextTick()) {
			out = append(out, n.spreadTick(now)...)
		}
		n.updateConfirmation(now)
		out = append(out, n.tickCoordinator(now)...)
	}
	out = append(out, n.applyLimits(now)...)
	out = append(out, n.logContention(now)...)
	out = append(out, n.logCold(now)...)
	out = append(out, n.logShortage(now)...)
	if !n.direct() {
		out = append(out, n.sendLoadToSiblings(now)...)
	}
	out = append(out, n.tickSuspects(now)...)
	out = append(out, n.tickSuspectSync(now)...)
	return append(out, n.probe(now)...)
}

// shutdown refuses new work and informs the other daemons. Running requests are
// completed and callers are still served. A direct daemon has no means to
// inform the others, so it keeps accepting work until Closing: its upstream
// stays up, and refusing work now would only reduce capacity.
func (n *Node) shutdown(m Shutdown, now time.Time) []Command {
	if n.stopping {
		return nil
	}
	n.stopping = true
	if !m.AnswerBy.IsZero() {
		n.answerBy = m.AnswerBy
		n.screenFrom = now.Add(m.AnswerBy.Sub(now) / 2)
	}
	if n.direct() {
		return nil
	}
	return n.stopAccepting(now)
}

// stopAccepting refuses new work from now on.
func (n *Node) stopAccepting(now time.Time) []Command {
	if n.closing {
		return nil
	}
	n.closing = true
	out := n.applyGateActions(n.gate.Drain(now), now)
	n.coordinator.Leave()
	if n.view.Leave(now) {
		n.announceSelf(now)
	}
	return append(out, n.spreadTick(now)...)
}

// FinalMessages returns the final messages of a daemon whose work is done: its keys
// are transferred to the other homes, and its membership record is marked as
// gone.
func (n *Node) FinalMessages(now time.Time) []Command {
	var out []Command
	if n.direct() {
		return out
	}
	recipients := n.coordinator.Recipients()
	final := n.coordinator.FinalHeartbeat(now)
	for _, id := range recipients {
		out = append(out, n.send(id, kindHeartbeat, final)...)
	}
	if n.view.MarkGone(now) {
		n.announceSelf(now)
	}
	return append(out, n.spreadTick(now)...)
}

// Idle reports whether no request is in progress here.
func (n *Node) Idle() bool {
	return len(n.calls) == 0 && len(n.runs) == 0
}

func (n *Node) self() string { return n.cfg.Self.ID }

const (
	// fallbackTimeout and fallbackBodyBytes apply to services without a
	// document, whose calls are refused after the request has been read.
	fallbackTimeout   = 2 * time.Second
	fallbackBodyBytes = 1 << 20
	// routedTimeout applies to a caller that states no deadline until its route
	// is known.
	routedTimeout = 30 * time.Second
)

// Timeout returns the longest deadline allowed for a service's calls.
func (n *Node) Timeout(service string) time.Duration {
	if n.cfg.Direct {
		return routedTimeout
	}
	if s, ok := n.config.Service(service); ok {
		return s.Limits().Timeout()
	}
	return fallbackTimeout
}

// BodyTimeout returns how long the body of a request may take: the timeout of its route, or
// else of its service.
func (n *Node) BodyTimeout(request call.Request) time.Duration {
	if routes := n.config.Routes(); routes != nil {
		if route, ok := routes.Find(request.Host, request.Path); ok {
			return route.Timeout()
		}
	}
	return n.Timeout(request.Service)
}

// ServiceLevel returns the promised service level of a service, or false if no
// document states one.
func (n *Node) ServiceLevel(service string) (config.ServiceLevel, bool) {
	if s, ok := n.config.Service(service); ok {
		return s.ServiceLevel(), true
	}
	return config.ServiceLevel{}, false
}

// MaxConnections returns the maximum number of connections to the local upstream,
// or false if no document states one.
func (n *Node) MaxConnections() (int, bool) {
	s, ok := n.config.Service(n.cfg.Self.Service)
	if !ok {
		return 0, false
	}
	return s.Limits().Connections(), true
}

// ProbePath returns the path at which the local upstream reports its load.
func (n *Node) ProbePath() string {
	if routes := n.config.Routes(); routes != nil {
		if s, ok := routes.UpstreamSettings(n.cfg.Self.Service); ok {
			return s.ProbePath()
		}
	}
	return "/load"
}

// MaxBodyBytes returns the maximum size of a service's request body.
func (n *Node) MaxBodyBytes(service string) int64 {
	if routes := n.config.Routes(); routes != nil {
		return routes.MaxBodyBytes()
	}
	if s, ok := n.config.Service(service); ok {
		return s.Limits().MaxBodyBytes()
	}
	return fallbackBodyBytes
}
