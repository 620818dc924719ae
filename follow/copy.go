package follow

import "time"

const (
	// askAfter is how long the store may leave a list unanswered before a
	// neighbour is asked for its copy: many times what an answer takes.
	// A daemon that knows nothing, and serves nobody, asks after askAtStart.
	askAfter   = 300 * time.Millisecond
	askAtStart = 100 * time.Millisecond
	// firstAskPause is the pause between two questions; each further one
	// doubles it, up to lastAskPause.
	firstAskPause = 250 * time.Millisecond
	lastAskPause  = time.Second
	// enoughLenders is how many neighbours stand in for the store: some may have
	// lost it before the last change, and not know.
	enoughLenders = 3
)

// Copy is what one daemon holds of the store, for another that gets no answer
// from it.
type Copy struct {
	// Revision is the store's revision that the copy is true of. Single items
	// may be newer.
	Revision uint64
	// Certain is true if the lender has it from the store itself, or from enough
	// others.
	Certain bool
	Items   []Item
}

// Ask reports whether a neighbour is to be asked for its copy now. It counts as
// asked then.
func (f *Follower) Ask(now time.Time) bool {
	if f.unanswered.IsZero() || now.Before(f.askAt) {
		return false
	}
	f.askedAt = now
	f.askAt = now.Add(f.askPause)
	f.askPause = min(2*f.askPause, lastAskPause)
	return true
}

// askSoon has a neighbour asked as soon as the first pause is over.
func (f *Follower) askSoon(now time.Time) {
	if soon := f.askedAt.Add(firstAskPause); soon.After(now) {
		now = soon
	}
	if now.Before(f.askAt) {
		f.askAt = now
	}
}

// Lend returns the copy for a neighbour, without the keys that the store no longer
// has, and without items if it is not newer than a revision. others is the number of
// other daemons.
func (f *Follower) Lend(than uint64, others int) Copy {
	c := Copy{Revision: f.revision, Certain: f.Certain(others)}
	if c.Revision <= than {
		return c
	}
	c.Items = make([]Item, 0, len(f.items))
	for key, item := range f.items {
		if _, gone := f.kept[key]; !gone {
			c.Items = append(c.Items, item)
		}
	}
	return c
}

// Lent takes in a neighbour's copy if it is newer than what is held, and reports
// whether it is. A neighbour that has none newer shows it without items. The store
// is listed all the same, as soon as it answers.
func (f *Follower) Lent(c Copy, from string) bool {
	if c.Certain {
		f.lenders[from] = true
	}
	if c.Revision <= f.revision || len(c.Items) == 0 {
		return false
	}
	f.items = make(map[string]Item, len(c.Items))
	for _, item := range c.Items {
		f.items[item.Key] = item
	}
	clear(f.kept)
	f.revision, f.lent, f.listed = c.Revision, c.Revision, false
	return true
}

// Certain reports whether the copy can be taken for what the store held a moment
// ago: the store has been listed since the start, or enough of the other daemons
// that are certain have shown theirs.
func (f *Follower) Certain(others int) bool {
	return f.everListed || len(f.lenders) >= min(enoughLenders, max(others, 1))
}

// expectAnswer notes that the store owes an answer, and when a neighbour is asked
// in its place.
func (f *Follower) expectAnswer(now time.Time) {
	if !f.unanswered.IsZero() {
		return
	}
	f.unanswered = now
	f.askAt = now.Add(askAfter)
	if f.revision == 0 {
		f.askAt = now.Add(askAtStart)
	}
	f.askPause = firstAskPause
}
