package config_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/config"
)

const routesText = `{"kind":"routes","revision":4,"maxBodyBytes":1000,
"services":[{"service":"faults","connections":240,"probePath":"/health"},{"service":"orders"}],
"routes":[
 {"name":"all","host":"a.example","prefix":"/","timeoutMs":1000,"targetMs":400,"attempts":2,"rank":2,"idempotent":true,"parts":[{"service":"faults"}]},
 {"name":"deep","host":"a.example","prefix":"/x/y/","parts":[{"service":"orders","weight":3},{"service":"faults","weight":1}]},
 {"name":"x","host":"a.example","prefix":"/x/","parts":[{"service":"orders"}]}]}`

func TestRoutesFind(t *testing.T) {
	routes := mustParse(t, routesText).Routes()
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":                {"a.example", "/x/y/z", "deep"},
		"shorter prefix":                {"a.example", "/x/yy", "x"},
		"path equal to prefix":          {"a.example", "/x/", "x"},
		"prefix without trailing slash": {"a.example", "/x", "all"},
		"root":                          {"a.example", "/", "all"},
		"unknown host":                  {"b.example", "/x/", ""},
		"empty path":                    {"a.example", "", ""},
		"escaped slash":                 {"a.example", "/x%2Fy/", "all"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r, ok := routes.Find(test.host, test.path); ok {
				got = r.Name()
			}
			if got != test.want {
				t.Fatalf("got %q, want %q", got, test.want)
			}
		})
	}
	r, _ := routes.Find("a.example", "/")
	if !r.Idempotent() || r.Rank() != 2 || r.Timeout() != time.Second || r.TargetLatency() != 400*time.Millisecond || r.MaxAttempts() != 2 {
		t.Fatalf("wrong route %+v", r)
	}
	if e, ok := routes.UpstreamSettings("faults"); !ok || e.Connections() != 240 || e.ProbePath() != "/health" {
		t.Fatalf("wrong upstream settings %+v", e)
	}
}

func TestRoutesRejected(t *testing.T) {
	tests := map[string]struct{ old, new, fault string }{
		"unknown field":                 {`"rank":2`, `"rang":2`, "routes[0].rang"},
		"no parts":                      {`"parts":[{"service":"faults"}]`, `"parts":[]`, "names no service"},
		"unknown service":               {`"parts":[{"service":"faults"}]`, `"parts":[{"service":"none"}]`, "not listed in services"},
		"weight zero":                   {`"weight":3`, `"weight":0`, "weight"},
		"prefix without trailing slash": {`"prefix":"/x/"`, `"prefix":"/x"`, "begins and ends with a slash"},
		"upper-case host":               {`"host":"a.example","prefix":"/x/"`, `"host":"A.example","prefix":"/x/"`, "lower case"},
		"duplicate service":             {`{"service":"orders"}],`, `{"service":"orders"},{"service":"orders"}],`, "is listed twice"},
		"relative probe path":           {`"/health"`, `"health"`, "is not a valid path"},
		"timeout zero":                  {`"timeoutMs":1000`, `"timeoutMs":0`, "timeoutMs"},
		"attempts as a string":          {`"attempts":2`, `"attempts":"2"`, "attempts"},
		"missing revision":              {`"revision":4,`, ``, "revision"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := config.Parse("r.json", []byte(strings.Replace(routesText, test.old, test.new, 1)))
			if !errors.Is(err, config.ErrInvalid) || !strings.Contains(config.FormatFaults(err), test.fault) {
				t.Fatalf("got faults %v", config.FormatFaults(err))
			}
		})
	}
}

func TestRoutesDocumentSize(t *testing.T) {
	var b strings.Builder
	b.WriteString(`{"kind":"routes","revision":1,"services":[{"service":"faults"}],"routes":[`)
	for i := range 2000 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r%d","host":"h%d.example","prefix":"/p%d/","parts":[{"service":"faults"}]}`, i, i%50, i)
	}
	b.WriteString(`]}`)
	if b.Len() < config.MaxDocumentBytes {
		t.Fatalf("routes document has only %d bytes, want at least MaxDocumentBytes", b.Len())
	}
	routes := mustParse(t, b.String()).Routes()
	if r, ok := routes.Find("h7.example", "/p1957/a"); !ok || r.Name() != "r1957" {
		t.Fatalf("wrong route %+v", r)
	}
	long := `{"kind":"service","revision":1,"service":"faults","x":"` + strings.Repeat("x", config.MaxDocumentBytes) + `"}`
	if _, err := config.Parse("long.json", []byte(long)); err == nil {
		t.Fatal("a service document larger than MaxDocumentBytes is accepted")
	}
}

func TestSetWithRoutes(t *testing.T) {
	set := config.NewSet()
	set.Assume([]config.Action{config.Retry})
	if set.Allowed(config.Retry) {
		t.Fatal("an assumed action is allowed before Confirm")
	}
	set.Confirm()
	if !set.Allowed(config.Retry) || set.Allowed(config.Hedge) {
		t.Fatal("the allowed actions differ from the assumed ones")
	}
	set.Apply(mustParse(t, routesText))
	s, ok := set.Service("faults")
	if !ok || s.Limits().Connections() != 240 || s.Limits().MaxBodyBytes() != 1000 {
		t.Fatalf("wrong service %+v", s)
	}
	if _, ok := s.Select("anybody"); !ok {
		t.Fatal("a service without a document serves no caller")
	}
	set.Apply(mustParse(t, `{"kind":"service","revision":1,"service":"faults","limits":{"slots":3}}`))
	if s, _ := set.Service("faults"); s.Limits().Slots() != 3 {
		t.Fatal("the service document does not override the defaults")
	}
	set.Apply(mustParse(t, `{"kind":"switches","revision":1,"allOff":true}`))
	set.Assume([]config.Action{config.Retry})
	if set.Allowed(config.Retry) {
		t.Fatal("Assume overrides a switches document")
	}
	if _, conflict := set.Apply(mustParse(t, strings.Replace(routesText, `"/x/y/"`, `"/x/z/"`, 1))); !conflict {
		t.Fatal("no conflict reported for different routes documents with the same revision")
	}
	if changed, _ := set.Apply(mustParse(t, strings.Replace(routesText, `"revision":4`, `"revision":3`, 1))); changed {
		t.Fatal("an older routes document replaced a newer one")
	}
}
