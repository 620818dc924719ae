package spread

import (
	"errors"
	"fmt"
	"slices"
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
	to      int
	message Message
}

// platform is a stand-in whose readers may get what it held some time ago.
type platform struct {
	down     bool
	versions map[string]uint64
	old      map[string]uint64
	stale    bool
	version  uint64
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

func body(key string, version uint64) []byte { return fmt.Appendf(nil, "%s at %d", key, version) }

// machine is one daemon of the fleet.
type machine struct {
	*State
	frozen bool
	side   int
	seen   map[string]Version
}

// fleet is a handful of machines joined by undelivered messages.
type fleet struct {
	draw     func(n int) int
	now      time.Time
	machines []*machine
	mail     []letter
	platform platform
	// tamper, if set, breaks a machine before it takes a message.
	tamper func(*State, Message)
}

func newFleet(size int, draw func(int) int) *fleet {
	f := &fleet{draw: draw, now: epoch}
	f.platform = platform{versions: map[string]uint64{}, old: map[string]uint64{}}
	f.machines = make([]*machine, size)
	for i := range f.machines {
		f.start(i)
	}
	return f
}

// start puts a fresh machine, which holds nothing, at a place.
func (f *fleet) start(i int) {
	var others []string
	for j := range f.machines {
		if j != i {
			others = append(others, fmt.Sprint(j))
		}
	}
	f.machines[i] = &machine{seen: map[string]Version{}, State: New(Config{
		Self:       fmt.Sprint(i),
		Neighbours: func() []string { return others },
		Other:      func() string { return others[f.draw(len(others))] },
		Live:       func() int { return len(f.machines) },
		Reader:     func() bool { return i < 2 },
		Readers:    func() int { return 2 },
		Rand:       func() uint64 { return uint64(f.draw(1 << 30)) },
	}, f.now)}
}

func (f *fleet) do(i int, actions []Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a.Kind {
		case Send:
			var to int
			_, _ = fmt.Sscan(a.To, &to)
			f.mail = append(f.mail, letter{to, a.Message})
		case ReadPlatform:
			actions = append(actions, f.answer(f.machines[i].State, a.Read)...)
		}
	}
}

func (f *fleet) answer(s *State, read Read) []Action {
	switch {
	case f.platform.down:
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
	return s.Value(read.Key, version, body(read.Key, version), f.now)
}

func (f *fleet) deliver(at int, keep bool) {
	l := f.mail[at]
	if !keep {
		f.mail = slices.Delete(f.mail, at, at+1)
	}
	var from int
	_, _ = fmt.Sscan(l.message.From, &from)
	m := f.machines[l.to]
	if m.frozen || m.side != f.machines[from].side {
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
	switch f.draw(8) {
	case 0:
		f.mail = slices.Delete(f.mail, at, at+1)
	case 1:
		f.deliver(at, true)
	default:
		f.deliver(at, false)
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

// run lets all messages through for some time.
func (f *fleet) run(d time.Duration) error {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(50 * time.Millisecond)
		for n := len(f.mail); n > 0; n-- {
			f.deliver(0, false)
		}
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
		if !m.Confirmed(f.now) {
			return fmt.Errorf("%w: machine %d", errUnconfirmed, i)
		}
		for key, version := range newest {
			if item, _ := m.Get(key); item.Version.Compare(version) < 0 {
				return fmt.Errorf("%w: machine %d lost %s at %v", errNotSame, i, key, version)
			}
		}
	}
	return nil
}
