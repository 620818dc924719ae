package spread

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxLeaves bounds how many leaves are listed in one message.
	maxLeaves = 64
	// maxBatchBytes bounds the size of the items in one message.
	maxBatchBytes = 128 << 10
	// maxOffers bounds the offers in one message.
	maxOffers = 1000
	// itemOverheadBytes is the size assumed for an item besides its key and
	// body.
	itemOverheadBytes = 100
)

// Receive handles a message from another daemon.
func (s *State) Receive(m Message, now time.Time) []Action {
	if m.From == "" || m.From == s.config.Self {
		return nil
	}
	s.noteReceived(m.From, now)
	s.notePlatformAge(m.PlatformAgeMs, now)
	if m.RootMatch != nil {
		s.confirm.addMatch(m)
	}
	actions := s.acceptItems(nil, m, now)
	reply := s.message(now)
	answer := s.answerSummary(&reply, m.Summary)
	answer = s.answerOffers(&reply, m, now) || answer
	if answer {
		actions = append(actions, Action{Kind: Send, To: m.From, Message: reply})
	}
	return s.answerWants(actions, m, now)
}

func (s *State) answerSummary(reply *Message, sum *Summary) bool {
	if sum == nil {
		return false
	}
	nodes := s.store.differing(sum)
	switch {
	case len(nodes) == 0 && sum.Level == 0:
		reply.RootMatch = &RootMatch{Round: sum.Round}
	case len(nodes) == 0:
		return false
	case sum.Level < treeLevels-1:
		reply.Summary = s.store.summary(sum.Round, sum.Level+1, children(nodes))
	default:
		reply.Leaves = s.limitLeaves(nodes)
	}
	return true
}

// limitLeaves returns at most maxLeaves of the nodes, from a random start, so
// that later comparisons cover the rest.
func (s *State) limitLeaves(nodes []byte) []byte {
	if len(nodes) <= maxLeaves {
		return nodes
	}
	start := int(s.config.Rand() % uint64(len(nodes)))
	return slices.Concat(nodes[start:], nodes[:start])[:maxLeaves]
}

// answerOffers requests the offered items that are newer and, for leaves listed
// in full, offers the items that the sender lacks. It also offers all items of
// the leaves listed in the reply.
func (s *State) answerOffers(reply *Message, m Message, now time.Time) bool {
	for _, offer := range m.Offers {
		if s.lacks(offer) && s.wants.add(offer.Key, m.From, now) {
			reply.Want = append(reply.Want, offer.Key)
		}
	}
	if len(m.Leaves) > 0 {
		s.offerMissing(reply, m, now)
	}
	for _, leaf := range reply.Leaves {
		for _, e := range s.store.leaves[leaf] {
			reply.Offers = append(reply.Offers, e.offer(now))
		}
	}
	return len(reply.Want) > 0 || len(reply.Offers) > 0
}

// offerMissing offers the items that the sender lacks in the leaves it listed.
func (s *State) offerMissing(reply *Message, m Message, now time.Time) {
	offered := make(map[string]Version, len(m.Offers))
	for _, offer := range m.Offers {
		offered[offer.Key] = offer.Version
	}
	for _, leaf := range m.Leaves {
		for _, e := range s.store.leaves[leaf] {
			version, ok := offered[e.Key]
			if !ok || e.Version.Compare(version) > 0 {
				reply.Offers = append(reply.Offers, e.offer(now))
			}
		}
	}
}

func (s *State) lacks(offer Offer) bool {
	if offer.expired(s.config.TombstoneTTL) {
		return false
	}
	e, ok := s.store.entries[offer.Key]
	return !ok || offer.Version.Compare(e.Version) > 0
}

// answerWants sends the requested items in messages of bounded size.
func (s *State) answerWants(actions []Action, m Message, now time.Time) []Action {
	var batch []Item
	size := 0
	flush := func() {
		if len(batch) == 0 {
			return
		}
		reply := s.message(now)
		reply.Items = batch
		actions = append(actions, Action{Kind: Send, To: m.From, Message: reply})
		batch, size = nil, 0
	}
	for _, key := range m.Want {
		e, ok := s.store.entries[key]
		if !ok {
			continue
		}
		if size += len(e.Body) + len(e.Key) + itemOverheadBytes; size > maxBatchBytes {
			flush()
		}
		batch = append(batch, e.item(now))
	}
	flush()
	return actions
}

func (s *State) acceptItems(actions []Action, m Message, now time.Time) []Action {
	for _, item := range m.Items {
		delete(s.wants.byKey, item.Key)
		actions = s.accept(actions, item, now, s.Confirmed(now))
	}
	return actions
}

// accept stores an item if it is newer, delivers it and, if offer is true,
// offers it to neighbours.
func (s *State) accept(actions []Action, item Item, now time.Time, offer bool) []Action {
	if err := item.check(); err != nil {
		return append(actions, Action{Kind: Refuse, Item: item, Err: err})
	}
	if key := strings.TrimPrefix(item.Key, RefusedPrefix); item.Source > s.reading.readVersions[key] {
		s.reading.readVersions[key] = item.Source
	}
	if !s.store.put(item, now) {
		return actions
	}
	if offer {
		s.queueOffer(item.Key, now)
	}
	return append(actions, Action{Kind: Deliver, Item: item})
}

// queueOffer schedules an offer of a key to neighbours.
func (s *State) queueOffer(key string, now time.Time) {
	if !s.flushPending() {
		s.flushAt = now.Add(offerDelay)
	}
	s.pendingOffers = append(s.pendingOffers, key)
}

func (s *State) flushPending() bool { return len(s.pendingOffers) > 0 || s.announceAnswer }

func (s *State) flushDue(now time.Time) bool {
	return s.flushPending() && !now.Before(s.flushAt)
}

// flush offers the pending keys once, to Config.Fanout random neighbours.
func (s *State) flush(actions []Action, now time.Time) []Action {
	m := s.message(now)
	slices.Sort(s.pendingOffers)
	for _, key := range slices.Compact(s.pendingOffers) {
		if e, ok := s.store.entries[key]; ok && len(m.Offers) < maxOffers {
			m.Offers = append(m.Offers, e.offer(now))
		}
	}
	s.pendingOffers, s.announceAnswer = nil, false
	neighbours := slices.Clone(s.config.Neighbours())
	for i := range min(s.config.Fanout, len(neighbours)) {
		j := i + int(s.config.Rand()%uint64(len(neighbours)-i))
		neighbours[i], neighbours[j] = neighbours[j], neighbours[i]
		actions = append(actions, Action{Kind: Send, To: neighbours[i], Message: m})
	}
	return actions
}
