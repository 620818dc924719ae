package follow

import (
	"time"

	"pomelodoor.example/pomelodoor/times"
)

// Expire removes the retained keys that have expired, and reports whether there
// were any.
func (f *Follower) Expire(now time.Time) bool { return f.expire(now) }

// Retained returns the number of keys that the store no longer has, but that are kept for
// the rest of the grace period.
func (f *Follower) Retained() int { return len(f.retainedUntil) }

// replace replaces the copy with a complete list.
func (f *Follower) replace(items map[string]Item, now time.Time) {
	old := f.items
	f.items = items
	for key := range f.retainedUntil {
		if _, present := items[key]; present {
			delete(f.retainedUntil, key)
		}
	}
	if !now.Before(f.graceUntil) {
		clear(f.retainedUntil)
		return
	}
	for key, item := range old {
		if _, present := items[key]; !present {
			f.items[key] = item
			f.retain(key)
		}
	}
}

// remove removes a key, or retains it until the grace period after a fault ends.
func (f *Follower) remove(key string, now time.Time) {
	if _, present := f.items[key]; !present {
		return
	}
	if now.Before(f.graceUntil) {
		f.retain(key)
		return
	}
	delete(f.items, key)
	delete(f.retainedUntil, key)
}

func (f *Follower) retain(key string) {
	if _, retained := f.retainedUntil[key]; !retained {
		f.retainedUntil[key] = f.graceUntil
	}
}

// expire removes the retained keys that have expired.
func (f *Follower) expire(now time.Time) bool {
	changed := false
	for key, expiry := range f.retainedUntil {
		if !now.Before(expiry) {
			delete(f.items, key)
			delete(f.retainedUntil, key)
			changed = true
		}
	}
	return changed
}

// endByExpiry shortens an action that would last beyond the next expiry of a retained key.
// A list is not shortened: it returns at once unless the store is in a fault.
func (f *Follower) endByExpiry(a Action, now time.Time) Action {
	expiry, ok := f.nextExpiry()
	if !ok {
		return a
	}
	switch a.Kind {
	case Wait:
		a.At = times.Earlier(a.At, expiry)
	case Poll:
		a.Timeout = min(a.Timeout, max(expiry.Sub(now), minPollInterval))
	case Watch:
		a.Timeout = min(a.Timeout, max(expiry.Sub(now), 0))
	}
	return a
}

// nextExpiry returns the time at which the next retained key expires.
func (f *Follower) nextExpiry() (time.Time, bool) {
	var next time.Time
	for _, expiry := range f.retainedUntil {
		if next.IsZero() || expiry.Before(next) {
			next = expiry
		}
	}
	return next, !next.IsZero()
}
