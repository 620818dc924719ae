package lint_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pomelodoor.example/pomelodoor/lint"
)

var (
	names    = []string{"a", "b", "aa", "ab", "ba", "bb", "aab", "abb", "ac", "c"}
	patterns = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"*", "a", "a*", "ab", "ab*", "b", "b*", "aa*"}), 1, 3, rapid.ID[string])
)

// TestReportedSelectorsNeverServe guards against a report that tells an operator to remove a
// selector that serves callers, and against a selector that serves none without a report.
func TestReportedSelectorsNeverServe(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var labels, selectors []map[string]any
		for range rapid.IntRange(1, 4).Draw(rt, "rules") {
			labels = append(labels, map[string]any{"instances": patterns.Draw(rt, "instances"), "availabilityZones": patterns.Draw(rt, "zones"),
				"set": map[string]string{rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "label"): rapid.SampledFrom([]string{"1", "2"}).Draw(rt, "value")}})
		}
		labels = append(labels, map[string]any{"instances": []string{"none"}, "availabilityZones": []string{"none"}, "set": map[string]string{"x": "1", "y": "1"}})
		for i := range rapid.IntRange(1, 4).Draw(rt, "selectors") {
			selectors = append(selectors, map[string]any{"name": names[i], "callers": patterns.Draw(rt, "callers"),
				"upstreams": map[string]string{rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "label"): "1", "x": "1"}})
		}
		text, err := json.Marshal(map[string]any{"kind": "service", "revision": 1, "service": "s", "labels": labels, "selectors": selectors})
		if err != nil {
			rt.Fatal(err)
		}
		d := parse(t, "s.json", string(text))
		var got string
		for _, f := range lint.Check(lint.Input{Sources: []lint.Source{{File: "s.json", Document: d}}}) {
			got += f.Field + " " + f.Text + "\n"
		}
		places := append([]string{"none"}, names...)
		for i, s := range d.Service().Selectors() {
			serves := slices.ContainsFunc(places, func(instance string) bool {
				return slices.ContainsFunc(places, func(zone string) bool { return d.Service().Serves(s, instance, zone) })
			})
			used := slices.ContainsFunc(names, func(caller string) bool {
				chosen, ok := d.Service().Select(caller)
				return ok && chosen == s
			})
			field := "selectors[" + string(rune('0'+i)) + "]"
			if noInstance := strings.Contains(got, field+".upstreams no instance"); noInstance == serves {
				rt.Fatalf("%s serves: %t; findings:\n%s%s", field, serves, got, text)
			}
			if hidden := strings.Contains(got, field+" selector "+s.Name()+" never applies"); hidden && used {
				rt.Fatalf("%s serves callers; findings:\n%s%s", field, got, text)
			}
		}
	})
}
