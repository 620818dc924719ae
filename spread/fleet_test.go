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

	errRegressed      = errors.New("a version regressed")
	errDiverged       = errors.New("daemons hold different versions")
	errConfirmedStale = errors.New("a confirmed daemon holds an outdated version")
	errUnconfirmed    = errors.New("a daemon is not confirmed")
)

// delivery is a message in transit.
type delivery struct {
	from, to int
	due      time.Time
	message  Message
}

// platform simulates the platform; its readers may get outdated values.
type platform struct {
	down          bool
	versions      map[string]uint64
	staleVersions map[string]uint64
	stale         bool
	version       uint64
	// documentSize is the approximate size of a document in bytes; if negative,
	// the value is not a document.
	documentSize int
	// revisionOffset is the difference between the operators' revision of a
	// document and its version.
	revisionOffset uint64
	// isolatedPartition, if set, is the partition that can't read.
	isolatedPartition int
}

func (p *platform) values() map[string]uint64 {
	if p.stale {
		return p.staleVersions
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

// body returns a document at a version; its revision, set by the operators, is
// version+revisionOffset.
func (p *platform) body(version uint64) []byte {
	if p.documentSize < 0 {
		return []byte("no document")
	}
	return fmt.Appendf(nil, "revision %-*d", p.documentSize, version+p.revisionOffset)
}

func documentVersion(_ string, body []byte) (Version, error) {
	var v Version
	if _, err := fmt.Sscanf(string(body), "revision %d", &v.Major); err != nil {
		return Version{}, fmt.Errorf("read the revision: %w", err)
	}
	return v, nil
}

// machine is one simulated daemon.
type machine struct {
	*State
	paused    bool
	partition int
	listed    bool
	seen      map[string]Version
}

// pendingRead is a read of the platform that is not answered yet.
type pendingRead struct {
	from    int
	machine *machine
	read    Read
	due     time.Time
}

// fleet simulates a few daemons and the messages in transit between them.
type fleet struct {
	draw     func(n int) int
	now      time.Time
	machines []*machine
	queue    []delivery
	platform platform
	// links holds the neighbours of each machine; readers marks the machines
	// that watch the platform.
	links   [][]string
	readers map[int]bool
	// latency, if set, returns the delay of a message; lossPercent is the share
	// of lost messages; onSend, if set, is called with each message sent; reads
	// counts the reads of the platform by second.
	latency     func(from, to int) time.Duration
	lossPercent int
	onSend      func(delivery)
	reads       map[int64]int
	// pendingReads holds the reads that the platform has not answered yet.
	pendingReads []pendingRead
	// injectFault, if set, is called before a machine receives a message.
	injectFault func(*State, Message)
}

func newFleet(size int, draw func(int) int) *fleet {
	f := &fleet{draw: draw, now: epoch, readers: map[int]bool{0: true, 1: true}, reads: map[int64]int{}}
	f.platform = platform{versions: map[string]uint64{}, staleVersions: map[string]uint64{}}
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

// start replaces machine i with a new one without items.
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
		Self:        strconv.Itoa(i),
		Neighbours:  func() []string { return f.links[i][:min(len(f.links[i]), ifListed(9)-1)] },
		RandomPeer:  func() string { return strconv.Itoa((i + 1 + f.draw(len(f.machines)-1)) % len(f.machines)) },
		Peers:       func() int { return ifListed(len(f.machines)) - 1 },
		Live:        func() int { return ifListed(len(f.machines)) },
		IsReader:    func() bool { return f.readers[i] },
		Readers:     func() int { return len(f.readers) },
		Version:     documentVersion,
		PriorityKey: "services/0",
		Rand:        func() uint64 { return uint64(f.draw(1 << 62)) },
	}, f.now)
}

func (f *fleet) do(i int, actions []Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a.Kind {
		case Send:
			f.send(i, a)
		case ReadPlatform:
			f.reads[f.now.Unix()]++
			f.pendingReads = append(f.pendingReads, pendingRead{i, f.machines[i], a.Read, f.now.Add(a.Read.Wait)})
			f.answerPendingReads()
		}
	}
}

func (f *fleet) send(from int, a Action) {
	to, _ := strconv.Atoi(a.To)
	d := delivery{from: from, to: to, message: a.Message}
	if f.latency != nil {
		d.due = f.now.Add(f.latency(from, to))
	}
	if f.onSend != nil {
		f.onSend(d)
	}
	f.queue = append(f.queue, d)
}

// answerPendingReads answers the reads whose wait is over or that have a newer
// version to return.
func (f *fleet) answerPendingReads() {
	reads := f.pendingReads
	f.pendingReads = nil
	for _, w := range reads {
		changed := w.read.Kind == ReadIndex && !f.platform.stale && f.platform.version > w.read.After
		if f.now.Before(w.due) && !changed {
			f.pendingReads = append(f.pendingReads, w)
		} else if f.machines[w.from] == w.machine && !w.machine.paused {
			f.do(w.from, f.answerRead(w.machine, w.read))
		}
	}
}

func (f *fleet) answerRead(m *machine, read Read) []Action {
	s := m.State
	if read.Kind == ReadInstances && !f.platform.down {
		m.listed = true
	}
	switch {
	case f.platform.down || m.partition != 0 && m.partition == f.platform.isolatedPartition:
		return s.ReadFailed(read, f.now)
	case read.Kind == ReadInstances:
		return s.InstancesRead(1, f.now)
	case read.Kind == ReadIndex:
		version, keys := f.platform.index(read.After)
		return s.IndexRead(version, keys, f.now)
	}
	version, ok := f.platform.values()[read.Key]
	if !ok {
		return s.ReadFailed(read, f.now)
	}
	return s.ValueRead(read.Key, version, f.platform.body(version), f.now)
}

func (f *fleet) deliver(d delivery) {
	m := f.machines[d.to]
	if m.paused || m.partition != f.machines[d.from].partition || f.draw(100) < f.lossPercent {
		return
	}
	if f.injectFault != nil {
		f.injectFault(m.State, d.message)
	}
	f.do(d.to, m.Receive(d.message, f.now))
}

// advance advances the clock and ticks the machines that are due.
func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for i, m := range f.machines {
		if !m.paused && !f.now.Before(m.NextTick()) {
			f.do(i, m.Tick(f.now))
		}
	}
	f.answerPendingReads()
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
		m.partition = f.draw(2)
	case 4:
		if m.paused = !m.paused; !m.paused {
			f.do(i, m.Resumed(f.now))
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
			f.deliverRandom()
		}
	}
	return f.check()
}

// deliverRandom delivers, drops or duplicates one random message.
func (f *fleet) deliverRandom() {
	if len(f.queue) == 0 {
		return
	}
	i := f.draw(len(f.queue))
	d := f.queue[i]
	outcome := f.draw(8)
	if outcome != 0 {
		f.queue = slices.Delete(f.queue, i, i+1)
	}
	if outcome != 1 {
		f.deliver(d)
	}
}

// check verifies that no version at any machine regresses.
func (f *fleet) check() error {
	for i, m := range f.machines {
		for key, e := range m.store.entries {
			if e.Version.Compare(m.seen[key]) < 0 {
				return fmt.Errorf("%w: machine %d, %s from %v to %v", errRegressed, i, key, m.seen[key], e.Version)
			}
			m.seen[key] = e.Version
		}
	}
	return nil
}

// advanceAndDeliver advances the clock and delivers the messages that are due.
func (f *fleet) advanceAndDeliver(d time.Duration) {
	f.advance(d)
	queue := f.queue
	f.queue = nil
	for _, message := range queue {
		if message.due.After(f.now) {
			f.queue = append(f.queue, message)
			continue
		}
		f.deliver(message)
	}
}

// run advances the fleet by d, in which all messages are delivered, and checks
// it.
func (f *fleet) run(d time.Duration) error {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advanceAndDeliver(50 * time.Millisecond)
		if err := f.check(); err != nil {
			return err
		}
	}
	return nil
}

// converge repairs everything but the platform, runs the fleet and verifies that
// all machines are confirmed and hold the newest version that any of them held.
func (f *fleet) converge(d time.Duration) error {
	newest := map[string]Version{}
	for i, m := range f.machines {
		m.partition = 0
		if m.paused {
			m.paused = false
			f.do(i, m.Resumed(f.now))
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
			return fmt.Errorf("%w: machine %d", errDiverged, i)
		}
		for key, version := range newest {
			if item, _ := m.Get(key); item.Version.Compare(version) < 0 {
				return fmt.Errorf("%w: machine %d does not hold %s at version %v", errDiverged, i, key, version)
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
