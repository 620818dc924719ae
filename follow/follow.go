package follow

import (
	"time"
)

// Defaults of Config.
const (
	// DefaultWatchFor is how long one watch waits where nothing else is said, so
	// that a quiet store costs few calls.
	DefaultWatchFor = 30 * time.Second
	// DefaultGather is how long a watch is put off after a change, so that
	// changes that come together cost one call.
	DefaultGather = time.Second
	// DefaultKeepFor is how long a key that went during trouble is kept after
	// the store's return.
	DefaultKeepFor = 2500 * time.Millisecond
)

const (
	// firstBackoff is the wait after the first failure; each further one
	// doubles it, up to lastBackoff.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 1600 * time.Millisecond
)

// Config sets up a Follower. Zero durations take the defaults.
type Config struct {
	// WatchFor is how long one watch waits for a change.
	WatchFor time.Duration
	// Gather is how long a watch is put off after a change.
	Gather time.Duration
	// KeepFor is how long a key that went during trouble outlives it.
	KeepFor time.Duration
	// Rand draws uniform random numbers.
	Rand func() uint64
}

// Kind says what an Action asks for.
type Kind string

// The kinds of action.
const (
	// List reads the page that begins after the key Action.After.
	List Kind = "list"
	// Watch waits for changes after the revision Action.Revision.
	Watch Kind = "watch"
	// Wait does nothing until Action.At.
	Wait Kind = "wait"
)

// Action is the next thing to do.
type Action struct {
	Kind     Kind
	After    string
	Revision uint64
	For      time.Duration
	At       time.Time
}

// Item is one key and its value, or the note that the key has gone.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Gone     bool
}

// Page is one answer to List.
type Page struct {
	Items []Item
	More  bool
	// AsOf is the store's revision at the time of the answer.
	AsOf uint64
}

// Follower is the copy of the store, and the state of its reading.
type Follower struct {
	cfg   Config
	items map[string]Item
	// kept holds when keys that went during trouble are to go for good.
	kept map[string]time.Time

	listed   bool // the copy can be kept up by watching
	listing  map[string]Item
	after    string
	revision uint64 // from which to watch
	first    uint64 // revision of the first page of the list under way

	everListed bool
	// lenders are the neighbours that have shown a copy they are certain of.
	lenders map[string]bool
	// lent is the revision of a neighbour's copy that no list has confirmed.
	lent uint64
	// unanswered is since when the store has left a list without an answer.
	unanswered time.Time
	askAt      time.Time
	askedAt    time.Time
	askPause   time.Duration
	// aheadSince is since when others are known to hold a later revision, while
	// the watch under way has shown nothing.
	aheadSince time.Time
	// doubted is whether that watch has been given up for it.
	doubted bool

	failures  int
	notBefore time.Time
	// troubleUntil is until when a key's absence may be due to trouble.
	troubleUntil time.Time
	inTrouble    bool
}

// New returns a Follower that knows nothing.
func New(cfg Config) *Follower {
	if cfg.WatchFor == 0 {
		cfg.WatchFor = DefaultWatchFor
	}
	if cfg.Gather == 0 {
		cfg.Gather = DefaultGather
	}
	if cfg.KeepFor == 0 {
		cfg.KeepFor = DefaultKeepFor
	}
	return &Follower{cfg: cfg, items: map[string]Item{}, kept: map[string]time.Time{}, lenders: map[string]bool{}}
}

// Next says what to do now. While a List or a Watch is under way it must not be
// called.
func (f *Follower) Next(now time.Time) Action {
	if now.Before(f.notBefore) {
		return Action{Kind: Wait, At: f.notBefore}
	}
	if !f.listed || f.listing != nil {
		f.expectAnswer(now)
		return Action{Kind: List, After: f.after}
	}
	wait := f.cfg.WatchFor
	if due, ok := f.nextDue(); ok {
		wait = min(wait, max(due.Sub(now), 0))
	}
	return Action{Kind: Watch, Revision: f.revision, For: wait}
}

// Listed takes in one page. It reports whether the copy may have changed.
func (f *Follower) Listed(page Page, now time.Time) bool {
	f.answered(now)
	if f.listing == nil {
		f.listing = map[string]Item{}
		f.first = page.AsOf
	}
	for _, item := range page.Items {
		f.listing[item.Key] = item
		f.after = item.Key
	}
	if page.More && len(page.Items) > 0 {
		return false
	}
	if f.first < f.lent {
		// The answer left the store before what a neighbour has shown since.
		f.lent, f.listing, f.after = 0, nil, ""
		return false
	}
	f.replace(f.listing, now)
	f.lent, f.everListed = 0, true
	f.listed, f.listing, f.after, f.revision = true, nil, "", f.first
	return true
}

// Watched takes in the changes up to the revision asOf. It reports whether the
// copy has changed.
func (f *Follower) Watched(changes []Item, asOf uint64, now time.Time) bool {
	f.answered(now)
	held := f.revision
	f.revision = max(f.revision, asOf)
	changed := f.expire(now)
	for _, item := range changes {
		if item.Revision <= max(held, f.items[item.Key].Revision) {
			continue
		}
		changed = true
		if item.Gone {
			f.drop(item.Key, now)
			continue
		}
		f.items[item.Key] = item
		delete(f.kept, item.Key)
	}
	if changed {
		f.notBefore = now.Add(f.cfg.Gather)
	}
	return changed
}

// Hurry ends the wait after a change: the next call is due now. A wait after a
// failure goes on.
func (f *Follower) Hurry() {
	if f.failures == 0 {
		f.notBefore = time.Time{}
	}
}

// Dropped says that the store no longer has the history that a watch asked for.
func (f *Follower) Dropped(now time.Time) {
	f.answered(now)
	f.listed, f.listing, f.after = false, nil, ""
}

// Failed says that a List or a Watch brought nothing. All is listed again: a
// watch that was cut may not have heard of the last changes, and the answer tells
// at once when the store is back.
func (f *Follower) Failed(now time.Time) {
	f.inTrouble = true
	f.aheadSince, f.doubted = time.Time{}, false
	f.failures++
	backoff := min(firstBackoff<<min(f.failures-1, 8), lastBackoff)
	if f.cfg.Rand != nil {
		backoff = backoff/2 + time.Duration(f.cfg.Rand()%uint64(backoff))
	}
	f.notBefore = now.Add(backoff)
	f.listed, f.listing, f.after = false, nil, ""
	f.expectAnswer(now)
}

// Items returns the copy. It must not be changed, and is good until the next
// call of another method.
func (f *Follower) Items() map[string]Item { return f.items }

// Revision returns the store's revision that the copy is true of.
func (f *Follower) Revision() uint64 { return f.revision }

// Troubled reports whether the last reading failed.
func (f *Follower) Troubled() bool { return f.inTrouble }

// Expire drops the keys whose time after trouble is over, and reports whether
// there were any.
func (f *Follower) Expire(now time.Time) bool { return f.expire(now) }

// answered notes that the store answers.
func (f *Follower) answered(now time.Time) {
	if f.inTrouble {
		f.inTrouble = false
		f.troubleUntil = now.Add(f.cfg.KeepFor)
	}
	f.failures = 0
	f.unanswered = time.Time{}
	f.aheadSince, f.doubted = time.Time{}, false
}

// replace puts a whole list in place of the copy.
func (f *Follower) replace(items map[string]Item, now time.Time) {
	old := f.items
	f.items = items
	for key := range f.kept {
		if _, back := items[key]; back {
			delete(f.kept, key)
		}
	}
	if !now.Before(f.troubleUntil) {
		clear(f.kept)
		return
	}
	for key, item := range old {
		if _, there := items[key]; !there {
			f.items[key] = item
			f.keep(key)
		}
	}
}

// drop takes a key out, or keeps it until the time after trouble is over.
func (f *Follower) drop(key string, now time.Time) {
	if _, there := f.items[key]; !there {
		return
	}
	if now.Before(f.troubleUntil) {
		f.keep(key)
		return
	}
	delete(f.items, key)
	delete(f.kept, key)
}

func (f *Follower) keep(key string) {
	if _, already := f.kept[key]; !already {
		f.kept[key] = f.troubleUntil
	}
}

// expire drops the kept keys that are due.
func (f *Follower) expire(now time.Time) bool {
	changed := false
	for key, due := range f.kept {
		if !now.Before(due) {
			delete(f.items, key)
			delete(f.kept, key)
			changed = true
		}
	}
	return changed
}

// nextDue returns when the next kept key goes.
func (f *Follower) nextDue() (time.Time, bool) {
	var next time.Time
	for _, due := range f.kept {
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next, !next.IsZero()
}
