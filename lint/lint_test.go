package lint_test

import (
	"fmt"
	"strings"
	"testing"

	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/lint"
)

const (
	serviceText = `{"kind":"service","revision":2,"service":"faults",
"labels":[
{"availabilityZones":["a","b"],"set":{"pool":"day"}},
{"instances":["faults-1","faults-2*"],"set":{"pool":"night"}}],
"selectors":[
{"name":"scans","callers":["scan-*"],"upstreams":{"pool":"night"}},
{"name":"everyone"}],
"priorities":[{"callers":["dispatch-*"],"priority":"high"},{"callers":["scan-*"],"priority":"low"}],
"limits":{"timeoutMs":10000,"maxBodyBytes":1000},
"budgets":{"retryPercent":5}}`
	routesText = `{"kind":"routes","revision":4,"maxBodyBytes":1000,
"services":[
{"service":"faults","connections":160,"coldMs":3000,"coldPerSecond":13},
{"service":"orders","connections":240}],
"routes":[
{"name":"x","host":"h","prefix":"/x/","timeoutMs":1000,"targetMs":400,"attempts":2,"parts":[{"service":"faults","weight":1}]},
{"name":"all","host":"h","prefix":"/","parts":[{"service":"faults","weight":10},{"service":"orders","weight":90}]}]}`
	switchesText = `{"kind":"switches","revision":3,
"allow":["retry","shed"]}`
	zonesText = `{"kind":"zones","revision":3,
"evacuated":["a"]}`
)

var table = map[string]string{"a": "north", "b": "south"}

func parse(t testing.TB, file, text string) config.Document {
	t.Helper()
	d, err := config.Parse(file, []byte(text))
	if err != nil {
		t.Fatal(config.FormatFaults(err))
	}
	return d
}

// change replaces text in a document, and fails if the document does not contain it.
func change(t testing.TB, text string, replacements ...string) string {
	t.Helper()
	for i := 0; i < len(replacements); i += 2 {
		if !strings.Contains(text, replacements[i]) {
			t.Fatalf("the document does not contain %q", replacements[i])
		}
		text = strings.Replace(text, replacements[i], replacements[i+1], 1)
	}
	return text
}

// TestFindings guards against documents that do not do what they say and are reported
// nowhere, and against reports about documents without fault.
func TestFindings(t *testing.T) {
	tests := map[string]struct {
		// texts are the documents to check; the first is named f.json.
		texts   []string
		inForce []string
		input   lint.Input
		want    []string
	}{
		"all good": {texts: []string{change(t, serviceText, `"priorities":[{"callers":["dispatch-*"],"priority":"high"},{"callers":["scan-*"],"priority":"low"}],`, ""), routesText, switchesText, zonesText},
			input: lint.Input{Regions: table, AccountBytes: 1000}},
		"hidden route": {texts: []string{change(t, routesText, `"prefix":"/x/"`, `"prefix":"/"`)},
			want: []string{"f.json:7: routes[1].prefix: warning: the route never matches: x (routes[0]) has the same host and prefix"}},
		"same prefix of another host": {texts: []string{change(t, routesText, `"host":"h","prefix":"/x/"`, `"host":"i","prefix":"/"`)}},
		"route name twice": {texts: []string{change(t, routesText, `"name":"all"`, `"name":"x"`)},
			want: []string{"f.json:7: routes[1].name: warning: routes[0] has the same name"}},
		"closed routes": {texts: []string{change(t, routesText, `"prefix":"/"`, `"prefix":"/","closed":true`)},
			want: []string{
				"f.json:4: services[1].service: warning: only closed routes lead to orders",
				"f.json:7: routes[1].closed: warning: every request for h/ is refused"}},
		"service without route": {texts: []string{change(t, routesText, `,{"service":"orders","weight":90}`, "")},
			want: []string{"f.json:4: services[1].service: warning: no route leads to orders"}},
		"document without route": {texts: []string{`{"kind":"service","revision":1,"service":"other"}`}, inForce: []string{routesText},
			want: []string{"f.json:1: service: warning: no route leads to other"}},
		"tiny weight": {texts: []string{change(t, routesText, `"weight":90`, `"weight":10000`)},
			want: []string{"f.json:7: routes[1].parts[0].weight: warning: faults gets 10 of 10010 requests, less than a thousandth"}},
		"weight of a thousandth": {texts: []string{change(t, routesText, `"weight":90`, `"weight":9990`)}},
		"service twice in a route": {texts: []string{change(t, routesText, `{"service":"orders","weight":90}`, `{"service":"orders","weight":90},{"service":"faults","weight":1}`)},
			want: []string{"f.json:7: routes[1].parts[2].service: warning: faults is listed twice"}},
		"target above timeout": {texts: []string{change(t, routesText, `"targetMs":400`, `"targetMs":1001`)},
			want: []string{"f.json:6: routes[0].targetMs: warning: is 1.001s, above the timeout of 1s"}},
		"attempts do not fit": {texts: []string{change(t, routesText, `"attempts":2`, `"attempts":3`)},
			want: []string{"f.json:6: routes[0].attempts: warning: is 3, but the timeout of 1s has room for 2 attempts of 400ms (targetMs)"}},
		"omitted target": {texts: []string{change(t, routesText, `"targetMs":400,`, "")}},
		"timeout above that of the service": {texts: []string{routesText}, inForce: []string{change(t, serviceText, `"timeoutMs":10000`, `"timeoutMs":900`)},
			want: []string{"f.json:6: routes[0].timeoutMs: warning: is 1s, but limits.timeoutMs of service faults ends its requests after 900ms"}},
		"cold limit of 0": {texts: []string{change(t, routesText, `,"coldPerSecond":13`, "")},
			want: []string{"f.json:3: services[0].coldPerSecond: warning: is 0 although coldMs is 3s"}},
		"cold limit below 1": {texts: []string{change(t, routesText, `"coldPerSecond":13`, `"coldPerSecond":0.5`)},
			want: []string{"f.json:3: services[0].coldPerSecond: warning: is 0.5: at least one"}},
		"connections below slots": {texts: []string{change(t, routesText, `"connections":240`, `"connections":7`)},
			want: []string{"f.json:4: services[1].connections: warning: is 7, below the default of 8 slots"}},
		"connections set twice": {texts: []string{change(t, routesText, `"connections":160`, `"connections":99`)}, inForce: []string{serviceText},
			want: []string{"f.json:3: services[0].connections: warning: has no effect: the document services/faults allows 160"}},
		"body above memory": {texts: []string{routesText}, input: lint.Input{AccountBytes: 999},
			want: []string{"f.json:1: maxBodyBytes: warning: is 1000, above the 999 bytes"}},
		"service body above memory": {texts: []string{serviceText}, input: lint.Input{AccountBytes: 999},
			want: []string{"f.json:9: limits.maxBodyBytes: warning: is 1000, above the 999 bytes"}},
		"no caller served": {texts: []string{routesText}, inForce: []string{`{"kind":"service","revision":1,"service":"faults","selectors":[]}`},
			want: []string{
				"f.json:6: routes[0].parts: warning: no service of the route serves any caller",
				"f.json:7: routes[1].parts[0].service: warning: faults serves no caller"}},
		"empty selectors": {texts: []string{`{"kind":"service","revision":1,"service":"faults","selectors":[]}`},
			want: []string{"f.json:1: selectors: warning: is empty: the service serves no caller"}},
		"routes beside a service document": {texts: []string{serviceText}, inForce: []string{change(t, routesText, `"maxBodyBytes":1000`, `"maxBodyBytes":2000`)},
			want: []string{
				"f.json:8: priorities: warning: has no effect beside a routes document",
				"f.json:9: limits.maxBodyBytes: warning: has no effect beside a routes document, whose limit of 2000 applies"}},
		"selector hidden": {texts: []string{change(t, serviceText, `{"name":"everyone"}`, `{"name":"deep","callers":["scan-a*","scan-b"]}`)},
			want: []string{"f.json:7: selectors[1]: warning: selector deep never applies: selector scans comes first"}},
		"caller hidden": {texts: []string{change(t, serviceText, `{"name":"everyone"}`, `{"name":"deep","callers":["desk","scan-a"]}`)},
			want: []string{"f.json:7: selectors[1].callers[1]: warning: scan-a has no effect: selector scans comes first"}},
		"wider caller is not hidden": {texts: []string{change(t, serviceText, `{"name":"everyone"}`, `{"name":"deep","callers":["scan*"]}`)}},
		"priority hidden": {texts: []string{change(t, serviceText, `"callers":["dispatch-*"],`, "")},
			want: []string{"f.json:8: priorities[1]: warning: priorities[1] (scan-*) never applies: priorities[0] (*) comes first"}},
		"no instance has both labels": {texts: []string{change(t, serviceText,
			`{"instances":["faults-1","faults-2*"],"set":{"pool":"night"}}`, `{"instances":["faults-1"],"set":{"pool":"night"}},{"instances":["faults-2"],"set":{"disk":"ssd"}}`,
			`"upstreams":{"pool":"night"}`, `"upstreams":{"pool":"night","disk":"ssd"}`)},
			want: []string{"f.json:6: selectors[0].upstreams: warning: no instance that the rules in labels describe has disk=ssd and pool=night"}},
		"label overridden": {texts: []string{change(t, serviceText, `{"availabilityZones":["a","b"],"set":{"pool":"day"}}`, `{"instances":["faults-21"],"set":{"pool":"day"}}`)},
			want: []string{"f.json:3: labels[0].set.pool: warning: has no effect: later rules set pool"}},
		"label not needed": {texts: []string{change(t, serviceText, `{"pool":"day"}`, `{"disk":"ssd"}`)},
			want: []string{"f.json:3: labels[0].set.disk: warning: no selector requires the label disk"}},
		"zones of labels": {texts: []string{change(t, serviceText, `["a","b"]`, `["a*","c*"]`)}, input: lint.Input{Regions: table},
			want: []string{`f.json:3: labels[0].availabilityZones[1]: warning: "c*" matches no zone of --zones`}},
		"label only in unknown zone": {texts: []string{change(t, serviceText, `{"instances":["faults-1","faults-2*"],`, `{"availabilityZones":["c"],`)}, input: lint.Input{Regions: table},
			want: []string{
				`f.json:4: labels[1].availabilityZones[0]: warning: "c" matches no zone`,
				"f.json:6: selectors[0].upstreams: warning: no instance"}},
		"unknown zone evacuated": {texts: []string{change(t, zonesText, `["a"]`, `["a","c"]`)}, input: lint.Input{Regions: table},
			want: []string{`f.json:2: evacuated[1]: warning: zone "c" is not in --zones`}},
		"unnamed zone evacuated": {texts: []string{change(t, zonesText, `["a"]`, `["a","c"]`)}, inForce: []string{serviceText},
			want: []string{`f.json:2: evacuated[1]: warning: no other document names the zone "c" (named: a, b)`}},
		"every zone evacuated": {texts: []string{change(t, zonesText, `["a"]`, `["a","b"]`)}, input: lint.Input{Regions: table},
			want: []string{"f.json:2: evacuated: warning: evacuates every zone"}},
		"budget of a switched-off action": {texts: []string{change(t, switchesText, `"retry",`, ""), serviceText},
			want: []string{"f1.json:10: budgets.retryPercent: warning: is 5, but the switches do not allow retry"}},
		"budget in force": {texts: []string{change(t, switchesText, `"retry",`, "")}, inForce: []string{serviceText},
			want: []string{"f.json:2: allow: warning: does not list retry, although 1 documents in force set budgets.retryPercent (faults)"}},
		"all off": {texts: []string{change(t, switchesText, `"retry",`, "", `"allow"`, `"allOff":true,"allow"`), serviceText}},
		"latency above timeout": {texts: []string{change(t, serviceText, `"budgets"`, `"serviceLevel":{"latencyMs":10001},"budgets"`)},
			want: []string{"f.json:10: serviceLevel.latencyMs: warning: is 10.001s, above limits.timeoutMs of 10s"}},
		"same key twice": {texts: []string{zonesText, change(t, zonesText, `"revision":3`, `"revision":4`)},
			want: []string{"f.json:1: revision: warning: f1.json holds the same key zones"}},
		"older than in force": {texts: []string{zonesText}, inForce: []string{change(t, zonesText, `"revision":3`, `"revision":4`)},
			want: []string{"f.json:1: revision: is 3, and 4 is in force: daemons would ignore this document"}},
		"revision used again": {texts: []string{zonesText}, inForce: []string{change(t, zonesText, `["a"]`, `["b"]`)},
			want: []string{"f.json:1: revision: is 3, as that in force, but the content differs"}},
		"as in force": {texts: []string{zonesText}, inForce: []string{zonesText}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			in := test.input
			file := "f.json"
			for i, text := range test.texts {
				in.Sources = append(in.Sources, lint.Source{File: file, Document: parse(t, file, text)})
				file = fmt.Sprintf("f%d.json", i+1)
			}
			for _, text := range test.inForce {
				in.InForce = append(in.InForce, parse(t, "in force", text))
			}
			checkFindings(t, lint.Check(in), test.want)
		})
	}
}

func checkFindings(t *testing.T, findings []lint.Finding, want []string) {
	t.Helper()
	var got []string
	for _, f := range findings {
		got = append(got, f.String())
	}
	ok := len(got) == len(want)
	for i := range got {
		ok = ok && strings.HasPrefix(got[i], want[i])
	}
	if !ok {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestWorst(t *testing.T) {
	warning, fault := lint.Finding{Severity: lint.Warning}, lint.Finding{Severity: lint.Error}
	for want, findings := range map[lint.Severity][]lint.Finding{
		lint.Good: nil, lint.Warning: {warning}, lint.Error: {warning, fault, warning},
	} {
		if got := lint.Worst(findings); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
