// Package spread carries configuration documents and membership records from
// the platform to every daemon.
//
// A few daemons in each availability zone, chosen without a leader, watch the
// platform. What they learn is offered to neighbours as a rumour, and every
// daemon compares what it holds with one other daemon at a time, by hashes, and
// takes whatever is newer (Demers et al., "Epidemic Algorithms for Replicated
// Database Maintenance", 1987). Versions only go up, so a stale platform, a
// late message or a healed partition never brings an older version back.
//
//	s := spread.New(spread.Config{Self: "faults-1", Neighbours: neighbours, ...}, now)
//	for _, action := range s.Tick(now) {
//		// carry out action.Kind
//	}
//	// call s.Tick again at s.WakeAt()
//
// A State reads no clock, draws random numbers through Config.Rand and is not
// safe for concurrent use.
package spread

import "time"

// Defaults of Config.
const (
	DefaultFanout        = 8
	DefaultCompareEvery  = time.Second
	DefaultReadShare     = 500
	DefaultMaxFleet      = 3000
	DefaultWatchWait     = 5 * time.Second
	DefaultReaderTimeout = 10 * time.Second
	DefaultConfirmWait   = 20 * time.Second
	DefaultTombstoneLife = 24 * time.Hour
	DefaultFirst         = "switches"
)

const (
	// pushDelay collects news for one message.
	pushDelay = 50 * time.Millisecond
	// firstCompareEvery is the pace of a daemon that is not confirmed.
	firstCompareEvery = 200 * time.Millisecond
	// otherEvery is how many comparisons go to neighbours for each that goes
	// to any other instance.
	otherEvery = 4
	// heardWithin is how long a daemon counts as in touch after its last word.
	heardWithin = 12 * time.Second
	// maxHeard is how many daemons are remembered before old ones are dropped.
	maxHeard = 64
)

// Config holds the settings of a State. Zero numbers and durations take the
// defaults; the functions have none.
type Config struct {
	// Self and Incarnation name this daemon in its messages.
	Self        string
	Incarnation uint64

	// Neighbours returns the IDs that this daemon keeps in touch with.
	Neighbours func() []string
	// Other returns the ID of any live or leaving instance, or "".
	Other func() string
	// Peers returns the number of other instances, live or leaving. The default
	// counts the live ones.
	Peers func() int
	// Live returns the number of live instances, this one included.
	Live func() int
	// Reader reports whether this daemon is to watch the platform.
	Reader func() bool
	// Readers returns the number of daemons that are to watch the platform.
	Readers func() int
	// Rand returns a random number.
	Rand func() uint64
	// Version returns the version of a document read from the platform, which
	// is the operators' own and not the platform's, or why it is refused.
	Version func(key string, body []byte) (Version, error)

	// Fanout is how many neighbours a daemon offers news to.
	Fanout int
	// CompareEvery is the pause between two comparisons with another daemon.
	CompareEvery time.Duration
	// First is the key that is read from the platform before all others. The
	// default is DefaultFirst.
	First string
	// ReadShare is the fleet's share of the platform's reads per second.
	ReadShare int
	// MaxFleet is the size to assume of the fleet before the list is known.
	MaxFleet int
	// WatchWait is how long one watch of the platform waits for news.
	WatchWait time.Duration
	// ReaderTimeout is how long no daemon may have heard from the platform
	// before those that are no readers read it too.
	ReaderTimeout time.Duration
	// ConfirmWait bounds how long a fresh daemon waits for others.
	ConfirmWait time.Duration
	// TombstoneLife is how long tombstones are kept.
	TombstoneLife time.Duration
}

func (c Config) withDefaults() Config {
	setInt(&c.Fanout, DefaultFanout)
	setInt(&c.ReadShare, DefaultReadShare)
	setInt(&c.MaxFleet, DefaultMaxFleet)
	setDuration(&c.CompareEvery, DefaultCompareEvery)
	setDuration(&c.WatchWait, DefaultWatchWait)
	setDuration(&c.ReaderTimeout, DefaultReaderTimeout)
	setDuration(&c.ConfirmWait, DefaultConfirmWait)
	setDuration(&c.TombstoneLife, DefaultTombstoneLife)
	if c.First == "" {
		c.First = DefaultFirst
	}
	if live := c.Live; c.Peers == nil {
		c.Peers = func() int { return live() - 1 }
	}
	return c
}

func setInt(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// State is one daemon's part in spreading items.
type State struct {
	config Config
	store  store

	wants wants

	// hot holds the keys to offer to neighbours at flushAt.
	hot     []string
	flushAt time.Time
	// beat tells that the platform was reached again, which is passed on too.
	beat bool

	// heard holds when each of the daemons last heard spoke.
	heard map[string]time.Time

	round     uint64
	compareAt time.Time

	confirm confirm
	reading reading
}

// New returns a State that holds nothing.
func New(config Config, now time.Time) *State {
	s := &State{
		config:    config.withDefaults(),
		store:     newStore(),
		wants:     wants{byKey: map[string]want{}},
		heard:     map[string]time.Time{},
		compareAt: now,
	}
	s.confirm.restart(1, now)
	s.startReading(now)
	return s
}

// Tick does what is due and returns what is to be done.
func (s *State) Tick(now time.Time) []Action {
	var actions []Action
	s.store.forget(now, s.config.TombstoneLife)
	if !now.Before(s.compareAt) {
		actions = s.compare(actions, now)
	}
	if s.flushDue(now) {
		actions = s.flush(actions, now)
	}
	actions = s.askAgain(actions, now)
	return s.read(actions, now)
}

// WakeAt returns when Tick is due next.
func (s *State) WakeAt() time.Time {
	at := s.compareAt
	if s.flushPending() {
		at = earlier(at, s.flushAt)
	}
	if s.wants.pending() {
		at = earlier(at, s.wants.due)
	}
	return earlier(at, s.readDue())
}

// Put takes in an item of this daemon's own and offers it to neighbours.
func (s *State) Put(item Item, now time.Time) error {
	if err := item.check(); err != nil {
		return err
	}
	if s.store.put(item, now) {
		s.heat(item.Key, now)
	}
	return nil
}

// Get returns the item held for a key. Its body must not be changed.
func (s *State) Get(key string) (Item, bool) {
	e, ok := s.store.entries[key]
	if !ok {
		return Item{}, false
	}
	return e.Item, true
}

// Len returns the number of items held.
func (s *State) Len() int { return len(s.store.entries) }

// Root returns the hash of all that is held; two daemons with the same root
// hold the same versions.
func (s *State) Root() uint64 { return s.store.tree[0][0] }

// Woke must be called after a pause of the process. What it holds may be old,
// so it compares with all neighbours at once and is not confirmed until then.
func (s *State) Woke(now time.Time) []Action {
	s.confirm.restart(s.round+1, now)
	clear(s.wants.byKey)
	s.rereadAfterPause(now)
	var actions []Action
	for _, to := range s.config.Neighbours() {
		actions = append(actions, s.ask(to, now))
	}
	s.compareAt = now.Add(firstCompareEvery)
	return actions
}

// compare asks one other daemon whether it holds the same.
func (s *State) compare(actions []Action, now time.Time) []Action {
	every := s.config.CompareEvery
	if !s.Confirmed(now) {
		every = firstCompareEvery
	}
	s.compareAt = now.Add(every*3/4 + s.jitter(every/2))
	to := s.nextPeer()
	if to == "" {
		return actions
	}
	return append(actions, s.ask(to, now))
}

func (s *State) nextPeer() string {
	neighbours := s.config.Neighbours()
	if s.round%otherEvery == otherEvery-1 || len(neighbours) == 0 {
		return s.config.Other()
	}
	turn := s.round - s.round/otherEvery
	return neighbours[turn%uint64(len(neighbours))]
}

func (s *State) ask(to string, now time.Time) Action {
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

func (s *State) heardFrom(id string, now time.Time) {
	if len(s.heard) > maxHeard {
		for other, at := range s.heard {
			if now.Sub(at) > heardWithin {
				delete(s.heard, other)
			}
		}
	}
	s.heard[id] = now
}

// connected reports whether at least half of the neighbours were heard lately.
func (s *State) connected(now time.Time) bool {
	neighbours := s.config.Neighbours()
	heard := 0
	for _, id := range neighbours {
		if at, ok := s.heard[id]; ok && now.Sub(at) <= heardWithin {
			heard++
		}
	}
	return heard > 0 && 2*heard >= len(neighbours)
}
