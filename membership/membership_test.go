package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func instance(id string) Instance {
	return Instance{ID: id, Service: "faults", AvailabilityZone: "a", Region: "north"}
}

func newView(id string) *View {
	return New(Config{Self: instance(id), Incarnation: 10, Started: epoch})
}

func record(id string, incarnation uint64, state State) Record {
	return Record{Instance: instance(id), Incarnation: incarnation, State: state}
}

func liveAgain(id string, incarnation uint64) Record {
	r := record(id, incarnation, Live)
	r.Sequence = 1
	return r
}

func entry(id string, state State) ListEntry {
	return ListEntry{Instance: instance(id), State: state}
}

// list is the platform's list as read at one time.
type list struct {
	second  int
	version uint64
	entries []ListEntry
}

func TestMergeList(t *testing.T) {
	filler := []ListEntry{entry("x1", Live), entry("x2", Live), entry("x3", Live)}
	with := func(entries ...ListEntry) []ListEntry { return append(entries, filler...) }
	tests := map[string]struct {
		received []Record
		lists    []list
		want     State
	}{
		"introduces a live instance":           {nil, []list{{1, 1, with(entry("b", Live))}}, Live},
		"introduces a leaving instance":        {nil, []list{{1, 1, with(entry("b", Leaving))}}, Leaving},
		"marks leaving":                        {nil, []list{{1, 1, with(entry("b", Live))}, {2, 2, with(entry("b", Leaving))}}, Leaving},
		"older version is ignored":             {nil, []list{{1, 5, with(entry("b", Live))}, {2, 4, with(entry("b", Leaving))}}, Live},
		"leaving is not made live":             {nil, []list{{1, 1, with(entry("b", Leaving))}, {2, 2, with(entry("b", Live))}}, Leaving},
		"gone is not made live":                {[]Record{record("b", 3, Gone)}, []list{{1, 1, with(entry("b", Live))}, {99, 2, with(entry("b", Live))}}, Gone},
		"absence within lag":                   {nil, []list{{1, 1, with(entry("b", Live))}, {2, 2, with()}, {30, 3, with()}}, Live},
		"absence beyond lag":                   {nil, []list{{1, 1, with(entry("b", Live))}, {2, 2, with()}, {60, 3, with()}}, Gone},
		"same version beyond lag":              {nil, []list{{1, 1, with(entry("b", Live))}, {2, 2, with()}, {60, 2, with()}}, Gone},
		"never listed, list version unchanged": {[]Record{record("b", 3, Live)}, []list{{1, 0, with()}, {600, 0, with()}, {900, 0, with()}}, Live},
		"leaving of an earlier incarnation":    {[]Record{record("b", 3, Live)}, []list{{1, 1, with(entry("b", Leaving))}}, Live},
		"leaving of this incarnation": {[]Record{record("b", 3, Live)},
			[]list{{1, 1, with(entry("b", Live))}, {2, 2, with(entry("b", Leaving))}}, Leaving},
		"leaving before the upstream returned": {[]Record{record("b", 3, Live), record("b", 3, Leaving), liveAgain("b", 3)},
			[]list{{1, 1, with(entry("b", Leaving))}}, Live},
		"leaving long after the start": {[]Record{record("b", 3, Live)},
			[]list{{1, 1, with(entry("b", Leaving))}, {60, 2, with(entry("b", Leaving))}}, Leaving},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newView("a")
			for _, r := range test.received {
				v.Merge(r, epoch)
			}
			for _, l := range test.lists {
				v.MergeList(l.entries, l.version, at(l.second))
			}
			if got, _ := v.Lookup("b"); got.State != test.want {
				t.Errorf("got state %q, want %q", got.State, test.want)
			}
		})
	}
}

func TestMergeSelf(t *testing.T) {
	tests := map[string]struct {
		before     func(*View)
		merge      Record
		want       State
		sequence   uint64
		superseded bool
	}{
		"older incarnation is ignored":  {nil, record("a", 9, Gone), Live, 0, false},
		"gone is refuted":               {nil, record("a", 10, Gone), Live, 1, false},
		"leaving is accepted":           {nil, record("a", 10, Leaving), Leaving, 0, false},
		"newer incarnation supersedes":  {nil, record("a", 11, Live), Live, 0, true},
		"gone after finish is accepted": {func(v *View) { v.MarkGone(epoch) }, record("a", 10, Gone), Gone, 0, false},
		"gone is refuted while leaving": {func(v *View) { v.Leave(epoch) }, record("a", 10, Gone), Leaving, 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newView("a")
			if test.before != nil {
				test.before(v)
			}
			v.Merge(test.merge, epoch)
			self := v.Self()
			if self.State != test.want || self.Sequence != test.sequence || v.Superseded() != test.superseded {
				t.Errorf("got self %+v, superseded %v", self, v.Superseded())
			}
		})
	}
}

func TestUpstreamSignals(t *testing.T) {
	v := newView("a")
	if !v.UpstreamLeaving(epoch) || v.UpstreamLeaving(epoch) || len(v.Serving("faults")) != 0 {
		t.Fatal("want exactly one change to leaving and no live instance")
	}
	if !v.UpstreamReturned(epoch) || v.Self().Sequence != 1 || len(v.Serving("faults")) != 1 {
		t.Fatal("want live again with sequence 1 after the upstream returned")
	}
	v.Leave(epoch)
	if v.UpstreamReturned(epoch) || v.Self().State != Leaving {
		t.Fatal("the upstream's return undid an ordered leave")
	}
}

// Covers hard case 4: a daemon that was paused detects the gap before it acts.
func TestCase04PauseIsDetected(t *testing.T) {
	v := newView("a")
	v.Merge(record("b", 1, Live), epoch)
	v.Tick(at(0))
	if v.Tick(at(1)) != 0 || v.Stale(at(1)) {
		t.Fatal("pause detected without a gap")
	}
	if gap := v.Tick(at(31)); gap != 30*time.Second || !v.Stale(at(31)) {
		t.Fatalf("got gap %v, want 30s and a stale view", gap)
	}
	v.NoteReceived("b", 1, at(31))
	if !v.Stale(at(32)) {
		t.Fatal("a queued message ended the pause")
	}
	v.EndPause()
	if v.Stale(at(32)) {
		t.Fatal("EndPause did not end the pause")
	}
	v.Tick(at(90))
	if !v.Stale(at(95)) || v.Stale(at(101)) {
		t.Fatal("want a stale view until ResumeTimeout and not beyond")
	}
}

// Covers hard case 7: messages and records of an earlier incarnation of an ID do
// not affect the current one.
func TestCase07EarlierIncarnationIsIgnored(t *testing.T) {
	v := newView("a")
	v.Merge(record("b", 5, Live), epoch)
	if v.NoteReceived("b", 4, epoch) || !v.NoteReceived("b", 5, epoch) {
		t.Fatal("NoteReceived did not compare the incarnation")
	}
	if v.Merge(record("b", 4, Gone), epoch) || !v.Merge(record("b", 6, Live), epoch) {
		t.Fatal("Merge did not order the incarnations")
	}
}

// Covers hard case 8: a daemon isolated from most others suspects its own view
// first.
func TestCase08UncertainWhenIsolated(t *testing.T) {
	v := newView("a")
	for i := range 6 {
		v.Merge(record(fmt.Sprint("b", i), 1, Live), epoch)
	}
	for i := range 3 {
		v.NoteReceived(fmt.Sprint("b", i), 1, at(40))
	}
	if v.Uncertain(at(41)) {
		t.Fatal("uncertain with only half of the neighbours silent")
	}
	if !v.Uncertain(at(80)) {
		t.Fatal("not uncertain with all neighbours silent")
	}
	v = newView("a")
	var all []ListEntry
	for i := range 6 {
		all = append(all, entry(fmt.Sprint("b", i), Live))
	}
	v.MergeList(all, 1, at(1))
	v.MergeList(all[:1], 2, at(2))
	if changed := v.MergeList(all[:1], 3, at(60)); len(changed) != 0 || !v.Uncertain(at(60)) {
		t.Fatal("a list that lost most of the fleet was applied")
	}
	v.MergeList(all[:4], 4, at(61))
	if v.MergeList(all[:4], 5, at(62)); v.Uncertain(at(20)) {
		t.Fatal("still uncertain after the list recovered")
	}
}

func TestTombstones(t *testing.T) {
	v := newView("a")
	v.MergeList([]ListEntry{entry("b", Live)}, 1, epoch)
	v.Merge(record("b", 2, Live), at(1))
	v.Merge(record("b", 2, Gone), at(2))
	day := 24*3600 + 100
	v.Tick(at(day - 200))
	if _, ok := v.Lookup("b"); !ok || v.Merge(record("b", 2, Live), at(3)) {
		t.Fatal("tombstone removed or overridden before its TTL")
	}
	v.MergeList([]ListEntry{entry("b", Live)}, 2, at(day-150))
	if v.Tick(at(day)); v.Len() != 2 {
		t.Fatal("tombstone removed while the list still has the instance")
	}
	v.MergeList(nil, 3, at(day+1))
	if v.Tick(at(day + 100)); v.Len() != 1 {
		t.Fatal("tombstone not removed after its TTL")
	}
}

func TestRefutedAbsenceIsNotAppliedAgain(t *testing.T) {
	v := newView("a")
	others := []ListEntry{entry("c", Live), entry("d", Live)}
	v.MergeList(append(others, entry("b", Live)), 1, epoch)
	v.Merge(record("b", 2, Live), at(1))
	v.MergeList(others, 2, at(10))
	if changed := v.MergeList(others, 3, at(50)); len(changed) != 0 {
		t.Fatal("absence applied to an incarnation that was never listed")
	}
	v.MergeList(append(others, entry("b", Live)), 4, at(51))
	v.MergeList(others, 5, at(52))
	if changed := v.MergeList(others, 6, at(90)); len(changed) != 1 || changed[0].State != Gone {
		t.Fatalf("got changes %v, want b gone", changed)
	}
	if !v.Merge(liveAgain("b", 2), at(91)) || len(v.Serving("faults")) != 4 {
		t.Fatal("refutation not accepted")
	}
	if changed := v.MergeList(others, 7, at(600)); len(changed) != 0 {
		t.Fatal("the refuted absence was applied again")
	}
}

func drawRecord(t *rapid.T) Record {
	return Record{
		Instance:    instance(rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "id")),
		Incarnation: rapid.Uint64Range(0, 3).Draw(t, "incarnation"),
		Sequence:    rapid.Uint64Range(0, 2).Draw(t, "sequence"),
		State:       rapid.SampledFrom([]State{Live, Leaving, Gone}).Draw(t, "state"),
	}
}

// compareViews returns an error if two views differ in a record of b, c or d.
func compareViews(v, w *View) error {
	for _, id := range []string{"b", "c", "d"} {
		r, _ := v.Lookup(id)
		s, _ := w.Lookup(id)
		if r != s {
			return fmt.Errorf("records of %s differ: %+v and %+v", id, r, s)
		}
	}
	return nil
}

func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 20).Draw(t, "records")
		order := rapid.Permutation(append(sent, sent...)).Draw(t, "order")
		v, w := newView("a"), newView("a")
		for _, r := range sent {
			v.Merge(r, epoch)
		}
		for _, r := range order {
			w.Merge(r, epoch)
		}
		if err := compareViews(v, w); err != nil {
			t.Fatal(err)
		}
	})
}
