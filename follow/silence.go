package follow

import "time"

// A store that went silent may never answer the calls that it took meanwhile, and
// a watch that waits looks the same as one that is lost. So watches are short
// enough to show the loss, and daemons tell each other which revision they hold.
const (
	// minWatchFor and watchForDaemon set how long a watch waits: in a large fleet
	// longer, since the watches of all end in turn and whoever finds the store
	// back tells the others.
	minWatchFor    = 1500 * time.Millisecond
	watchForDaemon = 100 * time.Millisecond
	// behindFor is how long others may be ahead of a watch that waits: it takes
	// an answer, even of a slow store, that much.
	behindFor = 400 * time.Millisecond
)

// WatchFor returns how long a watch waits in a fleet of so many daemons.
func WatchFor(daemons int) time.Duration {
	return min(max(time.Duration(daemons)*watchForDaemon, minWatchFor), DefaultWatchFor)
}

// Heard takes in the revision that another daemon holds. It reports whether the
// watch under way is to be given up, because others have been ahead of it for too
// long. That is reported once for a watch. While the store leaves this daemon
// without an answer, the other is worth asking for its copy soon.
func (f *Follower) Heard(revision uint64, now time.Time) bool {
	if revision <= f.revision {
		return false
	}
	if !f.unanswered.IsZero() {
		f.askSoon(now)
	}
	if !f.listed || f.doubted {
		return false
	}
	if now.Before(f.notBefore) {
		// The next call, which will show what others have, is put off.
		f.aheadSince = time.Time{}
		return false
	}
	if f.aheadSince.IsZero() {
		f.aheadSince = now
	}
	if now.Sub(f.aheadSince) < behindFor {
		return false
	}
	f.doubted = true
	f.expectAnswer(now)
	return true
}
