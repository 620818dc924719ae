package spread

import (
	"slices"
	"time"
)

// wantTimeout is how long an item asked for may take to come.
const wantTimeout = 500 * time.Millisecond

// want is an item that was asked for and has not come yet.
type want struct {
	due time.Time
	// next is another daemon that offered it meanwhile, or empty.
	next string
}

// wants holds the items asked for, by key.
type wants struct {
	byKey map[string]want
	// due is when the first of them is overdue, or later.
	due time.Time
}

// ask notes that an item is to be asked for, unless it has been already. Then
// the daemon that offers it is kept for when the first does not send it.
func (w *wants) ask(key, from string, now time.Time) bool {
	if pending, ok := w.byKey[key]; ok {
		pending.next = from
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

// overdue drops the items that did not come in time and returns their keys by
// the daemon to ask next, with the daemons in order.
func (w *wants) overdue(now time.Time) (daemons []string, keys map[string][]string) {
	keys = map[string][]string{}
	w.due = now.Add(wantTimeout)
	for key, pending := range w.byKey {
		if now.Before(pending.due) {
			w.due = earlier(w.due, pending.due)
			continue
		}
		delete(w.byKey, key)
		if pending.next != "" {
			keys[pending.next] = append(keys[pending.next], key)
		}
	}
	for daemon := range keys {
		slices.Sort(keys[daemon])
		daemons = append(daemons, daemon)
	}
	slices.Sort(daemons)
	return daemons, keys
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// askAgain asks other daemons for the items that did not come in time.
func (s *State) askAgain(actions []Action, now time.Time) []Action {
	if !s.wants.pending() || now.Before(s.wants.due) {
		return actions
	}
	daemons, keys := s.wants.overdue(now)
	for _, daemon := range daemons {
		m := s.message(now)
		m.Want = keys[daemon]
		for _, key := range m.Want {
			s.wants.ask(key, daemon, now)
		}
		actions = append(actions, Action{Kind: Send, To: daemon, Message: m})
	}
	return actions
}
