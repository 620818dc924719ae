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

func returned(id string, incarnation uint64) Record {
	r := record(id, incarnation, Live)
	r.Sequence = 1
	return r
}

func entry(id string, state State) ListEntry {
	return ListEntry{Instance: instance(id), State: state}
}

// list is one reading of the platform's list.
type list struct {
	second  int
	version uint64
	entries []ListEntry
}

func TestMergeList(t *testing.T) {
	filler := []ListEntry{entry("x1", Live), entry("x2", Live), entry("x3", Live)}
	with := func(entries ...ListEntry) []ListEntry { return append(entries, filler...) }
	tests := map[string]struct {
		word  []Record
		lists []list
		want  State
	}{
		"introduces":                  {nil, []list{{1, 1, with(entry("b", Live))}}, Live},
		"introduces a leaving one":    {nil, []list{{1, 1, with(entry("b", Leaving))}}, Leaving},
		"marks leaving":               {nil, []list{{1, 1, with(entry("b", Live))}, {2, 2, with(entry("b", Leaving))}}, Leaving},
		"older version is ignored":    {nil, []list{{1, 5, with(entry("b", Live))}, {2, 4, with(entry("b", Leaving))}}, Live},
		"never back from leaving":     {nil, []list{{1, 1, with(entry("b", Leaving))}, {2, 2, with(entry("b", Live))}}, Leaving},
		"never back from gone":        {[]Record{record("b", 3, Gone)}, []list{{1, 1, with(entry("b", Live))}, {99, 2, with(entry("b", Live))}}, Gone},
		"absence within lag":          {nil, []list{{1, 1, with(entry("b", Live))}, {2, 2, with()}, {30, 3, with()}}, Live},
		"absence beyond lag":          {nil, []list{{1, 1, with(entry("b", Live))}, {2, 2, with()}, {60, 3, with()}}, Gone},
		"same version beyond lag":     {nil, []list{{1, 1, with(entry("b", Live))}, {2, 2, with()}, {60, 2, with()}}, Gone},
		"never listed, list stuck":    {[]Record{record("b", 3, Live)}, []list{{1, 0, with()}, {600, 0, with()}, {900, 0, with()}}, Live},
		"leaving of the earlier life": {[]Record{record("b", 3, Live)}, []list{{1, 1, with(entry("b", Leaving))}}, Live},
		"leaving of this life": {[]Record{record("b", 3, Live)},
			[]list{{1, 1, with(entry("b", Live))}, {2, 2, with(entry("b", Leaving))}}, Leaving},
		"leaving before the upstream returned": {[]Record{record("b", 3, Live), record("b", 3, Leaving), returned("b", 3)},
			[]list{{1, 1, with(entry("b", Leaving))}}, Live},
		"leaving long after the start": {[]Record{record("b", 3, Live)},
			[]list{{1, 1, with(entry("b", Leaving))}, {60, 2, with(entry("b", Leaving))}}, Leaving},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newView("a")
			for _, r := range test.word {
				v.Merge(r, epoch)
			}
			for _, l := range test.lists {
				v.MergeList(l.entries, l.version, at(l.second))
			}
			if got, _ := v.Lookup("b"); got.State != test.want {
				t.Errorf("state %q, want %q", got.State, test.want)
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
		"old life is ignored":           {nil, record("a", 9, Gone), Live, 0, false},
		"gone is refuted":               {nil, record("a", 10, Gone), Live, 1, false},
		"leaving is obeyed":             {nil, record("a", 10, Leaving), Leaving, 0, false},
		"newer life supersedes":         {nil, record("a", 11, Live), Live, 0, true},
		"gone after finish is accepted": {func(v *View) { v.Finish(epoch) }, record("a", 10, Gone), Gone, 0, false},
		"leaving stays leaving":         {func(v *View) { v.Leave(epoch) }, record("a", 10, Gone), Leaving, 1, false},
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
				t.Errorf("self %+v, superseded %v", self, v.Superseded())
			}
		})
	}
}

func TestUpstreamSignals(t *testing.T) {
	v := newView("a")
	if !v.UpstreamLeaving(epoch) || v.UpstreamLeaving(epoch) || len(v.Serving("faults")) != 0 {
		t.Fatal("leaving is not announced once")
	}
	if !v.UpstreamReturned(epoch) || v.Self().Sequence != 1 || len(v.Serving("faults")) != 1 {
		t.Fatal("a new upstream is not announced")
	}
	v.Leave(epoch)
	if v.UpstreamReturned(epoch) || v.Self().State != Leaving {
		t.Fatal("an ordered leave was undone")
	}
}

// Hard case 4: a paused daemon notices the gap before it acts.
func TestCase04WakesStale(t *testing.T) {
	v := newView("a")
	v.Merge(record("b", 1, Live), epoch)
	v.Tick(at(0))
	if v.Tick(at(1)) != 0 || v.Paused(at(1)) {
		t.Fatal("paused without a gap")
	}
	if gap := v.Tick(at(31)); gap != 30*time.Second || !v.Paused(at(31)) {
		t.Fatalf("gap %v not noticed", gap)
	}
	v.Heard("b", 1, at(31))
	if !v.Paused(at(32)) {
		t.Fatal("a queued word ended the pause")
	}
	v.Fresh()
	if v.Paused(at(32)) {
		t.Fatal("fresh word did not end the pause")
	}
	v.Tick(at(90))
	if !v.Paused(at(95)) || v.Paused(at(101)) {
		t.Fatal("the wait for fresh word is not bounded")
	}
}

// Hard case 7: words of an earlier life of an ID say nothing of the present.
func TestCase07EarlierLife(t *testing.T) {
	v := newView("a")
	v.Merge(record("b", 5, Live), epoch)
	if v.Heard("b", 4, epoch) || !v.Heard("b", 5, epoch) {
		t.Fatal("incarnation not compared")
	}
	if v.Merge(record("b", 4, Gone), epoch) || !v.Merge(record("b", 6, Live), epoch) {
		t.Fatal("order of lives not kept")
	}
}

// Hard case 8: cut off from most, a daemon doubts itself first.
func TestCase08DoubtsItself(t *testing.T) {
	v := newView("a")
	for i := range 6 {
		v.Merge(record(fmt.Sprint("b", i), 1, Live), epoch)
	}
	for i := range 3 {
		v.Heard(fmt.Sprint("b", i), 1, at(40))
	}
	if v.Doubt(at(41)) {
		t.Fatal("half silent is not most")
	}
	if !v.Doubt(at(80)) {
		t.Fatal("all silent and no doubt")
	}
	v = newView("a")
	var all []ListEntry
	for i := range 6 {
		all = append(all, entry(fmt.Sprint("b", i), Live))
	}
	v.MergeList(all, 1, at(1))
	v.MergeList(all[:1], 2, at(2))
	if changed := v.MergeList(all[:1], 3, at(60)); len(changed) != 0 || !v.Doubt(at(60)) {
		t.Fatal("a list that lost most of the fleet was believed")
	}
	v.MergeList(all[:4], 4, at(61))
	if v.MergeList(all[:4], 5, at(62)); v.Doubt(at(20)) {
		t.Fatal("still in doubt")
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
		t.Fatal("tombstone forgotten early")
	}
	v.MergeList([]ListEntry{entry("b", Live)}, 2, at(day-150))
	if v.Tick(at(day)); v.Len() != 2 {
		t.Fatal("tombstone forgotten while the list still shows it")
	}
	v.MergeList(nil, 3, at(day+1))
	if v.Tick(at(day + 100)); v.Len() != 1 {
		t.Fatal("tombstone kept for ever")
	}
}

func TestRefutedAbsence(t *testing.T) {
	v := newView("a")
	others := []ListEntry{entry("c", Live), entry("d", Live)}
	v.MergeList(append(others, entry("b", Live)), 1, epoch)
	v.Merge(record("b", 2, Live), at(1))
	v.MergeList(others, 2, at(10))
	if changed := v.MergeList(others, 3, at(50)); len(changed) != 0 {
		t.Fatal("list spoke of an incarnation that it has not shown")
	}
	v.MergeList(append(others, entry("b", Live)), 4, at(51))
	v.MergeList(others, 5, at(52))
	if changed := v.MergeList(others, 6, at(90)); len(changed) != 1 || changed[0].State != Gone {
		t.Fatalf("absence not believed: %v", changed)
	}
	if !v.Merge(returned("b", 2), at(91)) || len(v.Serving("faults")) != 4 {
		t.Fatal("denial not accepted")
	}
	if changed := v.MergeList(others, 7, at(600)); len(changed) != 0 {
		t.Fatal("the same absence counted twice")
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

// sameFleet compares what two views know of all others.
func sameFleet(v, w *View) error {
	for _, id := range []string{"b", "c", "d"} {
		r, _ := v.Lookup(id)
		s, _ := w.Lookup(id)
		if r != s {
			return fmt.Errorf("%s: %+v and %+v", id, r, s)
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
		if err := sameFleet(v, w); err != nil {
			t.Fatal(err)
		}
	})
}
