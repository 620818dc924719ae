package follow

import "time"

// After an outage the store may never answer the calls that it accepted during it,
// and a lost watch looks like one that waits. Watches are therefore short enough to
// reveal the loss, and daemons announce to each other which revision they hold.
const (
	// minWatchTimeout and watchTimeoutPerDaemon determine the watch timeout. It is
	// longer in a large fleet: the watches of all daemons end at different times,
	// and the first daemon that sees the store recover announces it to the others.
	minWatchTimeout       = 1500 * time.Millisecond
	watchTimeoutPerDaemon = 100 * time.Millisecond
	// maxBehind is how long other daemons may be ahead of the current watch: even
	// a slow store responds within that time.
	maxBehind = 400 * time.Millisecond
)

// WatchTimeout returns the watch timeout in a fleet of the given number of daemons.
func WatchTimeout(daemons int) time.Duration {
	return min(max(time.Duration(daemons)*watchTimeoutPerDaemon, minWatchTimeout), DefaultWatchTimeout)
}

// Observe records the version of another daemon's copy. It reports whether the
// current watch is to be abandoned because others have been ahead of it for too
// long; it reports this once per watch. While the store does not respond, a later
// version also advances the next query for a copy.
func (f *Follower) Observe(theirs Version, now time.Time) bool {
	if !theirs.After(f.Version()) {
		return false
	}
	if !f.unansweredSince.IsZero() {
		f.advanceQuery(now)
	}
	if !f.listed || f.watchAbandoned || f.Polls() {
		// A reader's answers say how old its copy may be.
		return false
	}
	if now.Before(f.notBefore) {
		// The next watch, which will return the missing changes, is delayed.
		f.behindSince = time.Time{}
		return false
	}
	if f.behindSince.IsZero() {
		f.behindSince = now
	}
	if now.Sub(f.behindSince) < maxBehind {
		return false
	}
	f.watchAbandoned = true
	f.awaitAnswer(now)
	return true
}
