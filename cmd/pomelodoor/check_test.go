package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/ingress"
)

// example returns the JSON example of a kind in a page of the documentation.
func example(t *testing.T, page string, kind config.Kind) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../../docs", page))
	if err != nil {
		t.Fatal(err)
	}
	for _, block := range regexp.MustCompile("(?s)```json\n(.*?)```").FindAllStringSubmatch(string(text), -1) {
		if d, err := config.Parse(page, []byte(block[1])); err == nil && d.Kind() == kind {
			return block[1]
		}
	}
	t.Fatalf("%s has no example of kind %s", page, kind)
	return ""
}

// TestDocumentedChecks guards against examples on the page that the command does not
// reproduce.
func TestDocumentedChecks(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]string{
		"faults.json":   example(t, "configuration.md", config.KindService),
		"routes.json":   example(t, "configuration.md", config.KindRoutes),
		"switches.json": example(t, "configuration.md", config.KindSwitches),
		"zones.json":    example(t, "configuration.md", config.KindZones),
		"holiday.json":  example(t, "operators/holiday.md", config.KindSwitches),
	}
	files["next.json"] = strings.NewReplacer(`"revision": 12`, `"revision": 13`, `"targetMs": 400`, `"targetMs": 600`).Replace(files["routes.json"])
	t.Chdir(t.TempDir())
	for name, text := range files {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	blocks := regexp.MustCompile("(?s)```console\n\\$ pomelodoor ([^\n]*)\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	if len(blocks) != 3 {
		t.Fatalf("got %d examples, want 3", len(blocks))
	}
	for _, block := range blocks {
		var out bytes.Buffer
		run(strings.Fields(block[1]), &out, &out)
		if out.String() != block[2] {
			t.Errorf("pomelodoor %s prints\n%swant\n%s", block[1], out.String(), block[2])
		}
	}
}

// TestCheckAgainstDaemon guards against a comparison with a part of what is in force.
func TestCheckAgainstDaemon(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "sub", "newer.json")
	if err := os.Mkdir(filepath.Dir(file), 0o700); err != nil {
		t.Fatal(err)
	}
	newer := strings.Replace(goodService, `"revision":1`, `"revision":2,"limits":{"slots":9}`, 1)
	if err := os.WriteFile(file, []byte(newer), 0o600); err != nil {
		t.Fatal(err)
	}
	page := fmt.Sprintf(`{"documents":[{"key":"services/faults","document":%s},
{"key":"zones","document":{"kind":"zones","revision":1,"evacuated":[]}}]}`, goodService)
	tests := map[string]struct {
		page string
		code int
		want string
	}{
		"complete":       {page, exitOK, `"changes":[{"key":"services/faults","text":"revision is now 2, was 1"},{"key":"services/faults","text":"number of calls`},
		"other page":     {`{}`, exitUsage, "incomplete list of documents"},
		"under a key":    {strings.Replace(page, "services/faults", "services/orders", 1), exitUsage, "belongs under the key services/faults"},
		"none in force":  {`{"documents":[]}`, exitOK, `"text":"is new, revision 2"`},
		"not found":      {"", exitUsage, "unexpected HTTP status: 404"},
		"no valid JSON":  {page[:len(page)-1], exitUsage, "unexpected end of JSON"},
		"older in force": {strings.Replace(page, `"revision":1`, `"revision":3`, 1), exitUsage, "is 2, and 3 is in force"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server, err := ingress.Start(ingress.Config{Listen: "127.0.0.1:0", Handle: func(ctx *fasthttp.RequestCtx) {
				if string(ctx.Path()) != "/documents" || test.page == "" {
					ctx.Error("", fasthttp.StatusNotFound)
					return
				}
				ctx.SetBodyString(test.page)
			}})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = server.Shutdown(t.Context()) })
			var out bytes.Buffer
			code := run([]string{"check", "--json", "--against", "http://" + server.Address() + "/", dir}, &out, &out)
			if code != test.code || !strings.Contains(out.String(), test.want) {
				t.Errorf("got exit code %d, want %d; output without %q:\n%s", code, test.code, test.want, out.String())
			}
			if code == exitOK && !json.Valid(out.Bytes()) {
				t.Errorf("the output is not valid JSON: %s", out.String())
			}
		})
	}
}

// TestPrintLine guards against names in documents that forge a line of the report.
func TestPrintLine(t *testing.T) {
	var out bytes.Buffer
	printLine(&out, "route a\nb\x1b[2J")
	if got := out.String(); got != "route a\uFFFDb\uFFFD[2J\n" {
		t.Errorf("got %q", got)
	}
}
