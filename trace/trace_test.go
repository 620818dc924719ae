package trace_test

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/trace"
)

const (
	first = `{"time":"2026-12-04T10:00:00.100Z","level":"info","prefix":"balance","msg":"A request is sent on.","id":"r1","call":"c1-1","instance":"b:2","loadAgeMs":3}
{"time":"2026-12-04T10:00:00.140Z","level":"info","prefix":"ingress","msg":"An attempt brought no answer.","id":"r1","call":"c1-1","reason":"slow"}
{"time":"2026-12-04T10:00:00.141Z","level":"info","prefix":"balance","msg":"A request is sent on.","id":"r1","call":"c1-2","instance":"c:2"}
{"time":"2026-12-04T10:00:00.300Z","level":"info","prefix":"ingress","msg":"A request is answered.","id":"r1","call":"c1","status":200}
{"time":"2026-12-04T10:00:00.310Z","level":"info","prefix":"ingress","msg":"A request is answered.","id":"r10","call":"c9","status":200}
`
	// The clock of the second daemon is 5 s ahead, that of the third 2 s behind.
	second = `{"time":"2026-12-04T10:00:05.120Z","level":"info","prefix":"admit","msg":"A request is turned away.","id":"r1","call":"c1-1","reason":"slow","pace":500}
`
	third = `{"time":"2026-12-04T09:59:58.160Z","level":"info","prefix":"admit","msg":"A run has ended.","id":"r1","call":"c1-2","upstream":"i-7","status":200}
{"time":"2026-12-04T09:59:58.150Z","level":"info","prefix":"ingress","msg":"A request is answered.","id":"r1.in","call":"c5","status":200}
{"time":"2026-12-04T09:59:58.1
`
)

func readTimeline(t *testing.T, q trace.Query) (texts []string, skipped int) {
	t.Helper()
	var l trace.Log
	for name, log := range map[string]string{"one": first, "two": second, "three": third} {
		if err := l.Read(name, strings.NewReader(log), q); err != nil {
			t.Fatal(err)
		}
	}
	for _, e := range l.Timeline() {
		texts = append(texts, e.Source+" "+e.Text)
	}
	return texts, l.Skipped()
}

func TestTimeline(t *testing.T) {
	whole := []string{
		"one A request is sent on.", "two A request is turned away.", "one An attempt brought no answer.",
		"one A request is sent on.", "three A request is answered.", "three A run has ended.", "one A request is answered.",
	}
	tests := map[string]struct {
		query trace.Query
		want  []string
	}{
		"caller's ID":        {trace.Query{ID: "r1"}, whole},
		"daemons' ID":        {trace.Query{ID: "c1"}, slices.Delete(slices.Clone(whole), 4, 5)},
		"one attempt":        {trace.Query{ID: "c1-1"}, whole[:3]},
		"upstream":           {trace.Query{Upstream: "i-7"}, []string{"three A run has ended."}},
		"instance":           {trace.Query{Upstream: "c:2"}, []string{"one A request is sent on."}},
		"since":              {trace.Query{ID: "r10", Since: time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)}, []string{"one A request is answered."}},
		"since excludes all": {trace.Query{ID: "r10", Since: time.Date(2026, 12, 4, 11, 0, 0, 0, time.UTC)}, nil},
		"unknown request":    {trace.Query{ID: "r"}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, skipped := readTimeline(t, test.query)
			if !slices.Equal(got, test.want) {
				t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(test.want, "\n"))
			}
			if skipped != 1 {
				t.Errorf("got %d skipped lines, want 1", skipped)
			}
		})
	}
}

func TestEntryStringIncludesFields(t *testing.T) {
	var l trace.Log
	line := "   1.25 side-a-1 " + strings.TrimSuffix(second, "\n")
	if err := l.Read("", strings.NewReader(line), trace.Query{ID: "r1"}); err != nil {
		t.Fatal(err)
	}
	const want = "10:00:05.120 side-a-1           admit      A request is turned away. call=c1-1 pace=500 reason=slow"
	if got := l.Timeline()[0].String(); got != want {
		t.Fatalf("got\n%s\nwant\n%s", got, want)
	}
}

func TestReadRejectsEmptyQuery(t *testing.T) {
	var l trace.Log
	if err := l.Read("one", strings.NewReader(first), trace.Query{}); !errors.Is(err, trace.ErrQuery) {
		t.Fatalf("got %v, want ErrQuery", err)
	}
}

// FuzzRead checks that arbitrary bytes can be read as a log without a panic.
func FuzzRead(f *testing.F) {
	f.Add([]byte(first))
	f.Add([]byte(third))
	f.Add([]byte(`{"time":5,"msg":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var l trace.Log
		_ = l.Read("x", strings.NewReader(string(data)), trace.Query{ID: "r1"})
		for _, e := range l.Timeline() {
			_ = e.String()
		}
	})
}
