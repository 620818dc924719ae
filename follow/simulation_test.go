package follow_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"pomelodoor.example/pomelodoor/follow"
)

// Times of the simulated network and store.
const (
	simApplyWithin = 3 * time.Second
	// simContact is how long a member must have been undisturbed to be bound by
	// simApplyWithin.
	simContact   = 4 * time.Second
	storeDelay   = 4 * time.Millisecond
	memberDelay  = time.Millisecond
	answerMargin = 50 * time.Millisecond
	// tickInterval is how often a member checks whether it is to borrow a copy.
	tickInterval = 50 * time.Millisecond
	// listTimeout is how long a list may take, and watchMargin how much longer than its
	// waiting time a watch.
	listTimeout = 2 * time.Second
	watchMargin = time.Second
)

// simEvent is something that happens at a time.
type simEvent struct {
	at    time.Time
	order int
	run   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simFault disturbs a member for a while.
type simFault string

// The faults of a member.
const (
	// frozen members do nothing, and everything sent to them waits.
	frozen simFault = "frozen"
	// storeCut members get no answer from the store.
	storeCut simFault = "storeCut"
	// cutOff members get no answer from anybody.
	cutOff simFault = "cutOff"
)

// simFleet is a fleet of followers, their store and their network.
type simFleet struct {
	now     time.Time
	queue   simQueue
	order   int
	members []*simMember
	random  *rand.Rand

	era, revision uint64
	items         map[string]follow.Item
	log           []follow.Item
	// changedAt holds the time of each change, by version.
	changedAt map[follow.Version]time.Time
	watchers  []*simWait
	// storeDownUntil is the end of an outage, in which the store answers nobody.
	storeDownUntil time.Time

	calls      int
	callsBy    map[int]int
	bytes      int
	delays     []time.Duration
	violations []string
	// lie makes readers report a fresh copy whatever its age.
	lie bool
}

// simMember is one daemon of the fleet.
type simMember struct {
	fleet   *simFleet
	id      int
	f       *follow.Follower
	waiting []*simWait
	fault   simFault
	until   time.Time
	// frozenAt is the start of the last freeze.
	frozenAt time.Time
	// disturbedAt is the end of the last fault.
	disturbedAt time.Time
	// held is the version that the member holds.
	held follow.Version
}

// simWait is a watch or poll that waits for an answer.
type simWait struct {
	member      *simMember
	held        follow.Version
	confirmedAt time.Time
	done        bool
	answer      func()
	// lose ends a call to the store without an answer.
	lose func()
}

// newSimFleet returns a fleet in zones of a size. In each, the first three members read
// for the others, also while they are disturbed.
func newSimFleet(members, zone int, seed uint64) *simFleet {
	return newSimFleetWithin(simApplyWithin, members, zone, seed)
}

// newSimFleetWithin returns a fleet that applies changes within a time. Without zones,
// each member reads the store itself.
func newSimFleetWithin(applyWithin time.Duration, members, zone int, seed uint64) *simFleet {
	s := &simFleet{
		now: start, random: rand.New(rand.NewPCG(seed, 1)), items: map[string]follow.Item{}, revision: 1,
		changedAt: map[follow.Version]time.Time{}, callsBy: map[int]int{},
	}
	for id := range members {
		m := &simMember{fleet: s, id: id, f: follow.New(follow.Config{ApplyWithin: applyWithin, Rand: s.random.Uint64})}
		if zone > 0 {
			m.setReaders(id / zone * zone)
		}
		s.members = append(s.members, m)
		s.after(time.Duration(s.random.IntN(300))*time.Millisecond, m.act)
		s.after(tickInterval, m.tick)
	}
	return s
}

// setReaders sets the readers of a member whose zone begins with the given one.
func (m *simMember) setReaders(first int) {
	readers := []string{fmt.Sprint(first), fmt.Sprint(first + 1), fmt.Sprint(first + 2)}
	if rank := m.id - first; rank < len(readers) {
		m.f.SetReaders(readers[:rank], true)
		return
	}
	readers[0], readers[1] = readers[m.id%2], readers[1-m.id%2]
	m.f.SetReaders(readers, false)
}

func (s *simFleet) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{s.now.Add(max(d, 0)), s.order, run})
}

// play plays the fleet up to a time after start.
func (s *simFleet) play(until time.Duration) {
	for end := start.Add(until); len(s.queue) > 0 && !s.queue[0].at.After(end); {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = start.Add(until)
}

// change writes to the store, and checks later that the members in touch have it.
func (s *simFleet) change(key string, remove bool) {
	s.revision++
	item := follow.Item{Key: key, Value: []byte("value"), Revision: s.revision, Deleted: remove}
	s.log = append(s.log, item)
	s.items[key] = item
	if remove {
		item.Value = nil
		delete(s.items, key)
	}
	version, changed := s.version(), s.now
	s.changedAt[version] = changed
	for _, w := range s.watchers {
		s.answerWatch(w)
	}
	s.watchers = nil
	s.after(simApplyWithin, func() {
		for _, m := range s.members {
			// A change of an earlier era is lost.
			if s.era == version.Era && m.inTouch(changed) && version.After(m.held) {
				s.violations = append(s.violations, fmt.Sprintf("member %d holds %+v, not %+v, %s after the change", m.id, m.held, version, simApplyWithin))
			}
		}
	})
}

// inTouch reports whether a member has been undisturbed, and the store up, since
// simContact before a time.
func (m *simMember) inTouch(since time.Time) bool {
	from := since.Add(-simContact)
	return m.fault == "" && !m.disturbedAt.After(from) && !m.fleet.storeDownUntil.After(from)
}

func (s *simFleet) storeDown() bool { return s.now.Before(s.storeDownUntil) }

// disturb begins a fault of a member, unless one is in progress that lasts longer.
func (m *simMember) disturb(fault simFault, d time.Duration) {
	until := m.fleet.now.Add(d)
	if m.fault != "" && until.Before(m.until) {
		return
	}
	if fault == frozen && m.fault != frozen {
		m.frozenAt = m.fleet.now
	}
	m.fault, m.until = fault, until
	m.fleet.after(d, func() {
		if !m.fleet.now.Before(m.until) {
			m.fault, m.disturbedAt = "", m.fleet.now
		}
	})
}

// deliver runs something at a member once it is not frozen.
func (m *simMember) deliver(run func()) {
	if m.fault == frozen {
		m.fleet.after(m.until.Sub(m.fleet.now), run)
		return
	}
	run()
}

// act takes the member's next action.
func (m *simMember) act() {
	m.deliver(func() {
		m.f.Expire(m.fleet.now)
		switch action := m.f.Next(m.fleet.now); action.Kind {
		case follow.Wait:
			m.fleet.after(action.At.Sub(m.fleet.now), m.act)
		case follow.Poll:
			m.poll(action)
		default:
			action.Timeout = min(action.Timeout, follow.WatchTimeout(len(m.fleet.members)))
			m.callStore(action)
		}
	})
}

// received returns the time by which an answer that arrives now has arrived, as its
// member can tell later: one that was frozen meanwhile knows only that it ran before.
func (m *simMember) received() time.Time {
	if m.fault == frozen {
		return m.frozenAt
	}
	return m.fleet.now
}

// end ends an action: it applies the result and acts again.
func (m *simMember) end(apply func()) {
	m.deliver(func() {
		m.apply(apply)
		m.act()
	})
}

// apply applies what has arrived, checks the copy and wakes the polls.
func (m *simMember) apply(arrived func()) {
	arrived()
	held := m.f.Version()
	if m.held.After(held) {
		m.fleet.violations = append(m.fleet.violations, fmt.Sprintf("member %d went from %+v to %+v", m.id, m.held, held))
	}
	for v := m.held; v.Era == held.Era && v.Revision < held.Revision; {
		v.Revision++
		if at, ok := m.fleet.changedAt[v]; ok {
			m.fleet.delays = append(m.fleet.delays, m.fleet.now.Sub(at))
		}
	}
	m.held = held
	waiting := m.waiting
	m.waiting = nil
	for _, w := range waiting {
		m.answerPoll(w)
	}
}

// tick borrows a copy of a random member whenever the follower says so.
func (m *simMember) tick() {
	m.deliver(func() {
		if m.f.QueryDue(m.fleet.now) {
			m.borrow(m.fleet.members[m.fleet.random.IntN(len(m.fleet.members))])
		}
		m.fleet.after(tickInterval, m.tick)
	})
}

// borrow requests the copy of another member and applies it if it is newer.
func (m *simMember) borrow(lender *simMember) {
	s := m.fleet
	if lender == m || m.fault == cutOff || lender.fault == cutOff || lender.fault == frozen {
		return
	}
	held := m.f.Version()
	s.after(memberDelay, func() {
		lent := lender.f.Lend(held, len(s.members)-1, s.now)
		s.after(memberDelay, func() {
			lent.Received = m.received()
			m.deliver(func() {
				m.apply(func() { m.f.ApplyCopy(lent, fmt.Sprint(lender.id), s.now) })
			})
		})
	})
}

func (m *simMember) callStore(action follow.Action) {
	s := m.fleet
	s.calls++
	s.callsBy[int(s.now.Sub(start)/time.Second)]++
	w := &simWait{member: m, held: follow.Version{Era: action.Era, Revision: action.Revision}}
	fail := func() {
		if !w.done {
			w.done = true
			m.end(func() { m.f.Failed(s.now) })
		}
	}
	timeout := action.Timeout + watchMargin
	if action.Kind == follow.List {
		timeout = listTimeout
	}
	s.after(timeout, fail)
	if s.storeDown() || m.fault == storeCut || m.fault == cutOff {
		return
	}
	if action.Kind == follow.List {
		s.after(storeDelay, func() {
			page := follow.Page{AsOf: s.revision, Era: s.era}
			for _, item := range s.items {
				page.Items = append(page.Items, item)
			}
			s.reply(w, func(received time.Time) {
				page.Received = received
				m.f.Listed(page, s.now)
			})
		})
		return
	}
	w.lose = fail
	w.answer = func() {
		if w.held.Revision > s.revision {
			s.after(storeDelay, func() { s.reply(w, func(time.Time) { m.f.HistoryLost(s.now) }) })
			return
		}
		var changes []follow.Item
		for _, item := range s.log {
			if item.Revision > w.held.Revision {
				changes = append(changes, item)
			}
		}
		page := follow.Page{Items: changes, AsOf: s.revision, Era: s.era}
		s.after(storeDelay, func() {
			s.reply(w, func(received time.Time) {
				page.Received = received
				m.f.Watched(page, s.now)
			})
		})
	}
	if s.revision != w.held.Revision {
		w.answer()
		return
	}
	s.watchers = append(s.watchers, w)
	s.after(action.Timeout, func() { s.answerWatch(w) })
}

func (s *simFleet) answerWatch(w *simWait) {
	if !w.done && w.answer != nil && !s.storeDown() {
		answer := w.answer
		w.answer = nil
		answer()
	}
}

// reply applies an answer of the store unless its member is cut off from it.
func (s *simFleet) reply(w *simWait, apply func(received time.Time)) {
	m := w.member
	if w.done || s.storeDown() || m.fault == storeCut || m.fault == cutOff {
		return
	}
	w.done = true
	received := m.received()
	m.end(func() { apply(received) })
}

func (m *simMember) poll(action follow.Action) {
	s := m.fleet
	var id int
	_, _ = fmt.Sscan(action.Reader, &id)
	reader := s.members[id]
	w := &simWait{member: m, held: follow.Version{Era: action.Era, Revision: action.Revision}, confirmedAt: m.f.ConfirmedAt()}
	s.after(action.Timeout, func() {
		if !w.done {
			w.done = true
			m.end(func() { m.f.PollFailed(action.Reader, s.now) })
		}
	})
	w.answer = func() {
		c := reader.f.Changes(w.held, 16<<10, s.now)
		if s.lie {
			c.Age = 0
		}
		text, err := follow.EncodeChanges(c.Items)
		if err != nil || m.fault == cutOff || reader.fault == cutOff || reader.fault == frozen {
			return
		}
		s.bytes += len(text)
		s.after(memberDelay, func() {
			if w.done {
				return
			}
			w.done = true
			c.Received = m.received()
			m.end(func() { m.f.Polled(c, action.Reader, s.now) })
		})
	}
	if m.fault == cutOff || reader.fault == cutOff {
		return
	}
	s.after(memberDelay, func() { reader.deliver(func() { reader.answerPoll(w) }) })
	s.after(action.Timeout-answerMargin, func() { reader.deliver(func() { w.give() }) })
}

// answerPoll answers a poll, or keeps it waiting.
func (m *simMember) answerPoll(w *simWait) {
	if m.f.PollAnswerable(w.held, w.confirmedAt) {
		w.give()
		return
	}
	m.waiting = append(m.waiting, w)
}

func (w *simWait) give() {
	if answer := w.answer; answer != nil && !w.done {
		w.answer = nil
		answer()
	}
}
