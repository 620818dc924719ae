package spread

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxLeaves bounds how many leaves are listed in one message.
	maxLeaves = 64
	// maxBatch bounds the bodies in one message, in bytes.
	maxBatch = 128 << 10
	// maxOffers bounds the offers in one message.
	maxOffers = 1000
	// itemOverhead is what an item takes besides key and body, in bytes.
	itemOverhead = 100
)

// Receive takes in a message of another daemon.
func (s *State) Receive(m Message, now time.Time) []Action {
	if m.From == "" || m.From == s.config.Self {
		return nil
	}
	s.heardFrom(m.From, now)
	s.heardOfPlatform(m.PlatformAgeMs, now)
	if m.Same != nil {
		s.confirm.same(m)
	}
	actions := s.takeItems(nil, m, now)
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
		reply.Same = &Same{Round: sum.Round}
	case len(nodes) == 0:
		return false
	case sum.Level < treeLevels-1:
		reply.Summary = s.store.summary(sum.Round, sum.Level+1, children(nodes))
	default:
		reply.Leaves = s.someLeaves(nodes)
	}
	return true
}

// someLeaves bounds the leaves of one message; the next comparison, beginning
// elsewhere, goes on with the rest.
func (s *State) someLeaves(nodes []byte) []byte {
	if len(nodes) <= maxLeaves {
		return nodes
	}
	start := int(s.config.Rand() % uint64(len(nodes)))
	return slices.Concat(nodes[start:], nodes[:start])[:maxLeaves]
}

// answerOffers asks for what is newer, and where whole leaves were listed,
// offers what the sender lacks. It also lists the leaves named in the reply.
func (s *State) answerOffers(reply *Message, m Message, now time.Time) bool {
	for _, offer := range m.Offers {
		if s.lacks(offer) && s.wants.ask(offer.Key, m.From, now) {
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

// offerMissing offers what the sender lacks of the leaves that it listed.
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
	if offer.outlived(s.config.TombstoneLife) {
		return false
	}
	e, ok := s.store.entries[offer.Key]
	return !ok || offer.Version.Compare(e.Version) > 0
}

// answerWants sends the items asked for, in messages of bounded size.
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
		if size += len(e.Body) + len(e.Key) + itemOverhead; size > maxBatch {
			flush()
		}
		batch = append(batch, e.item(now))
	}
	flush()
	return actions
}

func (s *State) takeItems(actions []Action, m Message, now time.Time) []Action {
	for _, item := range m.Items {
		delete(s.wants.byKey, item.Key)
		actions = s.take(actions, item, now, s.Confirmed(now))
	}
	return actions
}

// take keeps an item if it is newer, hands it over, and offers it on if told.
func (s *State) take(actions []Action, item Item, now time.Time, pass bool) []Action {
	if err := item.check(); err != nil {
		return append(actions, Action{Kind: Refuse, Item: item, Err: err})
	}
	if key := strings.TrimPrefix(item.Key, RefusedPrefix); item.Source > s.reading.known[key] {
		s.reading.known[key] = item.Source
	}
	if !s.store.put(item, now) {
		return actions
	}
	if pass {
		s.heat(item.Key, now)
	}
	return append(actions, Action{Kind: Deliver, Item: item})
}

// heat marks a key as news for the neighbours.
func (s *State) heat(key string, now time.Time) {
	if !s.flushPending() {
		s.flushAt = now.Add(pushDelay)
	}
	s.hot = append(s.hot, key)
}

func (s *State) flushPending() bool { return len(s.hot) > 0 || s.beat }

func (s *State) flushDue(now time.Time) bool {
	return s.flushPending() && !now.Before(s.flushAt)
}

// flush offers the news to some neighbours, once.
func (s *State) flush(actions []Action, now time.Time) []Action {
	m := s.message(now)
	slices.Sort(s.hot)
	for _, key := range slices.Compact(s.hot) {
		if e, ok := s.store.entries[key]; ok && len(m.Offers) < maxOffers {
			m.Offers = append(m.Offers, e.offer(now))
		}
	}
	s.hot, s.beat = nil, false
	neighbours := slices.Clone(s.config.Neighbours())
	for i := range min(s.config.Fanout, len(neighbours)) {
		j := i + int(s.config.Rand()%uint64(len(neighbours)-i))
		neighbours[i], neighbours[j] = neighbours[j], neighbours[i]
		actions = append(actions, Action{Kind: Send, To: neighbours[i], Message: m})
	}
	return actions
}
