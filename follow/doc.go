// Package follow keeps a daemon's copy of the platform's store: it
// decides when to list, when to watch and how long to wait after a failure.
//
// A list comes in pages that are no snapshot, so the watch starts at the
// revision of the first page and changes older than what a page showed are
// passed over. When the store has dropped the history that a watch asks for, all
// is listed again and the copy replaced as a whole.
//
// A daemon that the store leaves without an answer asks others for their copies.
// Copies are ordered by the store's revision. Daemons tell each other theirs, so
// that one whose watch was lost notices.
//
// Keys that went while the store was in trouble are kept for a while after its
// return: their writers may just not have reached it.
//
//	f := follow.New(follow.Config{Rand: rand.Uint64})
//	switch action := f.Next(now); action.Kind {
//	case follow.List: // read a page, then call f.Listed or f.Failed
//	case follow.Watch: // wait for changes, then call f.Watched or f.Failed
//	case follow.Wait: // call Next again at action.At
//	}
//
// A Follower reads no clock and is not safe for concurrent use.
package follow
