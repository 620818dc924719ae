// Package follow maintains a daemon's copy of the platform's store. It decides
// when to list, when to watch and how long to back off after a failure.
//
// The pages of a list are not one snapshot. The watch therefore starts at the
// revision of the first page, and changes older than the listed item are
// skipped. When the store no longer has the history that a watch needs, the
// whole store is listed again and the copy replaced.
//
// In a large availability zone most daemons do not watch the store but poll one of a few
// that do. Every copy has an age, the time since it was last confirmed to be current,
// which is passed on with it. A daemon whose copy grows too old reads the store itself.
//
// While the store does not answer, the daemon queries other daemons for their
// copies, which are ordered by the store's revision. Daemons announce their
// revisions to each other, so that one whose watch was lost notices it.
//
// A store that returns from an older copy assigns revisions again and says so by a higher
// era. Versions are therefore ordered by era first: a higher one in any answer makes the
// daemon list the whole store, and nothing of a lower one is applied.
//
// Keys that disappear during a store fault are retained for a while after the
// store recovers: their writers may only have been unable to reach it.
//
//	f := follow.New(follow.Config{Rand: rand.Uint64})
//	switch action := f.Next(now); action.Kind {
//	case follow.List: // read a page, then call f.Listed or f.Failed
//	case follow.Watch: // wait for changes, then call f.Watched or f.Failed
//	case follow.Poll: // ask a reader, then call f.Polled or f.PollFailed
//	case follow.Wait: // call Next again at action.At
//	}
//
// A Follower reads no clock and is not safe for concurrent use.
package follow
