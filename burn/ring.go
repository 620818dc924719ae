package burn

import (
	"time"
	"unsafe"
)

// ringMinutes is the length of the longest window.
const ringMinutes = 360

// BytesPerService is the memory for the counts of one service, before the allocator
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

// bucketAt returns the bucket of minute and clears the buckets between the newest one
// and it. A minute older than the ring means that the clock was set back by hours.
// The counts then belong to the future and are dropped.
func (r *ring) bucketAt(minute int64) *bucket {
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

// sum returns the total of the given number of minutes up to and including last. The
// last minute may have just started, so a window may be up to one minute short.
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
