package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelodoor.example/pomelodoor/quarantine"
)

// TestDigest checks that daemons of equal digests decide alike, and that digests are equal
// once the daemons have exchanged their entries.
func TestDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 3)
		f.dropMessages = true
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			f.disturb()
			checkDigests(t, f)
		}
		for _, from := range f.daemons {
			for _, to := range f.daemons {
				to.Merge(from.Entries(f.now), f.now)
				from.Merge(to.Entries(f.now), f.now)
			}
		}
		checkDigests(t, f)
		if a, b := f.daemons[0].Digest(f.now), f.daemons[2].Digest(f.now); a != b {
			t.Fatalf("got digests %x and %x after an exchange, want equal ones", a, b)
		}
	})
}

// disturb runs one request at a random daemon, ends it or lets it crash the upstream.
func (f *fleet) disturb() {
	f.now = f.now.Add(time.Duration(f.rng.IntN(3000)) * time.Millisecond)
	d := f.daemons[f.rng.IntN(len(f.daemons))]
	fingerprint := 1 + f.rng.Uint64N(3)
	if v := d.Start(fingerprint, f.now); v == quarantine.Banned || v == quarantine.Busy {
		return
	}
	if f.rng.IntN(3) > 0 {
		d.Crashed(f.now)
		return
	}
	d.End(fingerprint, true, f.now)
}

// checkDigests checks that daemons with equal digests decide alike.
func checkDigests(t *rapid.T, f *fleet) {
	for _, a := range f.daemons {
		for _, b := range f.daemons {
			if a.Digest(f.now) == b.Digest(f.now) && decisions(a, f.now) != decisions(b, f.now) {
				t.Fatalf("got decisions %s and %s with equal digests", decisions(a, f.now), decisions(b, f.now))
			}
		}
	}
}

// decisions returns what a daemon decides on each request, without the short bans, which
// end at different times.
func decisions(q *quarantine.Quarantine, now time.Time) string {
	later := now.Add(quarantine.DefaultShortBan)
	return fmt.Sprint(q.Check(1, later), q.Check(2, later), q.Check(3, later))
}
