// Package spread distributes configuration documents and membership records
// from the platform to every daemon.
//
// A few daemons in each availability zone, chosen without a leader, watch the
// platform. New items are offered to neighbours (rumour mongering), and every
// daemon periodically compares its items with those of one other daemon, by
// hashes, and fetches whatever is newer (anti-entropy; Demers et al., "Epidemic
// Algorithms for Replicated Database Maintenance", 1987). Versions only
// increase, so a stale platform, a late message or a healed partition never
// restores an older version.
//
//	s := spread.New(spread.Config{Self: "faults-1", Neighbours: neighbours, ...}, now)
//	for _, action := range s.Tick(now) {
//		// carry out action.Kind
//	}
//	// call s.Tick again at s.NextTick()
//
// A State reads no clock, draws random numbers through Config.Rand and is not
// safe for concurrent use.
package spread

import (
	"time"

	"pomelodoor.example/pomelodoor/times"
)

// Defaults of Config.
const (
	DefaultFanout          = 8
	DefaultCompareInterval = time.Second
	DefaultReadsPerSecond  = 500
	DefaultMaxFleet        = 3000
	DefaultWatchWait       = 5 * time.Second
	DefaultReaderTimeout   = 10 * time.Second
	DefaultConfirmWait     = 20 * time.Second
	DefaultTombstoneTTL    = 24 * time.Hour
	DefaultPriorityKey     = "switches"
)

const (
	// offerDelay is how long new items are collected into one message.
	offerDelay = 50 * time.Millisecond
	// unconfirmedCompareInterval is the comparison interval of a daemon that is
	// not confirmed.
	unconfirmedCompareInterval = 200 * time.Millisecond
	// randomPeerEvery is the number of comparisons of which one goes to a random
	// instance and the others to neighbours.
	randomPeerEvery = 4
	// connectedTimeout is how long a daemon counts as connected after its last
	// message.
	connectedTimeout = 12 * time.Second
	// maxTrackedPeers is the number of daemons whose last message is tracked
	// before old ones are removed.
	maxTrackedPeers = 64
)

// Config holds the settings of a State. Zero numbers and durations select the
// defaults; the functions have no default unless stated.
type Config struct {
	// Self and Incarnation identify this daemon in its messages.
	Self        string
	Incarnation uint64

	// Neighbours returns the IDs of the instances that this daemon exchanges
	// messages with.
	Neighbours func() []string
	// RandomPeer returns the ID of a random other instance, live or leaving, or "".
	RandomPeer func() string
	// Peers returns the number of other instances, live or leaving. The default
	// counts only the live ones.
	Peers func() int
	// Live returns the number of live instances, including this one.
	Live func() int
	// IsReader reports whether this daemon should watch the platform.
	IsReader func() bool
	// Readers returns the number of daemons that should watch the platform.
	Readers func() int
	// Rand returns a random number.
	Rand func() uint64
	// Version returns the version of a document read from the platform, as set
	// by the operators rather than by the platform, or an error if the document
	// is refused.
	Version func(key string, body []byte) (Version, error)

	// Fanout is the number of neighbours to which a daemon offers new items.
	Fanout int
	// CompareInterval is the average interval between two comparisons with
	// another daemon.
	CompareInterval time.Duration
	// PriorityKey is the key that is read from the platform before all others.
	// The default is DefaultPriorityKey.
	PriorityKey string
	// ReadsPerSecond is the rate of platform reads available to the whole
	// fleet.
	ReadsPerSecond int
	// MaxFleet is the fleet size to assume before the list is known.
	MaxFleet int
	// WatchWait is how long one watch of the platform waits for a change.
	WatchWait time.Duration
	// ReaderTimeout is the age of the platform's last known answer to any daemon
	// above which daemons that are not readers read it too.
	ReaderTimeout time.Duration
	// ConfirmWait is how long a new daemon waits for confirmed daemons before
	// unconfirmed ones are sufficient; see State.Confirmed.
	ConfirmWait time.Duration
	// TombstoneTTL is how long tombstones are kept.
	TombstoneTTL time.Duration
}

func (c Config) withDefaults() Config {
	defaultInt(&c.Fanout, DefaultFanout)
	defaultInt(&c.ReadsPerSecond, DefaultReadsPerSecond)
	defaultInt(&c.MaxFleet, DefaultMaxFleet)
	defaultDuration(&c.CompareInterval, DefaultCompareInterval)
	defaultDuration(&c.WatchWait, DefaultWatchWait)
	defaultDuration(&c.ReaderTimeout, DefaultReaderTimeout)
	defaultDuration(&c.ConfirmWait, DefaultConfirmWait)
	defaultDuration(&c.TombstoneTTL, DefaultTombstoneTTL)
	if c.PriorityKey == "" {
		c.PriorityKey = DefaultPriorityKey
	}
	if live := c.Live; c.Peers == nil {
		c.Peers = func() int { return live() - 1 }
	}
	return c
}

func defaultInt(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

func defaultDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// State is one daemon's state of the distribution of items.
type State struct {
	config Config
	store  store

	wants wants

	// pendingOffers holds the keys to offer to neighbours at flushAt.
	pendingOffers []string
	flushAt       time.Time
	// announceAnswer is true if the platform has answered again and neighbours
	// are to be informed at flushAt.
	announceAnswer bool

	// lastReceived holds the time of the last message from each daemon.
	lastReceived map[string]time.Time

	round     uint64
	compareAt time.Time

	confirm confirm
	reading reading
}

// New returns a State without items.
func New(config Config, now time.Time) *State {
	s := &State{
		config:       config.withDefaults(),
		store:        newStore(),
		wants:        wants{byKey: map[string]want{}},
		lastReceived: map[string]time.Time{},
		compareAt:    now,
	}
	s.confirm.restart(1, now)
	s.startReading(now)
	return s
}

// Tick performs the work that is due and returns the actions to carry out.
func (s *State) Tick(now time.Time) []Action {
	var actions []Action
	s.store.expireTombstones(now, s.config.TombstoneTTL)
	if !now.Before(s.compareAt) {
		actions = s.compare(actions, now)
	}
	if s.flushDue(now) {
		actions = s.flush(actions, now)
	}
	actions = s.retryWants(actions, now)
	return s.requestReads(actions, now)
}

// NextTick returns when the next call of Tick is due.
func (s *State) NextTick() time.Time {
	at := s.compareAt
	if s.flushPending() {
		at = times.Earlier(at, s.flushAt)
	}
	if s.wants.pending() {
		at = times.Earlier(at, s.wants.due)
	}
	return times.Earlier(at, s.readDue())
}

// Put stores an item that was not received from another daemon and offers it to
// neighbours.
func (s *State) Put(item Item, now time.Time) error {
	if err := item.check(); err != nil {
		return err
	}
	if s.store.put(item, now) {
		s.queueOffer(item.Key, now)
	}
	return nil
}

// Get returns the stored item of a key. Its body must not be modified.
func (s *State) Get(key string) (Item, bool) {
	e, ok := s.store.entries[key]
	if !ok {
		return Item{}, false
	}
	return e.Item, true
}

// Len returns the number of stored items.
func (s *State) Len() int { return len(s.store.entries) }

// Root returns the hash over all stored items; two daemons with the same root
// hold the same versions.
func (s *State) Root() uint64 { return s.store.tree[0][0] }

// Resumed must be called when the process resumes after a pause. The stored items
// may be outdated, so the daemon compares them with all neighbours at once and
// is not confirmed until enough daemons match.
func (s *State) Resumed(now time.Time) []Action {
	s.confirm.restart(s.round+1, now)
	clear(s.wants.byKey)
	s.rereadAfterPause(now)
	var actions []Action
	for _, to := range s.config.Neighbours() {
		actions = append(actions, s.startComparison(to, now))
	}
	s.compareAt = now.Add(unconfirmedCompareInterval)
	return actions
}

// compare starts a comparison with one other daemon and schedules the next one.
func (s *State) compare(actions []Action, now time.Time) []Action {
	interval := s.config.CompareInterval
	if !s.Confirmed(now) {
		interval = unconfirmedCompareInterval
	}
	s.compareAt = now.Add(interval*3/4 + s.jitter(interval/2))
	to := s.nextPeer()
	if to == "" {
		return actions
	}
	return append(actions, s.startComparison(to, now))
}

func (s *State) nextPeer() string {
	neighbours := s.config.Neighbours()
	if s.round%randomPeerEvery == randomPeerEvery-1 || len(neighbours) == 0 {
		return s.config.RandomPeer()
	}
	index := s.round - s.round/randomPeerEvery
	return neighbours[index%uint64(len(neighbours))]
}

func (s *State) startComparison(to string, now time.Time) Action {
	s.round++
	m := s.message(now)
	m.Summary = s.store.summary(s.round, 0, []byte{0})
	return Action{Kind: Send, To: to, Message: m}
}

// jitter returns a random duration in [0, d).
func (s *State) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.config.Rand() % uint64(d))
}

func (s *State) noteReceived(id string, now time.Time) {
	if len(s.lastReceived) > maxTrackedPeers {
		for other, at := range s.lastReceived {
			if now.Sub(at) > connectedTimeout {
				delete(s.lastReceived, other)
			}
		}
	}
	s.lastReceived[id] = now
}

// connected reports whether at least half of the neighbours have sent a recent
// message.
func (s *State) connected(now time.Time) bool {
	neighbours := s.config.Neighbours()
	recent := 0
	for _, id := range neighbours {
		if at, ok := s.lastReceived[id]; ok && now.Sub(at) <= connectedTimeout {
			recent++
		}
	}
	return recent > 0 && 2*recent >= len(neighbours)
}
