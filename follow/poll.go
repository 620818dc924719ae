package follow

import (
	"time"

	"pomelodoor.example/pomelodoor/times"
)

const (
	// minSuspicion is how long a reader that did not answer in time, or whose copy
	// is too old, is not polled again, and minRefusal the same for one that failed
	// at once, as a starting one does. Both double with each failure in a row, up
	// to maxSuspicion.
	minSuspicion = 2 * time.Second
	minRefusal   = 250 * time.Millisecond
	maxSuspicion = 30 * time.Second
	// minPollInterval limits the rate of polls to a reader that returns at once.
	minPollInterval = 100 * time.Millisecond
	// requestedReadPercent is the part of Config.ApplyWithin, in percent, for which a
	// daemon whose own read failed waits with the next one, on average, although a reader
	// asks for it. After readDelayPercent and half of this again a change is still in time.
	requestedReadPercent = 28
)

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
		return Action{Kind: Wait, At: times.Earlier(f.nextPollAt, readAt)}
	}
	if readAt.Sub(now) < minPollInterval {
		return Action{Kind: Wait, At: readAt}
	}
	reader, usableAt := f.usableReader(now)
	if reader == "" && f.shared && !f.inFault {
		return Action{Kind: Watch, Era: f.era, Revision: f.revision, Timeout: f.watchTimeout(now)}
	}
	if reader == "" {
		return Action{Kind: Wait, At: times.Earlier(usableAt, readAt)}
	}
	f.nextPollAt = now.Add(minPollInterval)
	return Action{Kind: Poll, Reader: reader, Era: f.era, Revision: f.revision, Timeout: f.pollTimeout(readAt, now)}
}

// pollTimeout returns how long a poll may wait. In a fault of the store the next read is far
// away, and a reader that does not answer must not be polled until then.
func (f *Follower) pollTimeout(readAt, now time.Time) time.Duration {
	timeout := readAt.Sub(now)
	if f.inFault {
		return min(timeout, f.cfg.percent(readIntervalPercent))
	}
	return timeout
}

// readAt returns when a daemon that polls reads the store itself.
func (f *Follower) readAt() time.Time {
	switch {
	case f.inFault && !f.requestedReadAt.IsZero():
		return times.Earlier(f.pollerReadAt, f.requestedReadAt)
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

// requestReadInFault shortens the backoff after a failed read: the store answers the
// reader that asks for a read, so the fault may be over. The daemons of an availability
// zone are asked at the same moment, and spread their reads.
func (f *Follower) requestReadInFault(now time.Time) {
	if !f.inFault || !f.requestedReadAt.IsZero() {
		return
	}
	wait := min(f.backoff(), f.cfg.percent(requestedReadPercent))
	f.requestedReadAt = times.Later(now.Add(f.spread(maxDirectSpreadPercent)), f.failedAt.Add(f.jittered(wait)))
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
	received := receivedBy(c.Received, now)
	age := c.Age + now.Sub(received)
	f.judgeReader(c, from, age, now)
	if c.Grace > 0 {
		f.adoptGrace(received.Add(c.Grace))
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
	f.graceUntil = times.Later(f.graceUntil, until)
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
