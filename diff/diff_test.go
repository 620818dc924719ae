package diff_test

import (
	"slices"
	"strings"
	"testing"

	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/diff"
)

const (
	routesText = `{"kind":"routes","revision":4,
"services":[{"service":"faults"},{"service":"orders"}],
"routes":[
{"name":"x","host":"h","prefix":"/x/","timeoutMs":1000,"parts":[{"service":"faults"}]},
{"name":"all","host":"h","prefix":"/","parts":[{"service":"faults"}]}]}`
	serviceText = `{"kind":"service","revision":2,"service":"faults",
"labels":[{"instances":["faults-1"],"set":{"pool":"night"}}],
"selectors":[{"name":"scans","callers":["scan-*"],"upstreams":{"pool":"night"}},{"name":"everyone"}]}`
	switchesText = `{"kind":"switches","revision":3,"allow":["retry","shed"]}`
	zonesText    = `{"kind":"zones","revision":3,"evacuated":["a","b"]}`
)

func parse(t *testing.T, text string) config.Document {
	t.Helper()
	d, err := config.Parse("test.json", []byte(text))
	if err != nil {
		t.Fatal(config.FormatFaults(err))
	}
	return d
}

// TestCompare guards against a difference that is not shown to the operator before it is
// published, and against one that is shown though nothing changes.
func TestCompare(t *testing.T) {
	tests := map[string]struct {
		text         string
		replacements []string
		want         []string
	}{
		"no change":  {routesText, nil, nil},
		"new layout": {routesText, []string{"\n", " "}, nil},
		"revision only": {zonesText, []string{`"revision":3`, `"revision":4`}, []string{
			"zones: revision is now 4, was 3"}},
		"written default": {routesText, []string{`{"service":"orders"}`, `{"service":"orders","connections":160}`}, []string{
			"routes: is written differently, with the same effect"}},
		"values of a route": {routesText, []string{`"timeoutMs":1000`, `"timeoutMs":2000,"rank":1,"idempotent":true,"attempts":2,"targetMs":500`}, []string{
			"routes: route x (h/x/): requests may run more than once (idempotent) is now yes, was no",
			"routes: route x (h/x/): rank, 0 is served first (rank) is now 1, was 0",
			"routes: route x (h/x/): longest time that a caller waits (timeoutMs) is now 2s, was 1s",
			"routes: route x (h/x/): target time of a response (targetMs) is now 500ms, was 10s",
			"routes: route x (h/x/): most upstreams that a request is sent to (attempts) is now 2, was 3"}},
		"weights": {routesText, []string{`[{"service":"faults"}]`, `[{"service":"faults","weight":3},{"service":"orders"}]`}, []string{
			"routes: route x (h/x/): services is now faults 75 %, orders 25 %, was faults 100 %"}},
		"new name":   {routesText, []string{`"name":"x"`, `"name":"y"`}, []string{"routes: route x (h/x/): name is now y, was x"}},
		"new prefix": {routesText, []string{`"/x/"`, `"/y/"`}, []string{"routes: route x (h/x/): host and prefix is now h/y/, was h/x/"}},
		"closed":     {routesText, []string{`"name":"x"`, `"name":"x","closed":true`}, []string{"routes: route x (h/x/): is closed: every request is refused"}},
		"other route": {routesText, []string{`"name":"x"`, `"name":"y"`, `"/x/"`, `"/y/"`}, []string{
			"routes: route y (h/y/): is new: requests go to faults 100 %",
			"routes: route x (h/x/): is removed"}},
		"services of routes": {routesText, []string{`{"service":"faults"},{"service":"orders"}`, `{"service":"faults","coldMs":3000,"coldPerSecond":13,"probePath":"/p","connections":9},{"service":"stock"}`, `"revision":4`, `"revision":5,"maxBodyBytes":7`}, []string{
			"routes: revision is now 5, was 4",
			"routes: largest request body (maxBodyBytes) is now 7 bytes, was 16777216 bytes",
			"routes: service faults: number of connections to an upstream (connections) is now 9, was 160",
			"routes: service faults: path of probes (probePath) is now /p, was /load",
			"routes: service faults: time for which an upstream is cold (coldMs) is now 3s, was 0s",
			"routes: service faults: requests per second that a cold upstream accepts (coldPerSecond) is now 13, was unlimited",
			"routes: service stock: is new",
			"routes: service orders: is removed"}},
		"numbers of a service": {serviceText, []string{`"labels"`, `"limits":{"slots":9,"connections":160},"budgets":{"retryPercent":3},"serviceLevel":{"latencyMs":40},"labels"`}, []string{
			"services/faults: number of calls that one upstream runs at once (limits.slots) is now 9, was 8",
			"services/faults: number of calls that wait for a slot (limits.queue) is now 18, was 16",
			"services/faults: retries per 100 calls (budgets.retryPercent) is now 3, was 10",
			"services/faults: response time of the service level (serviceLevel.latencyMs) is now 40ms, was 500ms"}},
		"selectors": {serviceText, []string{`{"name":"everyone"}`, `{"name":"desk","callers":["desk"]}`, `"scan-*"`, `"scan-a","audit"`}, []string{
			"services/faults: selector scans: now: callers audit scan-a get upstreams with pool=night, before: callers scan-* get upstreams with pool=night",
			"services/faults: selector desk: is new: callers desk get upstreams with any labels",
			"services/faults: selector everyone: is removed: callers * get upstreams with any labels"}},
		"order of selectors": {serviceText, []string{`{"name":"scans","callers":["scan-*"],"upstreams":{"pool":"night"}},{"name":"everyone"}`, `{"name":"everyone"},{"name":"scans","callers":["scan-*"],"upstreams":{"pool":"night"}}`}, []string{
			"services/faults: selectors: are now tried in the order everyone, scans, before scans, everyone"}},
		"no selectors": {serviceText, []string{`{"name":"scans","callers":["scan-*"],"upstreams":{"pool":"night"}},{"name":"everyone"}`, ``}, []string{
			"services/faults: selector scans: is removed: callers scan-* get upstreams with pool=night",
			"services/faults: selector everyone: is removed: callers * get upstreams with any labels",
			"services/faults: serves no caller any more"}},
		"labels": {serviceText, []string{`["faults-1"]`, `["faults-2"]`}, []string{
			"services/faults: labels: added: instances faults-2 in zones * have pool=night",
			"services/faults: labels: removed: instances faults-1 in zones * have pool=night"}},
		"document for a listed service": {`{"kind":"service","revision":1,"service":"orders"}`, nil, []string{
			"services/orders: is new, revision 1",
			"services/orders: longest deadline of a call (limits.timeoutMs) is now 10s, was 1h0m0s"}},
		"new service": {`{"kind":"service","revision":1,"service":"stock"}`, nil, []string{"services/stock: is new, revision 1"}},
		"switches": {switchesText, []string{`["retry","shed"]`, `["shed","handOn"]`}, []string{
			"switches: retry: is switched off",
			"switches: handOn: is switched on"}},
		"all off": {switchesText, []string{`"allow":["retry"`, `"allOff":true,"allow":["retry","eject"`}, []string{
			"switches: all automatic actions are switched off",
			"switches: eject: will be on once the actions are no longer all off"}},
		"zones": {zonesText, []string{`["a","b"]`, `["c","a"]`}, []string{
			"zones: zone c: is evacuated: its instances get no more requests",
			"zones: zone b: is no longer evacuated: its instances get requests again"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var inForce []config.Document
			for _, text := range []string{routesText, serviceText, switchesText, zonesText} {
				inForce = append(inForce, parse(t, text))
			}
			text := test.text
			for i := 0; i < len(test.replacements); i += 2 {
				text = strings.Replace(text, test.replacements[i], test.replacements[i+1], 1)
			}
			var got []string
			for _, change := range diff.Compare(inForce, []config.Document{parse(t, text)}) {
				got = append(got, change.String())
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(test.want, "\n"))
			}
		})
	}
}
