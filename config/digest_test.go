package config_test

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
	"pomelodoor.example/pomelodoor/config"
)

func TestDigest(t *testing.T) {
	tests := map[string]struct {
		x, y string
		same bool
	}{
		"order of actions":       {switches(1, `,"allow":["retry","eject"]`), switches(1, `,"allow":["eject","retry"]`), true},
		"order of callers":       {service(`,"selectors":[{"name":"x","callers":["a","b"]}]`), service(`,"selectors":[{"name":"x","callers":["b","a"]}]`), true},
		"number notation":        {service(`,"budgets":{"retryPercent":10}`), service(`,"budgets":{"retryPercent":1.0e1}`), true},
		"negative zero":          {service(`,"budgets":{"retryPercent":0}`), service(`,"budgets":{"retryPercent":-0.0}`), true},
		"string escapes":         {service(""), strings.Replace(service(""), "faults", `f\u0061ults`, 1), true},
		"different number":       {service(`,"budgets":{"retryPercent":10}`), service(`,"budgets":{"retryPercent":10.5}`), false},
		"order of selectors":     {service(`,"selectors":[{"name":"x"},{"name":"y"}]`), service(`,"selectors":[{"name":"y"},{"name":"x"}]`), false},
		"empty and missing list": {service(`,"selectors":[]`), service(""), false},
		"different field":        {service(`,"limits":{"slots":9}`), service(`,"limits":{"queue":9}`), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			x, y := mustParse(t, tt.x).Digest(), mustParse(t, tt.y).Digest()
			if len(x) != 16 || (x == y) != tt.same {
				t.Errorf("unexpected digests %s and %s", x, y)
			}
		})
	}
}

// reformat encodes v as JSON with a random order of fields and random white space.
func reformat(t *rapid.T, v any) string {
	space := rapid.SampledFrom([]string{"", " ", "\n", "\t\r\n"}).Draw(t, "space")
	switch v := v.(type) {
	case map[string]any:
		names := make([]string, 0, len(v))
		for name := range v {
			names = append(names, name)
		}
		fields := make([]string, 0, len(v))
		for _, name := range rapid.Permutation(names).Draw(t, "names") {
			fields = append(fields, strconv.Quote(name)+space+":"+reformat(t, v[name]))
		}
		return "{" + space + strings.Join(fields, space+",") + "}" + space
	case []any:
		items := make([]string, 0, len(v))
		for _, item := range v {
			items = append(items, reformat(t, item))
		}
		return space + "[" + strings.Join(items, ","+space) + "]"
	case string:
		return strconv.Quote(v) + space
	}
	return fmt.Sprint(v) + space
}

func TestDigestIgnoresFormatting(t *testing.T) {
	want := mustParse(t, faultsDocument).Digest()
	var tree any
	if err := json.Unmarshal([]byte(faultsDocument), &tree); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		text := reformat(t, tree)
		d, err := config.Parse("test.json", []byte(text))
		if err != nil {
			t.Fatal(config.FormatFaults(err))
		}
		if d.Digest() != want {
			t.Fatalf("digest %s, want %s", d.Digest(), want)
		}
	})
}
