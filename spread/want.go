package spread

import (
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/times"
)

// wantTimeout is how long a requested item may take to arrive.
const wantTimeout = 500 * time.Millisecond

// want is a requested item that has not arrived yet.
type want struct {
	due time.Time
	// alternative is another daemon that has offered the item meanwhile, or
	// empty.
	alternative string
}

// wants holds the requested items by key.
type wants struct {
	byKey map[string]want
	// due is when to check for overdue items next: when the first one is
	// overdue, or earlier if that one has arrived.
	due time.Time
}

// add registers an item to request and returns true. If the item has already
// been requested, it returns false and keeps from as the alternative in case the
// first daemon does not send it.
func (w *wants) add(key, from string, now time.Time) bool {
	if pending, ok := w.byKey[key]; ok {
		pending.alternative = from
		w.byKey[key] = pending
		return false
	}
	if len(w.byKey) == 0 {
		w.due = now.Add(wantTimeout)
	}
	w.byKey[key] = want{due: now.Add(wantTimeout)}
	return true
}

func (w *wants) pending() bool { return len(w.byKey) > 0 }

// overdue removes the items that did not arrive in time and returns their keys
// by the daemon to request them from next, and the sorted daemons.
func (w *wants) overdue(now time.Time) (daemons []string, keys map[string][]string) {
	keys = map[string][]string{}
	w.due = now.Add(wantTimeout)
	for key, pending := range w.byKey {
		if now.Before(pending.due) {
			w.due = times.Earlier(w.due, pending.due)
			continue
		}
		delete(w.byKey, key)
		if pending.alternative != "" {
			keys[pending.alternative] = append(keys[pending.alternative], key)
		}
	}
	for daemon := range keys {
		slices.Sort(keys[daemon])
		daemons = append(daemons, daemon)
	}
	slices.Sort(daemons)
	return daemons, keys
}

// retryWants requests the items that did not arrive in time from other daemons.
func (s *State) retryWants(actions []Action, now time.Time) []Action {
	if !s.wants.pending() || now.Before(s.wants.due) {
		return actions
	}
	daemons, keys := s.wants.overdue(now)
	for _, daemon := range daemons {
		m := s.message(now)
		m.Want = keys[daemon]
		for _, key := range m.Want {
			s.wants.add(key, daemon, now)
		}
		actions = append(actions, Action{Kind: Send, To: daemon, Message: m})
	}
	return actions
}
