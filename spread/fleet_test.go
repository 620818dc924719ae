package spread

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"
)

var (
	epoch = time.Unix(1_000_000, 0)

	errWentDown    = errors.New("a version went down")
	errNotSame     = errors.New("daemons hold different versions")
	errOldTrusted  = errors.New("a confirmed daemon holds an old version")
	errUnconfirmed = errors.New("a daemon is not confirmed")
)

// letter is a message on its way.
type letter struct {
	from, to int
	due      time.Time
	message  Message
}

// platform is a stand-in whose readers may get what it held some time ago.
type platform struct {
	down     bool
	versions map[string]uint64
	old      map[string]uint64
	stale    bool
	version  uint64
	// size is about how long a document is, in bytes; below zero, it is none.
	size int
	// ahead is how far the operators' revision is ahead of the version.
	ahead uint64
	// cutSide, if set, is the side that can't read.
	cutSide int
}

func (p *platform) values() map[string]uint64 {
	if p.stale {
		return p.old
	}
	return p.versions
}

func (p *platform) index(after uint64) (uint64, []KeyVersion) {
	var keys []KeyVersion
	var newest uint64
	for key, version := range p.values() {
		newest = max(newest, version)
		if version > after {
			keys = append(keys, KeyVersion{key, version})
		}
	}
	slices.SortFunc(keys, func(a, b KeyVersion) int { return int(a.Version) - int(b.Version) })
	return newest, keys
}

// body returns a document whose revision, the operators' own, is version.
func (p *platform) body(version uint64) []byte {
	if p.size < 0 {
		return []byte("no document")
	}
	return fmt.Appendf(nil, "revision %-*d", p.size, version+p.ahead)
}

func revision(_ string, body []byte) (Version, error) {
	var v Version
	if _, err := fmt.Sscanf(string(body), "revision %d", &v.Major); err != nil {
		return Version{}, fmt.Errorf("document: %w", err)
	}
	return v, nil
}

// machine is one daemon of the fleet.
type machine struct {
	*State
	frozen bool
	side   int
	listed bool
	seen   map[string]Version
}

// waiting is a read of the platform that is not answered yet.
type waiting struct {
	from    int
	machine *machine
	read    Read
	due     time.Time
}

// fleet is a handful of machines joined by undelivered messages.
type fleet struct {
	draw     func(n int) int
	now      time.Time
	machines []*machine
	mail     []letter
	platform platform
	// links holds the neighbours and readers the readers of the platform.
	links   [][]string
	readers map[int]bool
	// latency, if set, is how long a message takes; loss is how many in a
	// hundred are lost; posted, if set, sees each message sent, and reads counts
	// reads of the platform by the second.
	latency func(from, to int) time.Duration
	loss    int
	posted  func(letter)
	reads   map[int64]int
	// watches holds the reads that the platform has not answered yet.
	watches []waiting
	// tamper, if set, breaks a machine before it takes a message.
	tamper func(*State, Message)
}

func newFleet(size int, draw func(int) int) *fleet {
	f := &fleet{draw: draw, now: epoch, readers: map[int]bool{0: true, 1: true}, reads: map[int64]int{}}
	f.platform = platform{versions: map[string]uint64{}, old: map[string]uint64{}}
	f.machines = make([]*machine, size)
	f.links = make([][]string, size)
	for i := range f.machines {
		for j := range f.machines {
			if j != i && size < 10 {
				f.links[i] = append(f.links[i], strconv.Itoa(j))
			}
		}
		f.start(i)
	}
	return f
}

// start puts a fresh machine, which holds nothing, at a place.
func (f *fleet) start(i int) {
	m := &machine{seen: map[string]Version{}, listed: true}
	f.machines[i] = m
	ifListed := func(n int) int {
		if !m.listed {
			return 1
		}
		return n
	}
	m.State = New(Config{
		Self:       strconv.Itoa(i),
		Neighbours: func() []string { return f.links[i][:min(len(f.links[i]), ifListed(9)-1)] },
		Other:      func() string { return strconv.Itoa((i + 1 + f.draw(len(f.machines)-1)) % len(f.machines)) },
		Peers:      func() int { return ifListed(len(f.machines)) - 1 },
		Live:       func() int { return ifListed(len(f.machines)) },
		Reader:     func() bool { return f.readers[i] },
		Readers:    func() int { return len(f.readers) },
		Version:    revision,
		First:      "services/0",
		Rand:       func() uint64 { return uint64(f.draw(1 << 62)) },
	}, f.now)
}

func (f *fleet) do(i int, actions []Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a.Kind {
		case Send:
			f.post(i, a)
		case ReadPlatform:
			f.reads[f.now.Unix()]++
			f.watches = append(f.watches, waiting{i, f.machines[i], a.Read, f.now.Add(a.Read.Wait)})
			f.answerWatches()
		}
	}
}

func (f *fleet) post(from int, a Action) {
	to, _ := strconv.Atoi(a.To)
	l := letter{from: from, to: to, message: a.Message}
	if f.latency != nil {
		l.due = f.now.Add(f.latency(from, to))
	}
	if f.posted != nil {
		f.posted(l)
	}
	f.mail = append(f.mail, l)
}

// answerWatches answers reads whose wait is over or that have news.
func (f *fleet) answerWatches() {
	watches := f.watches
	f.watches = nil
	for _, w := range watches {
		news := w.read.Kind == ReadIndex && !f.platform.stale && f.platform.version > w.read.After
		if f.now.Before(w.due) && !news {
			f.watches = append(f.watches, w)
		} else if f.machines[w.from] == w.machine && !w.machine.frozen {
			f.do(w.from, f.answer(w.machine, w.read))
		}
	}
}

func (f *fleet) answer(m *machine, read Read) []Action {
	s := m.State
	if read.Kind == ReadInstances && !f.platform.down {
		m.listed = true
	}
	switch {
	case f.platform.down || m.side != 0 && m.side == f.platform.cutSide:
		return s.Failed(read, f.now)
	case read.Kind == ReadInstances:
		return s.Instances(1, f.now)
	case read.Kind == ReadIndex:
		version, keys := f.platform.index(read.After)
		return s.Index(version, keys, f.now)
	}
	version, ok := f.platform.values()[read.Key]
	if !ok {
		return s.Failed(read, f.now)
	}
	return s.Value(read.Key, version, f.platform.body(version), f.now)
}

func (f *fleet) deliver(l letter) {
	m := f.machines[l.to]
	if m.frozen || m.side != f.machines[l.from].side || f.draw(100) < f.loss {
		return
	}
	if f.tamper != nil {
		f.tamper(m.State, l.message)
	}
	f.do(l.to, m.Receive(l.message, f.now))
}

// advance moves time on and ticks the machines that are due.
func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for i, m := range f.machines {
		if !m.frozen && !f.now.Before(m.WakeAt()) {
			f.do(i, m.Tick(f.now))
		}
	}
	f.answerWatches()
}

func (f *fleet) publish(key string) {
	f.platform.version++
	f.platform.versions[key] = f.platform.version
}

func (f *fleet) step() error {
	i := f.draw(len(f.machines))
	m := f.machines[i]
	switch f.draw(12) {
	case 0:
		f.publish([]string{"switches", "services/faults", "services/orders"}[f.draw(3)])
	case 1:
		f.platform.stale = !f.platform.stale
	case 2:
		f.platform.down = f.draw(2) == 0
	case 3:
		m.side = f.draw(2)
	case 4:
		if m.frozen = !m.frozen; !m.frozen {
			f.do(i, m.Woke(f.now))
		}
	case 5:
		if f.draw(4) == 0 {
			f.start(i)
		}
	case 6:
		f.advance(time.Duration(f.draw(20000)) * time.Millisecond)
	default:
		f.advance(time.Duration(f.draw(500)) * time.Millisecond)
		for range f.draw(8) {
			f.mailStep()
		}
	}
	return f.check()
}

// mailStep delivers, loses or repeats any one message.
func (f *fleet) mailStep() {
	if len(f.mail) == 0 {
		return
	}
	at := f.draw(len(f.mail))
	l := f.mail[at]
	fate := f.draw(8)
	if fate != 0 {
		f.mail = slices.Delete(f.mail, at, at+1)
	}
	if fate != 1 {
		f.deliver(l)
	}
}

// check proves that no version at any machine goes down.
func (f *fleet) check() error {
	for i, m := range f.machines {
		for key, e := range m.store.entries {
			if e.Version.Compare(m.seen[key]) < 0 {
				return fmt.Errorf("%w: machine %d, %s from %v to %v", errWentDown, i, key, m.seen[key], e.Version)
			}
			m.seen[key] = e.Version
		}
	}
	return nil
}

// turn moves time on and delivers what is due.
func (f *fleet) turn(d time.Duration) {
	f.advance(d)
	mail := f.mail
	f.mail = nil
	for _, l := range mail {
		if l.due.After(f.now) {
			f.mail = append(f.mail, l)
			continue
		}
		f.deliver(l)
	}
}

// run lets all messages through for some time.
func (f *fleet) run(d time.Duration) error {
	for end := f.now.Add(d); f.now.Before(end); {
		f.turn(50 * time.Millisecond)
		if err := f.check(); err != nil {
			return err
		}
	}
	return nil
}

// settle heals everything but the platform and proves that all machines hold
// the newest version that any held.
func (f *fleet) settle(d time.Duration) error {
	newest := map[string]Version{}
	for i, m := range f.machines {
		m.side = 0
		if m.frozen {
			m.frozen = false
			f.do(i, m.Woke(f.now))
		}
		for key, e := range m.store.entries {
			if e.Version.Compare(newest[key]) > 0 {
				newest[key] = e.Version
			}
		}
	}
	if err := f.run(d); err != nil {
		return err
	}
	for i, m := range f.machines {
		if m.Root() != f.machines[0].Root() {
			return fmt.Errorf("%w: machine %d", errNotSame, i)
		}
		for key, version := range newest {
			if item, _ := m.Get(key); item.Version.Compare(version) < 0 {
				return fmt.Errorf("%w: machine %d lost %s at %v", errNotSame, i, key, version)
			}
		}
	}
	for i, m := range f.machines {
		if !m.Confirmed(f.now) {
			return fmt.Errorf("%w: machine %d", errUnconfirmed, i)
		}
	}
	return nil
}
