package main

import (
	"os"
	"testing"
)

// TestUnsetPlaceholders guards against a daemon that does not start on a platform that
// knows fewer placeholders than the deploy file has.
func TestUnsetPlaceholders(t *testing.T) {
	tests := map[string]struct{ value, want string }{
		"a placeholder":  {"{{zones}}", ""},
		"a rendered one": {`{"a":"north"}`, `{"a":"north"}`},
		"nested table":   {`{"a":{"b":"c"}}`, `{"a":{"b":"c"}}`},
		"empty":          {"", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Setenv("POMELODOOR_ZONES", test.value)
			unsetPlaceholders()
			if got := os.Getenv("POMELODOOR_ZONES"); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
