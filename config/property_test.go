package config_test

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
	"pomelodoor.example/pomelodoor/config"
)

// TestServesAgreesWithLabels checks that Serves and Explain agree with the labels
// that Labels returns.
func TestServesAgreesWithLabels(t *testing.T) {
	names := rapid.SampledFrom([]string{"p", "q"})
	values := rapid.SampledFrom([]string{"1", "2"})
	set := rapid.MapOfN(names, values, 1, 2)
	patterns := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "ab", "a*", "b*", "*"}), 1, 3, rapid.ID[string])
	rapid.Check(t, func(t *rapid.T) {
		var rules []map[string]any
		for range rapid.IntRange(1, 4).Draw(t, "rules") {
			rule := map[string]any{"set": set.Draw(t, "set")}
			if rapid.Bool().Draw(t, "by instance") {
				rule["instances"] = patterns.Draw(t, "instances")
			}
			if rapid.Bool().Draw(t, "by zone") {
				rule["availabilityZones"] = patterns.Draw(t, "zones")
			}
			rules = append(rules, rule)
		}
		want := rapid.SampledFrom(rules).Draw(t, "wanted")["set"].(map[string]string)
		selector := map[string]any{"name": "x", "callers": patterns.Draw(t, "callers"), "upstreams": want}
		fields, err := json.Marshal(map[string]any{"labels": rules, "selectors": []any{selector}})
		if err != nil {
			t.Fatal(err)
		}
		d, err := config.Parse("test.json", []byte(service(","+string(fields[1:len(fields)-1]))))
		if err != nil {
			t.Fatal(config.FormatFaults(err))
		}
		checkServes(t, d.Service(), want)
	})
}

func checkServes(t *rapid.T, svc *config.Service, want map[string]string) {
	for _, caller := range []string{"a", "abc", "b", "c"} {
		sel, ok := svc.Select(caller)
		for _, instance := range []string{"a", "ab", "b", "c"} {
			labels := svc.Labels(instance, caller)
			serves := ok
			for name, value := range want {
				serves = serves && labels[name] == value
			}
			e := config.Explain(svc, caller, config.Candidate{Instance: instance, AvailabilityZone: caller})
			if svc.Serves(sel, instance, caller) != serves || e.Upstreams[0].Serves != serves || e.Upstreams[0].Why == "" {
				t.Fatalf("caller %s, instance %s: want serves %v, got explanation %v", instance, caller, serves, e)
			}
		}
	}
}

// TestParseRejectsUnknownFields adds an unknown field to an object of a valid
// document, on a separate line, and expects one fault on that line.
func TestParseRejectsUnknownFields(t *testing.T) {
	lines := strings.Split(faultsDocument, "\n")
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.IntRange(0, len(lines)-1).Draw(t, "line")
		starts := objectStarts(lines[at])
		if len(starts) == 0 {
			return
		}
		after := rapid.SampledFrom(starts).Draw(t, "object")
		added := rapid.SampledFrom([]string{`"extra":1,`, `"Name":"x",`, `"":null,`}).Draw(t, "added")
		changed := slices.Clone(lines)
		changed[at] = lines[at][:after] + "\n" + added + "\n" + lines[at][after:]
		_, err := config.Parse("f.json", []byte(strings.Join(changed, "\n")))
		var invalid *config.InvalidError
		if !errors.As(err, &invalid) || len(invalid.Faults()) != 1 || invalid.Faults()[0].Line != at+2 {
			t.Fatalf("want one fault on line %d, got %v", at+2, err)
		}
	})
}

// objectStarts returns the offset after the opening brace of each object that
// starts on a line. It leaves out label maps, which accept any field name.
func objectStarts(line string) []int {
	var starts []int
	for i := range line {
		if line[i] == '{' && !strings.HasPrefix(line[i:], `{"pool"`) {
			starts = append(starts, i+1)
		}
	}
	return starts
}
