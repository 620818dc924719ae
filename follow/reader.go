package follow

import (
	"maps"
	"slices"
	"time"
)

// In a large availability zone one daemon watches the store for all, and others take over
// when it is lost. The rest poll these readers: a poll waits at the reader until its copy
// is newer or has been confirmed again. A copy is confirmed as of the time at which the
// store last said what is current. Whoever passes it on says how old that is, so a daemon
// whose readers are lost, cut off or slow notices by the age of its own copy, and reads
// the store itself before a change could be overdue.
const (
	// DefaultApplyWithin is the default of Config.ApplyWithin.
	DefaultApplyWithin = 3 * time.Second
	// The parts of Config.ApplyWithin, in percent: how long a reader leaves a copy
	// unconfirmed, how long it delays the next watch after a change, the age at
	// which the second reader takes over, and that at which any daemon reads the
	// store itself.
	readIntervalPercent = 50
	readDelayPercent    = 35
	takeOverPercent     = 58
	maxAgePercent       = 65
	// minSuspicion is how long a reader that did not answer in time, or whose copy
	// is too old, is not polled again, and minRefusal the same for one that failed
	// at once, as a starting one does. Both double with each failure in a row, up
	// to maxSuspicion.
	minSuspicion = 2 * time.Second
	minRefusal   = 250 * time.Millisecond
	maxSuspicion = 30 * time.Second
	// MaxAge is the age of a copy that was never confirmed.
	MaxAge = 24 * time.Hour
	// minPollInterval limits the rate of polls to a reader that returns at once.
	minPollInterval = 100 * time.Millisecond
	// minConfirmGain is how much later than its peer's a reader's confirmation must
	// be for a poll to be answered at once.
	minConfirmGain = 100 * time.Millisecond
	// maxDirectSpreadPercent is the part of Config.ApplyWithin, in percent, over which the
	// daemons that have lost their readers spread their reads.
	maxDirectSpreadPercent = 10
	// requestedReadPercent is the part of Config.ApplyWithin, in percent, for which a
	// daemon whose own read failed waits with the next one, on average, although a reader
	// asks for it. After readDelayPercent and half of this again a change is still in time.
	requestedReadPercent = 28
)

func (c Config) percent(n int) time.Duration { return c.ApplyWithin * time.Duration(n) / 100 }

// SetReaders sets the daemons that this one polls, in order of preference. Without any,
// it watches the store itself. shared is true if others poll this daemon: it then watches
// the store as soon as it can poll nobody.
func (f *Follower) SetReaders(readers []string, shared bool) {
	f.readers, f.shared = readers, shared
	maps.DeleteFunc(f.suspects, func(reader string, _ suspect) bool { return !slices.Contains(readers, reader) })
}

// ConfirmedAt returns the time as of which the copy is known to have been current.
func (f *Follower) ConfirmedAt() time.Time { return f.confirmedAt }

// Polls reports whether the copy is kept current by another daemon.
func (f *Follower) Polls() bool { return len(f.readers) > 0 && f.listed }

// RequestRead makes the next action a read of the store that returns at once.
func (f *Follower) RequestRead() { f.readRequested = true }

// nextPoll returns the next action of a daemon that polls readers.
func (f *Follower) nextPoll(now time.Time) Action {
	if f.readRequested && !f.inFault {
		return f.read()
	}
	readAt := f.readAt()
	if !now.Before(readAt) {
		return f.read()
	}
	if now.Before(f.nextPollAt) {
		return Action{Kind: Wait, At: earlier(f.nextPollAt, readAt)}
	}
	if readAt.Sub(now) < minPollInterval {
		return Action{Kind: Wait, At: readAt}
	}
	reader, usableAt := f.usableReader(now)
	if reader == "" && f.shared && !f.inFault {
		return Action{Kind: Watch, Era: f.era, Revision: f.revision, Timeout: f.watchTimeout(now)}
	}
	if reader == "" {
		return Action{Kind: Wait, At: earlier(usableAt, readAt)}
	}
	f.nextPollAt = now.Add(minPollInterval)
	wait := readAt.Sub(now)
	if f.inFault {
		// The next read is far away, and the reader may not answer either.
		wait = min(wait, f.cfg.percent(readIntervalPercent))
	}
	return Action{Kind: Poll, Reader: reader, Era: f.era, Revision: f.revision, Timeout: wait}
}

// readAt returns when a daemon that polls reads the store itself.
func (f *Follower) readAt() time.Time {
	switch {
	case f.inFault && !f.requestedReadAt.IsZero():
		return earlier(f.pollerReadAt, f.requestedReadAt)
	case f.inFault:
		return f.pollerReadAt
	case f.shared:
		return f.confirmedAt.Add(f.cfg.percent(takeOverPercent))
	}
	return f.confirmedAt.Add(f.cfg.percent(maxAgePercent) + f.directJitter)
}

// read returns a read of the changes that waits for nothing.
func (f *Follower) read() Action { return Action{Kind: Watch, Era: f.era, Revision: f.revision} }

// usableReader returns the first reader that is not suspected, or the time at which one
// can be polled again.
func (f *Follower) usableReader(now time.Time) (reader string, usableAt time.Time) {
	for _, r := range f.readers {
		until := f.suspects[r].until
		if !now.Before(until) {
			return r, time.Time{}
		}
		if usableAt.IsZero() || until.Before(usableAt) {
			usableAt = until
		}
	}
	return "", usableAt
}

// suspect is a reader that has failed.
type suspect struct {
	failures int
	until    time.Time
}

// suspectReader records a failure of a reader, which is not polled for at least a time.
func (f *Follower) suspectReader(reader string, atLeast time.Duration, now time.Time) {
	s := f.suspects[reader]
	s.until = now.Add(min(atLeast<<min(s.failures, 8), maxSuspicion))
	s.failures++
	f.suspects[reader] = s
}

// watchTimeout returns how long the next watch of a daemon that reads for others waits.
func (f *Follower) watchTimeout(now time.Time) time.Duration {
	if !f.shared {
		return f.cfg.WatchTimeout
	}
	return max(f.confirmedAt.Add(f.cfg.percent(readIntervalPercent)).Sub(now), 0)
}

// watchDelay returns how long the next watch is delayed after a change.
func (f *Follower) watchDelay() time.Duration {
	switch {
	case f.Polls():
		return 0
	case f.shared:
		return f.cfg.percent(readDelayPercent)
	}
	return f.cfg.WatchDelay
}

// requestReadInFault shortens the backoff after a failed read: the store answers the
// reader that asks for a read, so the fault may be over. The daemons of an availability
// zone are asked at the same moment, and spread their reads.
func (f *Follower) requestReadInFault(now time.Time) {
	if !f.inFault || !f.requestedReadAt.IsZero() {
		return
	}
	wait := min(minBackoff<<min(f.failures-1, 8), f.cfg.percent(requestedReadPercent))
	f.requestedReadAt = later(now.Add(f.spread(maxDirectSpreadPercent)), f.failedAt.Add(f.jittered(wait)))
}

// Polled applies a reader's answer to a poll. It reports whether the copy may have
// changed. The copy of a lower era says nothing; one of a higher era makes this daemon list
// the whole store.
func (f *Follower) Polled(c Copy, from string, now time.Time) bool {
	if c.Era < f.era {
		f.suspectReader(from, minSuspicion, now)
		return false
	}
	if c.Era > f.era {
		f.listForEra(now)
		return false
	}
	age := c.Age + now.Sub(receivedBy(c.Received, now))
	f.judgeReader(c, from, age, now)
	if c.Grace > 0 {
		f.adoptGrace(now.Add(c.Grace))
	}
	if c.ReadStore {
		f.readRequested = true
		if age < f.cfg.percent(maxAgePercent) {
			f.requestReadInFault(now)
		}
		return false
	}
	changed := f.expire(now)
	if c.Revision > f.revision {
		changed = f.applyChanges(c.Items, now) || changed
		f.revision = c.Revision
		f.nextPollAt = time.Time{}
	}
	if confirmed := now.Add(-age); age < f.cfg.percent(maxAgePercent) && confirmed.After(f.confirmedAt) {
		// The grace period of this daemon is that of the reader, adopted above: it began
		// when the store responded to the reader.
		f.recovered()
		f.confirm(confirmed)
	}
	return changed
}

// adoptGrace takes over the end of a reader's grace period.
func (f *Follower) adoptGrace(until time.Time) {
	f.graceUntil = later(f.graceUntil, until)
	if f.inFault {
		f.readerGraceUntil = until
	}
}

// judgeReader decides from the answer to a poll whether the reader is polled again at once.
// A reader with an old copy is not to blame while this daemon gets nothing from the store
// either. If all readers stayed suspected after a long outage, nobody would tell this daemon
// that the store answers again.
func (f *Follower) judgeReader(c Copy, from string, age time.Duration, now time.Time) {
	tooOld := age >= f.cfg.percent(maxAgePercent)
	switch {
	case tooOld && f.inFault && !c.Leaving:
		f.suspects[from] = suspect{failures: f.suspects[from].failures, until: now.Add(minRefusal)}
	case tooOld || c.Leaving:
		f.suspectReader(from, minSuspicion, now)
	default:
		delete(f.suspects, from)
	}
}

// PollFailed records that a reader did not answer a poll.
func (f *Follower) PollFailed(from string, now time.Time) {
	atLeast := minSuspicion
	if now.Before(f.readAt()) {
		atLeast = minRefusal
	}
	f.suspectReader(from, atLeast, now)
	f.nextPollAt = time.Time{}
}

// PollAnswerable reports whether a poll of a daemon that holds a version, confirmed
// at the given time, is to be answered at once.
func (f *Follower) PollAnswerable(held Version, confirmedAt time.Time) bool {
	return f.Version().After(held) || f.confirmedAt.Sub(confirmedAt) > minConfirmGain
}

// Changes returns the changes after a version, for a poll. If they are not known or
// exceed maxBytes, the copy tells the other daemon to read the store.
func (f *Follower) Changes(after Version, maxBytes int, now time.Time) Copy {
	c := Copy{Era: f.era, Revision: f.revision, Age: f.Age(now), Grace: max(f.graceUntil.Sub(now), 0)}
	if !f.Version().After(after) {
		return c
	}
	if after.Era != f.era || after.Revision < f.historyFrom {
		c.ReadStore = true
		return c
	}
	size := 0
	for _, item := range f.items {
		if _, retained := f.retainedUntil[item.Key]; item.Revision > after.Revision && !retained {
			size += len(item.Key) + len(item.Value)
			c.Items = append(c.Items, item)
		}
	}
	for key, revision := range f.tombstones {
		if revision > after.Revision {
			size += len(key)
			c.Items = append(c.Items, Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	if size > maxBytes {
		c.Items, c.ReadStore = nil, true
	}
	return c
}

// Age returns the time since the copy was last confirmed, 24 h if it never was.
func (f *Follower) Age(now time.Time) time.Duration {
	return min(max(now.Sub(f.confirmedAt), 0), MaxAge)
}

// confirm records as of when the copy is current. The age at which this daemon would
// read the store itself is drawn anew, so that those that lose a reader at the same
// moment do not all read at once.
func (f *Follower) confirm(at time.Time) {
	f.confirmedAt = at
	f.readRequested = false
	f.directJitter = f.spread(maxDirectSpreadPercent)
}

// spread returns a random delay of at most a part of Config.ApplyWithin, by which daemons
// that read the store for the same reason spread their reads.
func (f *Follower) spread(percent int) time.Duration {
	spread := f.cfg.percent(percent)
	if f.cfg.Rand == nil || spread <= 0 {
		return 0
	}
	return time.Duration(f.cfg.Rand() % uint64(spread))
}

// jittered returns a random duration of half to one and a half times the given one.
func (f *Follower) jittered(d time.Duration) time.Duration {
	if f.cfg.Rand == nil || d <= 0 {
		return d
	}
	return d/2 + time.Duration(f.cfg.Rand()%uint64(d))
}

// receivedBy returns the time by which an answer had arrived that is applied now.
func receivedBy(received, now time.Time) time.Time {
	if received.IsZero() || received.After(now) {
		return now
	}
	return received
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
