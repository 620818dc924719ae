package daemon

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite docs/settings.md from the code")

const settingsPage = "../docs/settings.md"

// settingsTable returns the settings reference, generated from the struct tags
// that parse the settings.
func settingsTable() string {
	var b strings.Builder
	b.WriteString("# Settings of a daemon\n\n" +
		"Flags of `pomelodoor run`, or environment variables; a flag goes first. Every wrong one is\n" +
		"named at the start, with its flag. This page is made of the code:\n" +
		"`go test ./daemon -run TestSettingsPage -update`.\n\n" +
		"| flag | variable | default | |\n|---|---|---|---|\n")
	t := reflect.TypeFor[Settings]()
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		if tag.Get("arg") == "" {
			continue
		}
		name, env, defaultValue := "", "", tag.Get("default")
		for _, part := range strings.Split(tag.Get("arg"), ",") {
			switch {
			case strings.HasPrefix(part, "--"):
				name = part
			case strings.HasPrefix(part, "env:"):
				env = strings.TrimPrefix(part, "env:")
			case part == "required":
				defaultValue = "required"
			}
		}
		fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s |\n", name, env, defaultValue, tag.Get("help"))
	}
	return b.String()
}

// TestSettingsPage checks that the settings page matches the code.
func TestSettingsPage(t *testing.T) {
	want := settingsTable()
	if *update {
		if err := os.WriteFile(settingsPage, []byte(want), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(settingsPage)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Fatalf("%s differs from the code; regenerate it with -update", settingsPage)
	}
}
