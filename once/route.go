package once

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pomelodoor.example/pomelodoor/call"
)

// GroupSize bounds the number of instances of one service that are homes of
// keys, and with it the number of heartbeats between the homes.
const GroupSize = 7

// groupSalt takes the place of a key when the instances of a service are ranked
// for membership in its group.
const groupSalt = "\x00group"

// Member is one instance of a service. Number is zero while only the platform's
// list has named the instance.
type Member struct {
	Incarnation
	// Live is true for instances that may be given new work.
	Live bool
}

// score returns the score by which an instance ranks for a key in rendezvous
// hashing (Thaler and Ravishankar, 1998).
func score(key, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(id)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// ranksAbove reports whether instance a ranks above b for a key.
func ranksAbove(key, a, b string) bool {
	scoreA, scoreB := score(key, a), score(key, b)
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a > b
}

// Group returns the live members that are homes of keys, at most GroupSize.
// Heartbeats are sent to these and to former members that may still run.
func Group(members []Member) []Member {
	group := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !m.Live })
	slices.SortFunc(group, func(a, b Member) int {
		return cmp.Or(-cmp.Compare(score(groupSalt, a.ID), score(groupSalt, b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return group[:min(len(group), GroupSize)]
}

// Route returns the daemon that decides on a keyed request: the issuer of an
// issued key, otherwise the member of the service's group that ranks highest by
// rendezvous hashing. home.Number is zero if the incarnation is not known. If ok
// is false, the request is refused with reason: BadRequest proves that no daemon
// runs the key; after KeyHomeGone and NoUpstream the outcome is unknown, because
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
	highest := group[0]
	for _, m := range group[1:] {
		if ranksAbove(text, m.ID, highest.ID) {
			highest = m
		}
	}
	return highest.Incarnation, true, ""
}

// routeIssued returns the issuer. It may be leaving, as it still answers then.
func routeIssued(home Incarnation, members []Member) (Incarnation, bool, call.Reason) {
	for _, m := range members {
		if m.ID == home.ID && (m.Number == home.Number || m.Number == 0) {
			return home, true, ""
		}
	}
	return home, false, call.KeyHomeGone
}
