package config_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
)

const faultsDocument = `{
	"kind": "service",
	"revision": 3,
	"service": "faults",
	"labels": [
		{"availabilityZones": ["a"], "set": {"pool": "day"}},
		{"instances": ["faults-1", "faults-2*"], "set": {"pool": "night", "disk": "ssd"}}
	],
	"selectors": [
		{"name": "scans", "callers": ["scan-*"], "upstreams": {"pool": "night"}},
		{"name": "day", "callers": ["dispatch-*", "desk"], "upstreams": {"pool": "day"}}
	],
	"priorities": [{"callers": ["dispatch-*"], "priority": "high"}],
	"limits": {"slots": 12, "connections": 240},
	"serviceLevel": {"availability": 99.95, "latencyMs": 250}
}`

func mustParse(t testing.TB, text string) config.Document {
	t.Helper()
	d, err := config.Parse("test.json", []byte(text))
	if err != nil {
		t.Fatal(config.FormatFaults(err))
	}
	return d
}

func service(fields string) string {
	return `{"kind":"service","revision":1,"service":"faults"` + fields + `}`
}

func TestParseRefuses(t *testing.T) {
	lines := func(lines ...string) string { return strings.Join(lines, "\n") }
	tests := map[string]struct {
		text string
		want []string // line: field: start of the text
	}{
		"empty":                                {"", []string{`1: document: unexpected end`}},
		"not an object":                        {"\n[]", []string{`2: document: is of type list`}},
		"trailing text":                        {lines(`{}`, ``, `{}`), []string{`3: document: invalid character '{' after`}},
		"syntax error":                         {lines(`{"kind":"switches",`, `"revision":1,}`), []string{`2: document: invalid character '}'`}},
		"not UTF-8":                            {lines(`{`, `"kind":"`+"\xff"+`"}`), []string{`2: document: text is not valid UTF-8`}},
		"too deep":                             {strings.Repeat("[", 17) + strings.Repeat("]", 17), []string{`1: document: values are nested deeper`}},
		"too large":                            {strings.Repeat(" ", config.MaxDocumentBytes) + "{}", []string{`1: document: has 65538 bytes`}},
		"missing fields":                       {"{}", []string{`1: kind: is missing`, `1: revision: is missing`}},
		"unknown kind":                         {`{"kind":"pool","revision":1}`, []string{`1: kind: "pool" is an unknown kind`}},
		"field name in upper case":             {lines(`{"kind":"switches","revision":1,`, `"AllOff":true}`), []string{`2: AllOff: unknown field`}},
		"null":                                 {`{"kind":"switches","revision":1,"allOff":null}`, []string{`1: allOff: is of type null, want boolean`}},
		"duplicate field":                      {lines(`{"kind":"switches","revision":1,`, `"allOff":true,`, `"allOff":false}`), []string{`3: allOff: duplicate field`}},
		"revision 0":                           {`{"kind":"switches","revision":0}`, []string{`1: revision: is 0, want an integer from 1`}},
		"revision 1.5":                         {`{"kind":"switches","revision":1.5}`, []string{`1: revision: is 1.5, want`}},
		"revision -1":                          {`{"kind":"switches","revision":-1}`, []string{`1: revision: is -1, want`}},
		"revision huge":                        {`{"kind":"switches","revision":9007199254740992}`, []string{`1: revision: is 9007199254740992, want`}},
		"unknown action":                       {`{"kind":"switches","revision":1,"allow":["retry","Retry"]}`, []string{`1: allow[1]: "Retry" is an unknown action`}},
		"duplicate action":                     {`{"kind":"switches","revision":1,"allow":["retry","retry"]}`, []string{`1: allow[1]: "retry" is listed twice`}},
		"field of a service document":          {`{"kind":"switches","revision":1,"limits":{}}`, []string{`1: limits: unknown field`}},
		"service name in upper case":           {`{"kind":"service","revision":1,"service":"Faults"}`, []string{`1: service: "Faults" is not a host name`}},
		"service name with empty parts":        {`{"kind":"service","revision":1,"service":".."}`, []string{`1: service: ".." has a part that is empty`}},
		"service name ending in a dash":        {`{"kind":"service","revision":1,"service":"a.b-"}`, []string{`1: service: "a.b-" has a part that is empty or`}},
		"line break in field name":             {`{"kind":"switches","revision":1,"a\n\u001b":1}`, []string{`1: "a\n\x1b": unknown field`}},
		"wildcard inside a pattern":            {service(`,"selectors":[{"name":"x","callers":["a*b"]}]`), []string{`1: selectors[0].callers[0]: "a*b" has a *`}},
		"empty caller list":                    {service(`,"selectors":[{"name":"x","callers":[]}]`), []string{`1: selectors[0].callers: is empty`}},
		"selector without a name":              {service(`,"selectors":[{}]`), []string{`1: selectors[0].name: is missing`}},
		"duplicate selector name":              {service(`,"selectors":[{"name":"x"},` + "\n" + `{"name":"x"}]`), []string{`2: selectors[1].name: the name "x" is used twice`}},
		"selector label that no rule sets":     {service(`,"labels":[{"set":{"pool":"a"}}],"selectors":[{"name":"x","upstreams":{` + "\n" + `"pool":"b"}}]`), []string{`2: selectors[0].upstreams.pool: no rule in labels sets pool to "b"`}},
		"duplicate label":                      {service(`,"labels":[{"set":{"p":"a","p":"b"}}]`), []string{`1: labels[0].set.p: duplicate field`}},
		"line break in a string":               {"{\n\"kind\":\"a\nb\"}", []string{`2: document: invalid character '\n' in string`}},
		"control character":                    {`{"kind":"service","revision":1,"service":"a\u007f"}`, []string{`1: service: "a\x7f" contains the character '\x7f'`}},
		"too many labels":                      {service(`,"labels":[{"set":{` + strings.Repeat(`"a":"b",`, 64) + `"a":"b"}}]`), []string{`1: labels[0].set: has 65 labels`}},
		"rule without labels":                  {service(`,"labels":[{"instances":["a"]}]`), []string{`1: labels[0].set: sets no label`}},
		"labels of the wrong type":             {service(`,"labels":[{"set":[]}]`), []string{`1: labels[0].set: is of type list`}},
		"empty labels":                         {service(`,"labels":[{"set":{}}]`), []string{`1: labels[0].set: sets no label`}},
		"invalid label value":                  {service(`,"labels":[{"set":{"p":"a b"}}]`), []string{`1: labels[0].set.p: "a b" contains the character ' '`}},
		"label value too long":                 {service(`,"labels":[{"set":{"p":"` + strings.Repeat("x", 129) + `"}}]`), []string{`1: labels[0].set.p: "xxx`}},
		"unknown priority":                     {service(`,"priorities":[{"priority":"urgent"}]`), []string{`1: priorities[0].priority: "urgent" is an unknown priority`}},
		"too few slots":                        {service(`,"limits":{"slots":0}`), []string{`1: limits.slots: is 0`}},
		"fewer connections than slots":         {service(`,"limits":{"slots":12,` + "\n" + `"connections":11}`), []string{`2: limits.connections: is 11, below the 12 slots`}},
		"eject percentage too high":            {service(`,"budgets":{"ejectPercent":100}`), []string{`1: budgets.ejectPercent: is 100, want a number from 0 to 50`}},
		"availability without an error budget": {service(`,"serviceLevel":{"availability":100}`), []string{`1: serviceLevel.availability: is 100`}},
		"number too large":                     {service(`,"budgets":{"retryPercent":1e999}`), []string{`1: budgets.retryPercent: is 1e999`}},
		"number as a string":                   {service(`,"budgets":{"hedgePercent":"2"}`), []string{`1: budgets.hedgePercent: is of type string`}},
		"several faults":                       {lines(`{"kind":"service",`, `"service":"",`, `"limits":{"queue":-1,"slot":1},`, `"selectors":{}}`), []string{`1: revision: is missing`, `2: service: "" is empty`, `3: limits.slot: unknown field`, `3: limits.queue: is -1`, `4: selectors: is of type object`}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := config.Parse("f.json", []byte(tt.text))
			if !errors.Is(err, config.ErrInvalid) {
				t.Fatalf("error %v is not ErrInvalid", err)
			}
			got := strings.Split(strings.TrimSuffix(config.FormatFaults(err), "\n"), "\n")
			if len(got) != len(tt.want) {
				t.Fatalf("got %q, want %q", got, tt.want)
			}
			for i, want := range tt.want {
				if !strings.HasPrefix(got[i], "f.json:"+want) {
					t.Errorf("got %q, want %q", got[i], want)
				}
			}
		})
	}
}

func TestFormatFaultsJoined(t *testing.T) {
	_, x := config.Parse("x.json", []byte("{"))
	_, y := config.Parse("y.json", []byte("[]"))
	got := config.FormatFaults(fmt.Errorf("check: %w", errors.Join(x, errors.New("other"), y)))
	want := "x.json:1: document: unexpected end of JSON input\ny.json:1: document: is of type list, want object\n"
	if got != want {
		t.Errorf("got %s", got)
	}
	if config.FormatFaults(nil) != "" || config.FormatFaults(errors.New("other")) != "other\n" {
		t.Error("FormatFaults is wrong for nil or for an error without faults")
	}
}

func TestParseLimitsFaults(t *testing.T) {
	items := strings.Repeat(`{},`, 200) + `{}`
	_, err := config.Parse("f.json", []byte(service(`,"labels":[`+items+`]`)))
	var invalid *config.InvalidError
	if !errors.As(err, &invalid) || len(invalid.Faults()) != 101 || invalid.Revision() != 1 {
		t.Fatalf("got %v", err)
	}
	if last := invalid.Faults()[100].Text; last != "101 more faults are not listed" {
		t.Error(last)
	}
}

func TestParseKey(t *testing.T) {
	if _, err := config.ParseKey("f.json", "services/faults", []byte(faultsDocument)); err != nil {
		t.Error(err)
	}
	_, err := config.ParseKey("f.json", "services/orders", []byte(faultsDocument))
	want := "f.json:1: document: belongs under the key services/faults, found under \"services/orders\"\n"
	if got := config.FormatFaults(fmt.Errorf("read: %w", err)); got != want {
		t.Errorf("got %q", got)
	}
}

func TestServiceDecisions(t *testing.T) {
	svc := mustParse(t, faultsDocument).Service()
	tests := map[string]struct {
		caller, instance, zone string
		selector               string
		serves                 bool
		priority               call.Priority
	}{
		"first match":          {"scan-7", "faults-1", "b", "scans", true, call.Normal},
		"prefix pattern":       {"scan-7", "faults-22", "b", "scans", true, call.Normal},
		"label by zone":        {"dispatch-3", "faults-3", "a", "day", true, call.High},
		"later rule wins":      {"dispatch-3", "faults-1", "a", "day", false, call.High},
		"label missing":        {"desk", "faults-3", "b", "day", false, call.Normal},
		"pattern not a prefix": {"my-scan-7", "faults-1", "b", "", false, call.Normal},
		"no selector":          {"desk-2", "faults-1", "a", "", false, call.Normal},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sel, ok := svc.Select(tt.caller)
			if ok != (tt.selector != "") || ok && sel.Name() != tt.selector {
				t.Errorf("wrong selector %v", sel)
			}
			if got := svc.Serves(sel, tt.instance, tt.zone); got != tt.serves {
				t.Errorf("wrong result of Serves: %v", got)
			}
			if got := svc.Priority(tt.caller); got != tt.priority {
				t.Errorf("wrong priority %v", got)
			}
			e := config.Explain(svc, tt.caller, config.Candidate{Instance: tt.instance, AvailabilityZone: tt.zone})
			if e.Selector != tt.selector || e.Upstreams[0].Serves != tt.serves {
				t.Errorf("explanation contradicts Select or Serves: %v", e)
			}
		})
	}
}

func TestDefaults(t *testing.T) {
	svc := mustParse(t, service("")).Service()
	sel, ok := svc.Select("anyone")
	if !ok || sel.Name() != "default" || !svc.Serves(sel, "faults-1", "a") {
		t.Errorf("got selector %v, want one named default that serves every caller", sel)
	}
	l, b, level := svc.Limits(), svc.Budgets(), svc.ServiceLevel()
	got := fmt.Sprint(l.Slots(), l.Connections(), l.Queue(), l.Timeout(), l.MaxBodyBytes(),
		b.ProbesPerSecond(), b.RetryPercent(), b.HedgePercent(), b.EjectPercent(), b.ControlBytesPerSecond(),
		level.Availability(), level.Latency(), level.LatencyPercent())
	if want := "8 160 16 10s 16777216 1 10 2 34 7000 99.9 500ms 99"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if level != config.DefaultServiceLevel() {
		t.Errorf("got default level %+v, want the level of an empty document", config.DefaultServiceLevel())
	}
	if l := mustParse(t, faultsDocument).Service().Limits(); l.Queue() != 24 || l.Timeout() != 10*time.Second {
		t.Errorf("got limits %+v, want queue 24 and timeout 10s", l)
	}
	noSelectors := mustParse(t, service(`,"selectors":[]`)).Service()
	if _, ok := noSelectors.Select("anyone"); ok {
		t.Error("an empty list of selectors serves a caller")
	}
}

func TestExplainText(t *testing.T) {
	svc := mustParse(t, faultsDocument).Service()
	got := config.Explain(svc, "desk", config.Candidate{Instance: "faults-1", AvailabilityZone: "a"},
		config.Candidate{Instance: "faults-3", AvailabilityZone: "a"}, config.Candidate{Instance: "faults-4", AvailabilityZone: "b"}).String()
	want := `service faults, caller desk, priority normal
- selector scans: matches only callers scan-*
+ selector day: first match: callers dispatch-*, desk
- upstream faults-1 in a {disk=ssd, pool=night}: has pool=night, want day
+ upstream faults-3 in a {pool=day}: has pool=day
- upstream faults-4 in b {}: has no label pool, want day
`
	if got != want {
		t.Errorf("got\n%s", got)
	}
	after := config.Explain(svc, "scan-7").Selectors
	if !after[0].Chosen || after[1].Chosen || after[1].Why != "comes after the first match" {
		t.Errorf("wrong selector explanations: %+v", after)
	}
}
