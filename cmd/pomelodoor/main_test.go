package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const goodService = `{"kind":"service","revision":1,"service":"faults",
 "labels":[{"instances":["faults-1"],"set":{"tier":"gold"}}],
 "selectors":[{"name":"dispatchers","callers":["dispatch-*"],"upstreams":{"tier":"gold"}}]}`

func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := write("good.json", goodService)
	hidden := write("hidden.json", strings.Replace(goodService, `"selectors":[`, `"selectors":[{"name":"all"},`, 1))
	newer := write("newer.json", strings.Replace(goodService, `"revision":1`, `"revision":2,"limits":{"slots":9}`, 1))
	bad := write("bad.json", "{\"kind\":\"service\",\n\"revision\":0,\n\"service\":\"faults\",\"colour\":1}")
	zones := write("zones.json", `{"kind":"zones","revision":1,"evacuated":["b"]}`)
	logFile := write("daemon.log", `{"time":"2026-12-04T10:00:00.300Z","prefix":"ingress","msg":"A request is answered.","id":"r1","call":"c1","status":503,"reason":"overloaded"}`)
	settings := strings.Fields("run --instance faults-1 --service faults --availability-zone a --listen 127.0.0.1:1 " +
		"--peer 127.0.0.1:2 --control 127.0.0.1:3 --admin 127.0.0.1:4 --upstream 127.0.0.1:5 --platform 127.0.0.1:6")
	cases := map[string]struct {
		args []string
		code int
		want []string
	}{
		"no command":          {nil, exitUsage, []string{"Usage:"}},
		"help":                {[]string{"--help"}, exitOK, []string{"run", "check", "explain", "status", "burn"}},
		"version":             {[]string{"version"}, exitOK, []string{"pomelodoor " + version}},
		"unknown flag":        {[]string{"run", "--colour"}, exitUsage, []string{"colour"}},
		"missing flags":       {[]string{"run"}, exitUsage, []string{"INSTANCE is required", "POMELODOOR_INSTANCE", "--instance"}},
		"bad address":         {append(settings, "--listen", "localhost:80"), exitUsage, []string{`--listen: "localhost:80" is not IP:PORT`}},
		"two bad settings":    {append(settings, "--log-level", "loud", "--drain-seconds", "-1"), exitUsage, []string{"--log-level", "--drain-seconds"}},
		"duplicate port":      {append(settings, "--peer", "127.0.0.1:1"), exitUsage, []string{"--peer", "already used by --listen"}},
		"check settings":      {append(settings, "--check"), exitOK, []string{"good: settings of"}},
		"check bad settings":  {append(settings, "--check", "--bind", "here", "--admin", "x"), exitUsage, []string{"--bind", "--admin"}},
		"check good":          {[]string{"check", good}, exitOK, []string{"good: services/faults revision 1"}},
		"check bad":           {[]string{"check", good, bad}, exitUsage, []string{"good.json: good: services/faults", "bad.json:2: revision", "bad.json:3: colour"}},
		"check no file":       {[]string{"check", filepath.Join(dir, "none")}, exitUsage, []string{"none:1: document: "}},
		"check empty dir":     {[]string{"check", t.TempDir()}, exitUsage, []string{"directory has no .json files"}},
		"check warnings":      {[]string{"check", hidden}, exitFault, []string{"hidden.json:3: selectors[1]: warning: ", "hidden.json: valid with warnings: services/faults revision 1"}},
		"check as JSON":       {[]string{"check", "--json", hidden}, exitFault, []string{`{"result":"warning",`, `"line":3,"field":"selectors[1]","text":`, `"severity":"warning"`}},
		"check against file":  {[]string{"check", "--against", good, newer}, exitOK, []string{"differences from", "  services/faults: number of calls that one upstream runs at once (limits.slots) is now 9, was 8"}},
		"check against same":  {[]string{"check", "--against", good, good}, exitOK, []string{"no difference from"}},
		"check against older": {[]string{"check", "--against", newer, good}, exitUsage, []string{"good.json:1: revision: is 1, and 2 is in force"}},
		"check against bad":   {[]string{"check", "--against", bad, good}, exitUsage, []string{"cannot check: --against", "bad.json:2"}},
		"check against none":  {[]string{"check", "--against", "http://127.0.0.1:1", good}, exitUsage, []string{"cannot check: --against: query 127.0.0.1:1"}},
		"check zones":         {[]string{"check", "--zones", `{"a":"north"}`, zones}, exitFault, []string{`zones.json:1: evacuated[0]: warning: zone "b" is not in --zones`}},
		"check bad zones":     {[]string{"check", "--zones", `["a"]`, zones}, exitUsage, []string{"cannot check: --zones"}},
		"check memory":        {[]string{"check", "--memory-mb", "8", newer}, exitFault, []string{"newer.json:1: limits.maxBodyBytes: warning: is 16777216, above the 3355443 bytes"}},
		"explain":             {[]string{"explain", "--caller", "dispatch-1", "--instance", "faults-1:a", "--instance", "faults-2:b", good}, exitOK, []string{"dispatchers", "faults-1", "faults-2"}},
		"explain evacuation":  {[]string{"explain", "--caller", "dispatch-1", "--instance", "faults-2:b", "--evacuation", zones, good}, exitOK, []string{"- upstream faults-2", "is evacuated"}},
		"explain other zones": {[]string{"explain", "--caller", "dispatch-1", "--evacuation", good, good}, exitFault, []string{"not a zones document"}},
		"trace":               {[]string{"trace", "--request", "r1", logFile}, exitOK, []string{"A request is answered.", "status=503", "reason=overloaded"}},
		"trace as JSON":       {[]string{"trace", "--request", "r1", "--json", logFile}, exitOK, []string{`"text":"A request is answered."`, `"shiftMs":0`}},
		"trace without query": {[]string{"trace", logFile}, exitFault, []string{"no request"}},
		"trace no match":      {[]string{"trace", "--request", "r2", logFile}, exitFault, []string{"no matching log line"}},
		"trace no file":       {[]string{"trace", "--request", "r1", filepath.Join(dir, "none")}, exitFault, []string{"none"}},
		"bind to host name":   {append(settings, "--bind", "localhost"), exitUsage, []string{`--bind: "localhost" is no IP`}},
		"status unreachable":  {[]string{"status", "127.0.0.1:1"}, exitFault, []string{"missing"}},
		"burn unreachable":    {[]string{"burn", "127.0.0.1:1"}, exitFault, []string{"missing"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if code := run(tc.args, &out, &out); code != tc.code {
				t.Errorf("got exit code %d, want %d", code, tc.code)
			}
			for _, text := range tc.want {
				if !strings.Contains(out.String(), text) {
					t.Errorf("output does not contain %q:\n%s", text, out.String())
				}
			}
		})
	}
}
