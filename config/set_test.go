package config_test

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
	"pomelodoor.example/pomelodoor/config"
)

func switches(revision int, fields string) string {
	return fmt.Sprintf(`{"kind":"switches","revision":%d%s}`, revision, fields)
}

func TestNewer(t *testing.T) {
	tests := map[string]struct{ newer, older string }{
		"higher revision":           {switches(8, `,"allow":["retry"]`), switches(7, `,"allOff":true`)},
		"all off":                   {switches(7, `,"allOff":true,"allow":["retry","eject"]`), switches(7, `,"allow":["eject"]`)},
		"fewer actions":             {switches(7, `,"allow":["probe"]`), switches(7, `,"allow":["eject","retry"]`)},
		"higher digest of services": {service(`,"limits":{"slots":9}`), service("")},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := mustParse(t, tt.newer), mustParse(t, tt.older)
			if name == "higher digest of services" && a.Digest() < b.Digest() {
				a, b = b, a
			}
			if !config.Newer(a, b) || config.Newer(b, a) || config.Newer(a, a) {
				t.Error("Newer returns the wrong order")
			}
			set := config.NewSet()
			set.Apply(b)
			if changed, conflict := set.Apply(a); !changed || conflict != (a.Revision() == b.Revision()) {
				t.Errorf("Apply of the newer document: got changed %v, conflict %v", changed, conflict)
			}
			if changed, _ := set.Apply(b); changed {
				t.Error("Apply replaced a newer document with an older one")
			}
			if len(set.Conflicts()) > 0 && set.Conflicts()[0].Refused != b.Digest() {
				t.Errorf("wrong conflicts %v", set.Conflicts())
			}
		})
	}
}

func TestAllowed(t *testing.T) {
	set := config.NewSet()
	set.Confirm()
	if set.Allowed(config.Retry) {
		t.Error("retry is allowed without a document")
	}
	set.Apply(mustParse(t, switches(1, `,"allow":["retry"]`)))
	if !set.Allowed(config.Retry) || set.Allowed(config.Hedge) || set.Allowed("other") {
		t.Error("the allowed actions differ from the list")
	}
	set.Unconfirm()
	if set.Allowed(config.Retry) {
		t.Error("retry is allowed after Unconfirm")
	}
	set.Confirm()
	set.Apply(mustParse(t, switches(2, `,"allOff":true,"allow":["retry"]`)))
	set.Apply(mustParse(t, switches(1, `,"allow":["retry"]`)))
	if set.Allowed(config.Retry) {
		t.Error("retry is allowed although all actions are off")
	}
}

func TestReject(t *testing.T) {
	now := time.Unix(1000, 0)
	valid := mustParse(t, service(""))
	set := config.NewSet()
	set.Apply(valid)
	_, err := config.Parse("f.json", []byte(strings.Replace(service(`,"x":1`), `:1,`, `:2,`, 1)))
	set.Reject(valid.Key(), "f.json", err, now)
	set.Apply(valid)
	if got := set.Rejections(); len(got) != 1 || got[0].Revision != 2 || got[0].Faults[0].Field != "x" || !got[0].At.Equal(now) {
		t.Errorf("wrong rejections %+v", got)
	}
	if d, ok := set.Document(valid.Key()); !ok || d.Digest() != valid.Digest() {
		t.Error("the last valid document is not in force")
	}
	set.Apply(mustParse(t, strings.Replace(service(""), `:1,`, `:2,`, 1)))
	if got := set.Rejections(); len(got) != 0 {
		t.Errorf("rejection not resolved: %+v", got)
	}
	set.Reject("switches", "f.json", fmt.Errorf("read: refused"), now)
	if got := set.Rejections(); len(got) != 1 || got[0].Faults[0].Text != "read: refused" {
		t.Errorf("wrong rejections %+v", got)
	}
	set.ClearRejection("switches")
	_, syntax := config.Parse("f.json", []byte("{"))
	set.Reject(valid.Key(), "f.json", syntax, now)
	set.Apply(valid)
	if got := set.Rejections(); len(got) != 1 {
		t.Errorf("applying an old document resolved the rejection: %+v", got)
	}
	set.Apply(mustParse(t, strings.Replace(service(""), `:1,`, `:3,`, 1)))
	if got := set.Rejections(); len(got) != 0 {
		t.Errorf("rejection not resolved: %+v", got)
	}
	for i := range 70 {
		set.Reject(fmt.Sprintf("services/s%02d", i), "f.json", err, now.Add(time.Duration(i)))
	}
	if got := set.Rejections(); len(got) != 64 || got[0].Key != "services/s06" {
		t.Errorf("got %d rejections starting with %s, want 64 starting with services/s06", len(got), got[0].Key)
	}
}

// drawDocuments returns documents with few distinct keys and revisions, so that
// many of them compete.
func drawDocuments(t *rapid.T) []config.Document {
	texts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) string {
		revision := rapid.IntRange(1, 4).Draw(t, "revision")
		if rapid.Bool().Draw(t, "switches") {
			allow := rapid.SliceOfDistinct(rapid.SampledFrom(config.Actions()), rapid.ID[config.Action]).Draw(t, "allow")
			quoted := strings.ReplaceAll(fmt.Sprintf("%q", allow), " ", ",")
			return switches(revision, fmt.Sprintf(`,"allOff":%v,"allow":%s`, rapid.Bool().Draw(t, "allOff"), quoted))
		}
		name := rapid.SampledFrom([]string{"faults", "orders"}).Draw(t, "service")
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		return fmt.Sprintf(`{"kind":"service","revision":%d,"service":%q,"limits":{"slots":%d}}`, revision, name, slots)
	}), 1, 12).Draw(t, "documents")
	documents := make([]config.Document, 0, len(texts))
	for _, text := range texts {
		d, err := config.Parse("test.json", []byte(text))
		if err != nil {
			t.Fatal(config.FormatFaults(err))
		}
		documents = append(documents, d)
	}
	return documents
}

func state(s *config.Set) string {
	text := fmt.Sprintf("%016x", s.Summary())
	for _, d := range s.Documents() {
		text += fmt.Sprintf(" %s %d %s", d.Key(), d.Revision(), d.Digest())
	}
	for _, a := range config.Actions() {
		text += fmt.Sprintf(" %v", s.Allowed(a))
	}
	return text
}

func TestApplyConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		documents := drawDocuments(t)
		again := rapid.SliceOf(rapid.SampledFrom(documents)).Draw(t, "repeats")
		order := rapid.Permutation(append(slices.Clone(documents), again...)).Draw(t, "order")
		x, y := config.NewSet(), config.NewSet()
		x.Confirm()
		y.Confirm()
		for _, d := range documents {
			x.Apply(d)
		}
		for _, d := range order {
			before, _ := y.Document(d.Key())
			changed, conflict := y.Apply(d)
			after, _ := y.Document(d.Key())
			if config.Newer(before, after) || config.Newer(d, after) {
				t.Fatalf("%s: an older document replaced a newer one, revision %d before, %d after", d.Key(), before.Revision(), after.Revision())
			}
			if changed != (before.Digest() != after.Digest() || before.Revision() != after.Revision()) {
				t.Fatalf("wrong result: changed %v", changed)
			}
			if conflict && before.Revision() != d.Revision() {
				t.Fatal("conflict reported for different revisions")
			}
			if conflict && before.Digest() == d.Digest() {
				t.Fatal("conflict reported for equal documents")
			}
		}
		if state(x) != state(y) {
			t.Fatalf("sets differ:\n%s\n%s", state(x), state(y))
		}
	})
}

func TestNewerIsTotalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		documents := drawDocuments(t)
		a, b, c := rapid.SampledFrom(documents).Draw(t, "a"), rapid.SampledFrom(documents).Draw(t, "b"), rapid.SampledFrom(documents).Draw(t, "c")
		if a.Key() != b.Key() || b.Key() != c.Key() {
			return
		}
		same := a.Digest() == b.Digest()
		if same == (config.Newer(a, b) != config.Newer(b, a)) {
			t.Fatal("want exactly one of two different documents to be newer")
		}
		if config.Newer(a, b) && config.Newer(b, c) && !config.Newer(a, c) {
			t.Fatal("Newer is not transitive")
		}
		aMajor, aMinor := a.Version()
		bMajor, bMinor := b.Version()
		if config.Newer(a, b) != (aMajor > bMajor || aMajor == bMajor && aMinor > bMinor) {
			t.Fatal("Version differs from Newer")
		}
		if same && !reflect.DeepEqual(a.Switches(), b.Switches()) {
			t.Fatal("documents with the same digest have different switches")
		}
	})
}
