package follow

import (
	"time"

	"pomelodoor.example/pomelodoor/times"
)

const (
	// queryDelay is how long the store may leave a list unanswered before another
	// daemon is queried for its copy: many times the normal response time. A
	// daemon without a copy cannot serve and uses initialQueryDelay.
	queryDelay        = 300 * time.Millisecond
	initialQueryDelay = 100 * time.Millisecond
	// minQueryInterval is the interval after the first query; it doubles with
	// each further query, up to maxQueryInterval.
	minQueryInterval = 250 * time.Millisecond
	maxQueryInterval = time.Second
	// requiredLenders is how many lenders replace a list of the store. One lender
	// may have lost the store before the last change without noticing.
	requiredLenders = 3
)

// Copy is a daemon's copy of the store, lent to a daemon that gets no response
// from the store, or the changes sent to one that polls.
type Copy struct {
	// Era is the store's era of the copy; 0 from a daemon that knows none.
	Era uint64
	// Revision is the store's revision of the copy. Single items may be newer.
	Revision uint64
	// Age is the time since the copy was last confirmed to be current.
	Age time.Duration
	// Certain is true if the lender has listed the store itself, or has
	// borrowed from enough other daemons.
	Certain bool
	// Grace is how much longer the lender retains keys that disappeared during a
	// fault of the store.
	Grace time.Duration
	// Leaving is true if the lender is stopping.
	Leaving bool
	// ReadStore is true if the changes are too many to send.
	ReadStore bool
	// Received is the time by which the copy had arrived, if that is earlier than the time
	// at which it is applied.
	Received time.Time
	// Items are all items of a lent copy, or the changes of a poll.
	Items []Item
}

// QueryDue reports whether another daemon is to be queried for its copy now. If
// so, it records the query and schedules the next one.
func (f *Follower) QueryDue(now time.Time) bool {
	if f.unansweredSince.IsZero() || now.Before(f.nextQueryAt) {
		return false
	}
	f.lastQueryAt = now
	f.nextQueryAt = now.Add(f.queryInterval)
	f.queryInterval = min(2*f.queryInterval, maxQueryInterval)
	return true
}

// advanceQuery makes the next query due now, or minQueryInterval after the last
// one if that is later.
func (f *Follower) advanceQuery(now time.Time) {
	if earliest := f.lastQueryAt.Add(minQueryInterval); earliest.After(now) {
		now = earliest
	}
	if now.Before(f.nextQueryAt) {
		f.nextQueryAt = now
	}
}

// Lend returns the copy for another daemon, without the keys that the store no
// longer has. It has no items unless its version is after newerThan. others is the
// number of other daemons.
func (f *Follower) Lend(newerThan Version, others int, now time.Time) Copy {
	c := Copy{Era: f.era, Revision: f.revision, Age: f.Age(now), Certain: f.Certain(others)}
	if !c.version().After(newerThan) {
		return c
	}
	c.Items = make([]Item, 0, len(f.items))
	for key, item := range f.items {
		if _, retained := f.retainedUntil[key]; !retained {
			c.Items = append(c.Items, item)
		}
	}
	return c
}

// ApplyCopy replaces the copy with that of another daemon if that is newer, and reports
// whether it did. A certain copy counts as one of the required lenders even if it
// is empty because the lender has nothing newer. A daemon that reads for itself still
// lists the store as soon as that answers; one that polls goes on polling. A copy of a
// lower era than the one held is ignored.
func (f *Follower) ApplyCopy(c Copy, from string, now time.Time) bool {
	if c.Era < f.era {
		return false
	}
	if c.Certain {
		f.lenders[from] = true
	}
	if !c.version().After(f.Version()) || len(c.Items) == 0 {
		return false
	}
	items := make(map[string]Item, len(c.Items))
	for _, item := range c.Items {
		item.Era = c.Era
		if held := f.items[item.Key]; held.Version().After(item.Version()) {
			item = held
		}
		items[item.Key] = item
	}
	if c.Era > f.era {
		f.beginEra(c.Era, now)
		f.replace(items, now)
	} else {
		f.items = items
		clear(f.retainedUntil)
	}
	f.forgetHistory(c.Revision)
	// A daemon that polls gets the later changes from its reader.
	f.revision, f.lentVersion, f.listed = c.Revision, c.version(), f.Polls()
	f.confirmedAt = times.Later(f.confirmedAt, receivedBy(c.Received, now).Add(-c.Age))
	return true
}

// Certain reports whether the copy is known to be recent: the store has been listed
// since the start, or enough other daemons have lent a certain copy.
func (f *Follower) Certain(others int) bool {
	return f.everListed || len(f.lenders) >= min(requiredLenders, max(others, 1))
}

// awaitAnswer records that the store owes a response, and schedules the first query
// to another daemon.
func (f *Follower) awaitAnswer(now time.Time) {
	if !f.unansweredSince.IsZero() {
		return
	}
	f.unansweredSince = now
	f.nextQueryAt = now.Add(queryDelay)
	if f.revision == 0 {
		f.nextQueryAt = now.Add(initialQueryDelay)
	}
	f.queryInterval = minQueryInterval
}
