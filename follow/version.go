package follow

import (
	"time"

	"pomelodoor.example/pomelodoor/times"
)

// Version identifies a state of the store. A store that returns from an older copy begins
// a new era, in which it assigns revisions again.
type Version struct {
	Era      uint64
	Revision uint64
}

// After reports whether v is a later state than other: versions are ordered by era, then
// by revision.
func (v Version) After(other Version) bool {
	if v.Era != other.Era {
		return v.Era > other.Era
	}
	return v.Revision > other.Revision
}

// eraSpreadPercent is the part of Config.ApplyWithin, in percent, over which the daemons
// that learn of a new era from their reader spread their lists of the whole store. With
// the reader's own delay a change of the new era is still in time everywhere.
const eraSpreadPercent = 25

// Version returns the version of the copy.
func (f *Follower) Version() Version { return Version{f.era, f.revision} }

// beginEra begins a new era with the list or lent copy that is about to be applied. Keys
// that are missing in it are retained: what wrote them has to write them again.
func (f *Follower) beginEra(era uint64, now time.Time) {
	if f.revision > 0 {
		f.graceUntil = times.Later(f.graceUntil, now.Add(f.cfg.Retention))
	}
	f.era = era
}

// listForEra lists the whole store because a reader holds a copy of a new era. The backoff
// after a failed read ends: the store answers that reader.
func (f *Follower) listForEra(now time.Time) {
	f.listed, f.pendingItems, f.lastKey = false, nil, ""
	f.notBefore = now.Add(f.spread(eraSpreadPercent))
}

// version returns the version of the copy.
func (c Copy) version() Version { return Version{c.Era, c.Revision} }
