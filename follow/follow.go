package follow

import (
	"time"
)

// Defaults of Config.
const (
	// DefaultWatchTimeout is how long one watch waits by default. A long wait limits
	// the number of calls while the store does not change.
	DefaultWatchTimeout = 30 * time.Second
	// DefaultWatchDelay is how long the next watch is delayed after a change, so
	// that one call returns several changes.
	DefaultWatchDelay = time.Second
	// DefaultRetention is how long a key that disappeared during a store fault is
	// retained after the store recovers.
	DefaultRetention = 2500 * time.Millisecond
)

// maxTombstones limits the removed keys that are remembered.
const maxTombstones = 4096

// Config configures a Follower. Zero durations select the defaults.
type Config struct {
	// WatchTimeout is how long one watch waits for a change.
	WatchTimeout time.Duration
	// WatchDelay is how long the next watch is delayed after a change.
	WatchDelay time.Duration
	// Retention is how long a key that disappeared during a store fault is retained
	// after the store recovers.
	Retention time.Duration
	// ApplyWithin is the time within which a change in the store must take effect.
	ApplyWithin time.Duration
	// Rand returns uniform random numbers for the jitter; nil disables it.
	Rand func() uint64
}

// Kind is the kind of an Action.
type Kind string

// The kinds of action.
const (
	// List reads the page that starts after the key Action.After.
	List Kind = "list"
	// Watch waits up to Action.Timeout for changes after Action.Revision, which is one of
	// Action.Era.
	Watch Kind = "watch"
	// Poll waits up to Action.Timeout for the daemon Action.Reader to hold changes
	// after Action.Revision, or a later confirmation.
	Poll Kind = "poll"
	// Wait does nothing until Action.At.
	Wait Kind = "wait"
)

// Action is the next action for the caller.
type Action struct {
	Kind     Kind
	After    string
	Reader   string
	Era      uint64
	Revision uint64
	Timeout  time.Duration
	At       time.Time
}

// Item is a key with its value, or a tombstone if Deleted is set.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
	// Era is the store's era of the revision. A Follower sets it.
	Era uint64
}

// Version returns the version of the item.
func (i Item) Version() Version { return Version{i.Era, i.Revision} }

// Page is one response to List or Watch.
type Page struct {
	Items []Item
	More  bool
	// AsOf is the store's revision at the time of the response.
	AsOf uint64
	// Era is the store's era at that time; 0 if the store names none.
	Era uint64
	// Received is the time by which the response had arrived, if that is earlier than
	// the time at which it is applied: a process may have been frozen in between.
	Received time.Time
}

// Follower holds the copy of the store and the state of reading it.
type Follower struct {
	cfg   Config
	items map[string]Item
	// retainedUntil maps each key that disappeared during a store fault to the
	// time at which it is removed.
	retainedUntil map[string]time.Time

	listed       bool // a complete list has been applied, and watching keeps it current
	pendingItems map[string]Item
	lastKey      string
	era          uint64 // era of the copy
	revision     uint64 // revision of the copy, from which to watch
	// listVersion is the version of the first page of the list in progress.
	listVersion Version

	// confirmedAt is the time as of which the copy is known to have been current.
	confirmedAt time.Time
	// tombstones holds the revisions at which keys were removed after historyFrom.
	tombstones  map[string]uint64
	historyFrom uint64

	readers       []string
	shared        bool
	suspects      map[string]suspect
	nextPollAt    time.Time
	readRequested bool
	directJitter  time.Duration
	// requestedReadAt is when a read that a reader has asked for is due although the
	// last read failed; zero if none has asked since.
	requestedReadAt time.Time
	// failedAt is the time of the last failure of the store.
	failedAt time.Time

	everListed bool
	// lenders are the other daemons that have lent a certain copy.
	lenders map[string]bool
	// lentVersion is the version of a lent copy that no list has confirmed yet.
	lentVersion Version
	// unansweredSince is the time since which the store has not responded; zero
	// when it owes no response.
	unansweredSince time.Time
	nextQueryAt     time.Time
	lastQueryAt     time.Time
	queryInterval   time.Duration
	// behindSince is the time since which other daemons have reported a later
	// revision while the current watch returned nothing.
	behindSince time.Time
	// watchAbandoned is set once the current watch has been given up for that.
	watchAbandoned bool

	failures  int
	notBefore time.Time
	// pollerReadAt is when a daemon that polls readers reads the store itself after a
	// failed read.
	pollerReadAt time.Time
	// calledAt is the time at which the call in progress began; zero if there is none.
	calledAt time.Time
	// graceUntil is the time until which a missing key is retained, because the
	// store fault may have caused its absence.
	graceUntil time.Time
	// readerGraceUntil is the end of the grace period of a reader to which the store has
	// responded while this daemon is in the fault; zero if there is none.
	readerGraceUntil time.Time
	inFault          bool
}

// New returns a Follower with an empty copy.
func New(cfg Config) *Follower {
	if cfg.WatchTimeout == 0 {
		cfg.WatchTimeout = DefaultWatchTimeout
	}
	if cfg.WatchDelay == 0 {
		cfg.WatchDelay = DefaultWatchDelay
	}
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.ApplyWithin == 0 {
		cfg.ApplyWithin = DefaultApplyWithin
	}
	return &Follower{
		cfg: cfg, items: map[string]Item{}, retainedUntil: map[string]time.Time{}, lenders: map[string]bool{},
		tombstones: map[string]uint64{}, suspects: map[string]suspect{},
	}
}

// Next returns the next action. It must not be called while an action is in progress.
func (f *Follower) Next(now time.Time) Action {
	action := f.nextAction(now)
	f.calledAt = time.Time{}
	if action.Kind == List || action.Kind == Watch {
		f.calledAt = now
	}
	return f.endByExpiry(action, now)
}

func (f *Follower) nextAction(now time.Time) Action {
	if f.Polls() {
		return f.nextPoll(now)
	}
	if now.Before(f.notBefore) {
		return Action{Kind: Wait, At: f.notBefore}
	}
	if !f.listed || f.pendingItems != nil {
		f.awaitAnswer(now)
		return Action{Kind: List, After: f.lastKey}
	}
	if f.readRequested {
		return f.read()
	}
	return Action{Kind: Watch, Era: f.era, Revision: f.revision, Timeout: f.watchTimeout(now)}
}

// Listed applies one page. It reports whether the copy may have changed. A page of a lower
// era than that of the copy, or of the pages before, counts as a failure.
func (f *Follower) Listed(page Page, now time.Time) bool {
	if page.Era < f.era || f.pendingItems != nil && page.Era < f.listVersion.Era {
		f.Failed(now)
		return false
	}
	f.answered(now)
	if f.pendingItems != nil && page.Era > f.listVersion.Era {
		// The store has returned from an older copy between two pages.
		f.pendingItems, f.lastKey = nil, ""
		return false
	}
	if f.pendingItems == nil {
		f.pendingItems = map[string]Item{}
		f.listVersion = Version{page.Era, page.AsOf}
	}
	for _, item := range page.Items {
		item.Era = page.Era
		f.pendingItems[item.Key] = item
		f.lastKey = item.Key
	}
	if page.More && len(page.Items) > 0 {
		return false
	}
	if f.lentVersion.After(f.listVersion) {
		// The list is older than a copy lent since. It is discarded once; the
		// next list is applied whatever its revision.
		f.lentVersion, f.pendingItems, f.lastKey = Version{}, nil, ""
		return false
	}
	if f.listVersion.Era > f.era {
		f.beginEra(f.listVersion.Era, now)
	}
	f.replace(f.pendingItems, now)
	f.forgetHistory(f.listVersion.Revision)
	f.confirm(receivedBy(page.Received, now))
	f.lentVersion, f.everListed = Version{}, true
	f.listed, f.pendingItems, f.lastKey, f.revision = true, nil, "", f.listVersion.Revision
	return true
}

// Watched applies the changes of a watch. It reports whether the copy has changed. An answer
// of a lower era than that of the copy counts as a failure, and after one of a higher era
// the whole store is listed.
func (f *Follower) Watched(page Page, now time.Time) bool {
	switch {
	case page.Era < f.era:
		f.Failed(now)
		return false
	case page.Era > f.era:
		f.HistoryLost(now)
		return false
	}
	f.answered(now)
	f.confirm(receivedBy(page.Received, now))
	changed := f.expire(now)
	changed = f.applyChanges(page.Items, now) || changed
	f.revision = max(f.revision, page.AsOf)
	if changed {
		f.notBefore = now.Add(f.watchDelay())
	}
	return changed
}

// applyChanges applies the changes of the era that are later than the copy, and reports
// whether there were any.
func (f *Follower) applyChanges(changes []Item, now time.Time) bool {
	changed := false
	for _, item := range changes {
		item.Era = f.era
		known := max(f.revision, f.tombstones[item.Key])
		if item.Revision <= known || !item.Version().After(f.items[item.Key].Version()) {
			continue
		}
		changed = true
		if item.Deleted {
			f.tombstones[item.Key] = item.Revision
			f.remove(item.Key, now)
			continue
		}
		f.items[item.Key] = item
		delete(f.tombstones, item.Key)
		delete(f.retainedUntil, item.Key)
	}
	if len(f.tombstones) > maxTombstones {
		f.forgetHistory(f.revision)
	}
	return changed
}

// forgetHistory drops the removals up to a revision, which others must then read from
// the store.
func (f *Follower) forgetHistory(revision uint64) {
	clear(f.tombstones)
	f.historyFrom = revision
}

// SkipDelay cancels the delay after a change, so that the next call is due now. The
// backoff after a failure is not shortened.
func (f *Follower) SkipDelay() {
	if f.failures == 0 {
		f.notBefore = time.Time{}
	}
}

// HistoryLost records that the store no longer has the history that a watch needs.
func (f *Follower) HistoryLost(now time.Time) {
	f.answered(now)
	f.listed, f.pendingItems, f.lastKey = false, nil, ""
}

// Items returns the copy. The caller must not modify it, and must not use it after
// the next call of another method.
func (f *Follower) Items() map[string]Item { return f.items }

// Revision returns the store's revision of the copy.
func (f *Follower) Revision() uint64 { return f.revision }
