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
	// MaxAge is the age of a copy that was never confirmed.
	MaxAge = 24 * time.Hour
	// minConfirmGain is how much later than its peer's a reader's confirmation must
	// be for a poll to be answered at once.
	minConfirmGain = 100 * time.Millisecond
	// maxDirectSpreadPercent is the part of Config.ApplyWithin, in percent, over which the
	// daemons that have lost their readers spread their reads.
	maxDirectSpreadPercent = 10
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

// receivedBy returns the time by which an answer had arrived that is applied now.
func receivedBy(received, now time.Time) time.Time {
	if received.IsZero() || received.After(now) {
		return now
	}
	return received
}
