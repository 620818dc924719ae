package config_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pomelodoor.example/pomelodoor/config"
)

func zones(revision int, evacuated string) string {
	return fmt.Sprintf(`{"kind":"zones","revision":%d,"evacuated":%s}`, revision, evacuated)
}

// TestZonesDocument guards against an evacuation that ends, or hits another zone, through a
// slip in the document.
func TestZonesDocument(t *testing.T) {
	tests := map[string]struct{ text, fault string }{
		"none":              {zones(1, `[]`), ""},
		"any characters":    {zones(1, `["a b/c","zone \"ä\""]`), ""},
		"list missing":      {`{"kind":"zones","revision":1}`, "evacuated: is missing"},
		"misspelled":        {`{"kind":"zones","revision":1,"evacuated":[],"evacuate":["a"]}`, "evacuate: unknown field"},
		"not a list":        {zones(1, `"a"`), "want list"},
		"listed twice":      {zones(1, `["a","a"]`), "listed twice"},
		"empty name":        {zones(1, `[""]`), "is empty"},
		"control character": {zones(1, `["a\n"]`), "control character"},
		"long name":         {zones(1, `["`+strings.Repeat("a", 257)+`"]`), "longer than 256 bytes"},
		"revision 0":        {zones(0, `[]`), "revision: is 0"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d, err := config.ParseKey("zones.json", config.KeyZones, []byte(test.text))
			if faults := config.FormatFaults(err); (err == nil) != (test.fault == "") || !strings.Contains(faults, test.fault) {
				t.Fatalf("got faults %q, want %q", faults, test.fault)
			}
			if err == nil && (d.Zones() == nil || d.Kind() != config.KindZones || !config.ValidKey(d.Key())) {
				t.Fatalf("got %+v, want a zones document", d)
			}
		})
	}
	d := mustParse(t, zones(1, `["b","a"]`))
	if z := d.Zones(); !slices.Equal(z.Evacuated(), []string{"a", "b"}) || !z.Evacuates("b") || z.Evacuates("c") {
		t.Errorf("got %v", z.Evacuated())
	}
	if other := mustParse(t, zones(1, ` [ "a", "b" ]`)); other.Digest() != d.Digest() {
		t.Error("the order of zones changes the digest")
	}
}

// TestZonesOfEqualRevision guards against daemons that settle on different zones, or on
// fewer, when two operators write at the same time.
func TestZonesOfEqualRevision(t *testing.T) {
	for _, fewer := range []string{`[]`, `["c"]`} {
		more := mustParse(t, zones(4, `["a","b"]`))
		set := config.NewSet()
		set.Apply(mustParse(t, zones(4, fewer)))
		if changed, conflict := set.Apply(more); !changed || !conflict || !slices.Equal(set.EvacuatedZones(), []string{"a", "b"}) {
			t.Errorf("%v is in force beside %s", set.EvacuatedZones(), fewer)
		}
	}
	set := config.NewSet()
	set.Apply(mustParse(t, zones(4, `["a"]`)))
	set.Apply(mustParse(t, zones(5, `[]`)))
	if s := set.Status(); len(s.EvacuatedZones) > 0 {
		t.Errorf("%v is in force after the end of the evacuation", s.EvacuatedZones)
	}
}

func TestExplainEvacuation(t *testing.T) {
	e := config.Explain(mustParse(t, service("")).Service(), "desk", config.Candidate{Instance: "faults-1", AvailabilityZone: "a", Evacuated: true})
	if u := e.Upstreams[0]; u.Serves || !strings.Contains(e.String(), "- upstream faults-1 in a {}: its availability zone is evacuated") {
		t.Errorf("got %s", e)
	}
}
