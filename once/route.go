package once

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pomelodoor.example/pomelodoor/call"
)

// GroupSize bounds the instances of one service that are homes of keys, and
// with them the heartbeats between the homes.
const GroupSize = 7

// groupSalt ranks the instances of a service for membership in its group.
const groupSalt = "\x00group"

// Member is one instance of a service.
type Member struct {
	Incarnation
	// Live is true for instances that may be given new work. Number is zero
	// while only the platform's list has spoken of the instance.
	Live bool
}

// score ranks an instance for a key by rendezvous hashing (Thaler and
// Ravishankar, 1998).
func score(key, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(id)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// above reports whether instance a comes before b among the homes of a key.
func above(key, a, b string) bool {
	scoreA, scoreB := score(key, a), score(key, b)
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a > b
}

// Group returns the live members that are homes of keys, at most GroupSize. A
// daemon takes part in heartbeats only with these.
func Group(members []Member) []Member {
	group := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !m.Live })
	slices.SortFunc(group, func(a, b Member) int {
		return cmp.Or(-cmp.Compare(score(groupSalt, a.ID), score(groupSalt, b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return group[:min(len(group), GroupSize)]
}

// Route finds the daemon that decides on a keyed request: the issuer of an
// issued key, and else the first of the service's group by rendezvous hashing.
// Number is zero in the answer if the sender knows no incarnation. When ok is
// false the request is answered with reason: BadRequest proves that no daemon
// runs the key; after KeyHomeGone and NoUpstream the outcome is unknown, since
// an earlier send may have run.
func Route(text string, members []Member) (home Incarnation, ok bool, reason call.Reason) {
	key, ok := ParseKey(text)
	if !ok {
		return Incarnation{}, false, call.BadRequest
	}
	if key.Kind == Issued {
		return routeIssued(key.Home, members)
	}
	group := Group(members)
	if len(group) == 0 {
		return Incarnation{}, false, call.NoUpstream
	}
	first := group[0]
	for _, m := range group[1:] {
		if above(text, m.ID, first.ID) {
			first = m
		}
	}
	return first.Incarnation, true, ""
}

// routeIssued finds the issuer, which may be leaving: it still answers.
func routeIssued(home Incarnation, members []Member) (Incarnation, bool, call.Reason) {
	for _, m := range members {
		if m.ID == home.ID && (m.Number == home.Number || m.Number == 0) {
			return home, true, ""
		}
	}
	return home, false, call.KeyHomeGone
}
