package follow_test

import (
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/follow"
)

// poller returns a daemon that listed the store at revision 5 at 0 ms and polls "r-1",
// or else "r-2". Changes must take effect within 2 s.
func poller() *follow.Follower {
	f := follow.New(follow.Config{ApplyWithin: 2 * time.Second})
	f.SetReaders([]string{"r-1", "r-2"}, false)
	listed(5, false, item("a", 1), item("b", 2))(f, at(0))
	return f
}

func polled(c follow.Copy, from string) step {
	return func(f *follow.Follower, now time.Time) { f.Polled(c, from, now) }
}

func pollFailed(from string) step {
	return func(f *follow.Follower, now time.Time) { f.PollFailed(from, now) }
}

// confirmed is the answer of a reader that holds revision 5 and whose copy is ms old.
func confirmed(ms int) follow.Copy {
	return follow.Copy{Revision: 5, Age: time.Duration(ms) * time.Millisecond}
}

// readStore is the answer of a reader whose copy is ms old and that has too many changes.
func readStore(ms int) follow.Copy {
	return follow.Copy{Revision: 7, Age: time.Duration(ms) * time.Millisecond, ReadStore: true}
}

// received is an answer of the store that had arrived earlier than it is applied.
func received(by time.Time, asOf uint64) step {
	return func(f *follow.Follower, now time.Time) { f.Watched(follow.Page{AsOf: asOf, Received: by}, now) }
}

// borrowed applies the copy of another daemon at a revision.
func borrowed(revision uint64) step {
	return func(f *follow.Follower, now time.Time) {
		f.ApplyCopy(follow.Copy{Revision: revision, Items: []follow.Item{item("a", 1), item("b", revision)}}, "lender", now)
	}
}

// withoutReaders makes the daemon read the store itself.
func withoutReaders(f *follow.Follower, _ time.Time) { f.SetReaders(nil, false) }

func TestPolling(t *testing.T) {
	poll := func(reader string, revision uint64, ms int) follow.Action {
		return follow.Action{Kind: follow.Poll, Reader: reader, Revision: revision, Timeout: time.Duration(ms) * time.Millisecond}
	}
	read := func(revision uint64) follow.Action { return follow.Action{Kind: follow.Watch, Revision: revision} }
	wait := func(ms int) follow.Action { return follow.Action{Kind: follow.Wait, At: at(ms)} }
	tests := map[string]struct {
		events []event
		ms     int
		action follow.Action
	}{
		"polls until its copy is too old":          {ms: 10, action: poll("r-1", 5, 1290)},
		"reads the store when its copy is too old": {ms: 1300, action: read(5)},
		"a confirmation extends the time":          {[]event{{500, polled(confirmed(100), "r-1")}}, 500, poll("r-1", 5, 1200)},
		"the age of a reader's copy is its own":    {[]event{{500, polled(confirmed(1200), "r-1")}}, 500, poll("r-1", 5, 800)},
		"a reader that fails is not polled again":  {[]event{{100, pollFailed("r-1")}}, 100, poll("r-2", 5, 1200)},
		"a reader that fails is forgiven":          {[]event{{100, pollFailed("r-1")}, {350, polled(confirmed(0), "r-2")}}, 350, poll("r-1", 5, 1300)},
		"a reader that does not answer in time":    {[]event{{1300, pollFailed("r-1")}, {1310, watched(5)}, {3200, polled(confirmed(0), "r-2")}}, 3200, poll("r-2", 5, 1300)},
		"a reader whose copy is too old":           {[]event{{100, polled(confirmed(1300), "r-1")}}, 100, poll("r-2", 5, 1200)},
		"a reader that is leaving":                 {[]event{{100, polled(follow.Copy{Revision: 5, Leaving: true}, "r-1")}}, 100, poll("r-2", 5, 1300)},
		"in an outage an old reader is polled again": {[]event{
			{1300, failed}, {1350, polled(confirmed(1350), "r-1")}, {1400, polled(confirmed(1400), "r-2")},
			{1600, polled(confirmed(1600), "r-1")}, {1650, polled(confirmed(1650), "r-2")}, {1700, failed}, {1850, pollFailed("r-2")},
		}, 1850, poll("r-1", 5, 250)},
		"without a reader it waits":                  {[]event{{100, pollFailed("r-1")}, {150, pollFailed("r-2")}}, 150, wait(350)},
		"without a reader it then reads":             {[]event{{1200, pollFailed("r-1")}, {1250, pollFailed("r-2")}}, 1300, read(5)},
		"changes that are too many are read":         {[]event{{100, polled(follow.Copy{Revision: 7, ReadStore: true}, "r-1")}}, 100, read(5)},
		"a read confirms":                            {[]event{{1300, watched(5)}}, 1310, poll("r-1", 5, 1290)},
		"after changes the next poll is due":         {[]event{{100, polled(follow.Copy{Revision: 7, Items: []follow.Item{item("a", 7)}}, "r-1")}}, 100, poll("r-1", 7, 1300)},
		"an answer that says nothing is not hurried": {[]event{{100, nextCalled}, {110, polled(confirmed(110), "r-1")}}, 110, wait(200)},
		"a failed read waits":                        {[]event{{1300, failed}}, 1480, wait(1500)},
		"a failed read polls meanwhile":              {[]event{{1300, failed}}, 1310, poll("r-1", 5, 190)},
		"a failed read is repeated":                  {[]event{{1300, failed}}, 1500, read(5)},
		"a reader ends the fault":                    {[]event{{1300, failed}, {1400, polled(confirmed(0), "r-1")}}, 1500, poll("r-1", 5, 1200)},
		// A poller in the backoff of a failed read keeps an old copy for up to 7.2 s if it
		// does not follow its reader; one whose reader is cut off too spares the store.
		"a failed read follows a reader":                  {[]event{{1300, failed}, {1310, failed}, {1320, polled(readStore(100), "r-1")}}, 1410, read(5)},
		"a failed read does not follow at once":           {[]event{{1300, failed}, {1310, failed}, {1320, polled(readStore(100), "r-1")}}, 1400, wait(1410)},
		"a failed read follows often":                     {[]event{{1300, failed}, {1400, failed}, {1500, failed}, {1600, failed}, {1700, failed}, {1800, polled(readStore(0), "r-1")}}, 2260, read(5)},
		"a failed read ignores a reader with an old copy": {[]event{{1300, failed}, {1310, failed}, {1320, polled(readStore(1300), "r-1")}}, 1410, poll("r-2", 5, 300)},
		// Both guard against a daemon that keeps an old copy after an outage, because it waits for
		// as long as one that polls but does not poll.
		"a borrowed copy does not end the polls":    {[]event{{1300, failed}, {1350, failed}, {1400, failed}, {1450, borrowed(7)}}, 1450, poll("r-1", 7, 750)},
		"without readers it waits for less":         {[]event{{1300, failed}, {1350, failed}, {1400, failed}, {1450, withoutReaders}}, 1600, follow.Action{Kind: follow.Watch, Revision: 5, Timeout: follow.DefaultWatchTimeout}},
		"an answer counts from its receipt":         {[]event{{1300, received(at(400), 5)}}, 1310, poll("r-1", 5, 390)},
		"a reader's answer counts from its receipt": {[]event{{1200, polled(follow.Copy{Revision: 5, Age: 50 * time.Millisecond, Received: at(450)}, "r-1")}}, 1210, poll("r-1", 5, 490)},
		"lost history is listed":                    {[]event{{1300, historyLost}}, 1301, follow.Action{Kind: follow.List}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := poller()
			for _, e := range test.events {
				e.step(f, at(e.ms))
			}
			if got := f.Next(at(test.ms)); got != test.action {
				t.Fatalf("got %+v, want %+v", got, test.action)
			}
		})
	}
}

func TestReaderWatches(t *testing.T) {
	tests := map[string]struct {
		events []event
		ms     int
		want   time.Duration
	}{
		"after the list":    {nil, 0, time.Second},
		"after a while":     {nil, 400, 600 * time.Millisecond},
		"after an answer":   {[]event{{1000, watched(5)}}, 1010, 990 * time.Millisecond},
		"delayed by change": {[]event{{300, watched(6, item("a", 6))}}, 1000, 300 * time.Millisecond},
		"overdue":           {nil, 1500, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := follow.New(follow.Config{ApplyWithin: 2 * time.Second})
			f.SetReaders(nil, true)
			listed(5, false, item("a", 1))(f, at(0))
			for _, e := range test.events {
				e.step(f, at(e.ms))
			}
			if got := f.Next(at(test.ms)); got.Kind != follow.Watch || got.Timeout != test.want {
				t.Fatalf("got %+v, want a watch of %s", got, test.want)
			}
		})
	}
}

func TestChanges(t *testing.T) {
	const plenty = 1 << 20
	tests := map[string]struct {
		events   []event
		after    uint64
		maxBytes int
		want     []string
		read     bool
	}{
		"nothing newer":                {nil, 5, plenty, nil, false},
		"changed and removed keys":     {[]event{{1, watched(8, item("a", 6), deleted("b", 8))}}, 5, plenty, []string{"a", "b"}, false},
		"only what is later":           {[]event{{1, watched(6, item("a", 6))}, {2000, watched(8, deleted("b", 8))}}, 6, plenty, []string{"b"}, false},
		"more than fits":               {[]event{{1, watched(8, item("a", 6), deleted("b", 8))}}, 5, 2, nil, true},
		"removed before the list":      {[]event{{1, watched(6, deleted("a", 6))}, {2, historyLost}, {3, listed(9, false, item("b", 2))}}, 5, plenty, nil, true},
		"a key that came back":         {[]event{{1, watched(6, deleted("a", 6))}, {2000, watched(7, item("a", 7))}}, 5, plenty, []string{"a"}, false},
		"a key retained after a fault": {[]event{{1, failed}, {2, listed(6, false, item("a", 1), item("b", 2))}, {3, watched(7, deleted("b", 7))}}, 6, plenty, []string{"b"}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := follow.New(follow.Config{})
			listed(5, false, item("a", 1), item("b", 2))(f, at(0))
			for _, e := range test.events {
				e.step(f, at(e.ms))
			}
			c := f.Changes(follow.Version{Revision: test.after}, test.maxBytes, at(3000))
			other := follow.New(follow.Config{})
			other.SetReaders([]string{"r-1"}, false)
			listed(test.after, false, item("a", 1), item("b", 2))(other, at(0))
			other.Polled(c, "r-1", at(3000))
			if c.ReadStore != test.read || len(c.Items) != len(test.want) {
				t.Fatalf("got %+v, want keys %v, ReadStore %t", c, test.want, test.read)
			}
			if !test.read && other.Revision() != max(f.Revision(), test.after) {
				t.Fatalf("the other daemon holds revision %d, want %d", other.Revision(), f.Revision())
			}
		})
	}
}

// TestGraceIsRelayed: a key that disappears after a fault of the store is retained also by
// a daemon that did not notice the fault.
func TestGraceIsRelayed(t *testing.T) {
	f := poller()
	f.Polled(follow.Copy{Revision: 6, Grace: 2 * time.Second, Items: []follow.Item{deleted("b", 6)}}, "r-1", at(100))
	if got := keys(f); len(got) != 2 {
		t.Fatalf("got keys %v, want a and b", got)
	}
	f.Expire(at(2100))
	if got := keys(f); len(got) != 1 {
		t.Fatalf("got keys %v after the grace period, want a", got)
	}
}
