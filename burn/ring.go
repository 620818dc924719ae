package burn

import (
	"time"
	"unsafe"
)

// ringMinutes is the longest window, in minutes.
const ringMinutes = 360

// BytesPerService is what the counts of one service take, before the allocator
// rounds it up.
const BytesPerService = int(unsafe.Sizeof(ring{}))

// ring holds the counts of the last ringMinutes minutes.
type ring struct {
	newest  int64 // the minute of the newest bucket
	buckets [ringMinutes]bucket
}

// bucket counts the calls of one minute.
type bucket struct {
	calls  uint32
	failed uint32
	slow   uint32
}

// total is the sum of buckets.
type total struct {
	calls, failed, slow uint64
}

func newRing(minute int64) *ring { return &ring{newest: minute} }

// minuteOf returns the minutes from the Unix epoch to now.
func minuteOf(now time.Time) int64 {
	seconds := now.Unix()
	if seconds < 0 {
		return 0
	}
	return seconds / 60
}

// at returns the bucket of minute and clears those between. A minute that has
// left the ring means that the clock was set back by hours: the counts are of
// a time that has yet to come, and are dropped.
func (r *ring) at(minute int64) *bucket {
	if minute <= r.newest-ringMinutes {
		*r = ring{newest: minute}
	}
	first := max(r.newest+1, minute-ringMinutes+1)
	for m := first; m <= minute; m++ {
		r.buckets[m%ringMinutes] = bucket{}
	}
	r.newest = max(r.newest, minute)
	return &r.buckets[minute%ringMinutes]
}

// sum adds up the minutes minutes that end with the minute last. The last one
// may have just begun, so that a window is up to one minute short.
func (r *ring) sum(last, minutes int64) total {
	var t total
	first := max(last-minutes+1, r.newest-ringMinutes+1, 0)
	for m := first; m <= min(last, r.newest); m++ {
		b := r.buckets[m%ringMinutes]
		t.calls += uint64(b.calls)
		t.failed += uint64(b.failed)
		t.slow += uint64(b.slow)
	}
	return t
}
