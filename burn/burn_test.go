package burn_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
	"pomelodoor.example/pomelodoor/burn"
	"pomelodoor.example/pomelodoor/config"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// calls are n calls that end at the same time.
type calls struct {
	at     time.Duration // after start
	n      int
	failed int
	slow   int
}

func record(b *burn.Burn, service string, all ...calls) {
	for _, c := range all {
		for i := range c.n {
			took := 10 * time.Millisecond
			if i >= c.failed && i < c.failed+c.slow {
				took = time.Second
			}
			b.Record(service, i >= c.failed, took, start.Add(c.at))
		}
	}
}

func TestReport(t *testing.T) {
	tests := map[string]struct {
		calls        []calls
		at           time.Duration
		rates        string // burn rates of failed calls, in the order of Windows
		latencyRates string
		alert        burn.Alert
		latencyAlert burn.Alert
	}{
		"no failures":                 {[]calls{{0, 1000, 0, 0}}, 0, "0.0 0.0 0.0 0.0", "0.0 0.0 0.0 0.0", burn.None, burn.None},
		"within budget":               {[]calls{{0, 10000, 10, 0}}, 0, "1.0 1.0 1.0 1.0", "0.0 0.0 0.0 0.0", burn.None, burn.None},
		"above fast rate":             {[]calls{{0, 1000, 20, 0}}, 0, "20.0 20.0 20.0 20.0", "0.0 0.0 0.0 0.0", burn.Fast, burn.None},
		"below fast rate":             {[]calls{{0, 1000, 14, 0}}, 0, "14.0 14.0 14.0 14.0", "0.0 0.0 0.0 0.0", burn.Slow, burn.None},
		"few calls":                   {[]calls{{0, 100, 4, 0}}, 0, "40.0 40.0 40.0 40.0", "0.0 0.0 0.0 0.0", burn.None, burn.None},
		"short burst":                 {[]calls{{0, 10000, 0, 0}, {50 * time.Minute, 1000, 50, 0}}, 52 * time.Minute, "50.0 50.0 4.5 4.5", "0.0 0.0 0.0 0.0", burn.None, burn.None},
		"past failures":               {[]calls{{0, 1000, 500, 0}, {70 * time.Minute, 1000, 0, 0}}, 70 * time.Minute, "0.0 0.0 0.0 250.0", "0.0 0.0 0.0 0.0", burn.None, burn.None},
		"slow answers":                {[]calls{{0, 1000, 0, 200}}, 0, "0.0 0.0 0.0 0.0", "20.0 20.0 20.0 20.0", burn.None, burn.Fast},
		"latency of successful calls": {[]calls{{0, 1000, 500, 5}}, 0, "500.0 500.0 500.0 500.0", "1.0 1.0 1.0 1.0", burn.Fast, burn.None},
		"window edge":                 {[]calls{{0, 100, 1, 0}, {5 * time.Minute, 100, 0, 0}}, 5 * time.Minute, "0.0 5.0 5.0 5.0", "0.0 0.0 0.0 0.0", burn.None, burn.None},
		"ring edge":                   {[]calls{{0, 100, 1, 0}, {6 * time.Hour, 100, 0, 0}}, 6 * time.Hour, "0.0 0.0 0.0 0.0", "0.0 0.0 0.0 0.0", burn.None, burn.None},
		"inside ring edge":            {[]calls{{0, 100, 1, 0}, {359 * time.Minute, 100, 0, 0}}, 359 * time.Minute, "0.0 0.0 0.0 5.0", "0.0 0.0 0.0 0.0", burn.None, burn.None},
		"long pause":                  {[]calls{{0, 100, 100, 0}, {30 * time.Hour, 100, 0, 0}}, 30 * time.Hour, "0.0 0.0 0.0 0.0", "0.0 0.0 0.0 0.0", burn.None, burn.None},
		"clock set back":              {[]calls{{10 * time.Minute, 100, 0, 0}, {0, 100, 1, 0}}, 10 * time.Minute, "0.0 5.0 5.0 5.0", "0.0 0.0 0.0 0.0", burn.None, burn.None},
		"clock set back by 6 h":       {[]calls{{6 * time.Hour, 100, 0, 0}, {0, 100, 1, 0}}, 0, "10.0 10.0 10.0 10.0", "0.0 0.0 0.0 0.0", burn.None, burn.None},
		"clock set far back":          {[]calls{{0, 100, 0, 0}, {-48 * time.Hour, 100, 1, 0}}, -48 * time.Hour, "10.0 10.0 10.0 10.0", "0.0 0.0 0.0 0.0", burn.None, burn.None},
		"report before a call":        {[]calls{{0, 100, 0, 0}, {10 * time.Minute, 100, 1, 0}}, 0, "0.0 0.0 0.0 0.0", "0.0 0.0 0.0 0.0", burn.None, burn.None},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := burn.New(burn.Config{Instance: "faults-1"})
			record(b, "faults", tt.calls...)
			s := b.Report(start.Add(tt.at)).Services[0]
			var rates, latency []string
			for _, c := range s.Windows {
				rates = append(rates, fmt.Sprintf("%.1f", c.BurnRate))
				latency = append(latency, fmt.Sprintf("%.1f", c.LatencyBurnRate))
			}
			if got := fmt.Sprint(rates); got != "["+tt.rates+"]" {
				t.Errorf("burn rates %s, want %s", got, tt.rates)
			}
			if got := fmt.Sprint(latency); got != "["+tt.latencyRates+"]" {
				t.Errorf("latency burn rates %s, want %s", got, tt.latencyRates)
			}
			if s.Alert != tt.alert || s.LatencyAlert != tt.latencyAlert {
				t.Errorf("got alert %s and latency alert %s, want those of the test case", s.Alert, s.LatencyAlert)
			}
		})
	}
}

func TestLevelOfService(t *testing.T) {
	d, err := config.Parse("test.json", []byte(`{"kind":"service","revision":1,"service":"orders",
		"serviceLevel":{"availability":90,"latencyMs":5,"latencyPercent":50}}`))
	if err != nil {
		t.Fatal(err)
	}
	serviceLevel := func(service string) (config.ServiceLevel, bool) {
		return d.Service().ServiceLevel(), service == "orders"
	}
	b := burn.New(burn.Config{ServiceLevel: serviceLevel})
	record(b, "orders", calls{n: 100, failed: 20})
	record(b, "faults", calls{n: 100})
	r := b.Report(start)
	faults, orders := r.Services[0], r.Services[1]
	if c := orders.Windows[0]; c.Slow != 80 || c.LatencyBurnRate != 2 || fmt.Sprintf("%.3f", c.BudgetLeft) != "-1.000" {
		t.Errorf("orders: got counts %+v, want 80 slow calls, a latency burn rate of 2 and a budget left of -1", c)
	}
	if c := faults.Windows[0]; c.Slow != 0 || c.BudgetLeft != 1 || faults.ServiceLevel.Availability != 99.9 {
		t.Errorf("faults: got %+v, want no slow calls, the whole budget left and an availability of 99.9", faults)
	}
	if only := b.Report(start, "orders"); len(only.Services) != 1 || only.Services[0].Name != "orders" {
		t.Errorf("report of one service: got %+v, want only orders", only)
	}
}

func TestTable(t *testing.T) {
	b := burn.New(burn.Config{Instance: "faults-1"})
	record(b, "faults", calls{n: 1000})
	record(b, "images", calls{n: 4, failed: 1})
	record(b, "orders", calls{n: 1000, failed: 20, slow: 1})
	want := `1 daemons at 2026-12-04T12:00:00Z, counting since 2026-12-04T12:00:00Z, 0 calls dropped
service  alert  latency alert  calls 6h  failed 6h  slow 6h  burn 5m 30m 1h 6h        latency burn 5m 30m 1h 6h  left 6h  latency left 6h
orders   fast   none           1000      20         1        20.0 20.0 20.0 20.0      0.1 0.1 0.1 0.1            -1900%   90%
images   none   none           4         1          0        250.0 250.0 250.0 250.0  0.0 0.0 0.0 0.0            -24900%  100%
faults   none   none           1000      0          0        0.0 0.0 0.0 0.0          0.0 0.0 0.0 0.0            100%     100%
`
	if got := b.Report(start).String(); got != want {
		t.Errorf("got\n%s", got)
	}
}

func TestMergeDifferentLevels(t *testing.T) {
	report := func(instance, availability string, all ...calls) burn.Report {
		d, err := config.Parse("test.json", []byte(`{"kind":"service","revision":1,"service":"faults",
			"serviceLevel":{"latencyMs":`+availability+`0,"availability":`+availability+`}}`))
		if err != nil {
			t.Fatal(err)
		}
		b := burn.New(burn.Config{Instance: instance, ServiceLevel: func(string) (config.ServiceLevel, bool) { return d.Service().ServiceLevel(), true }})
		record(b, "faults", all...)
		return b.Report(start.Add(all[0].at))
	}
	older := report("a", "99", calls{n: 1})
	newer := report("a", "99", calls{at: time.Hour, n: 10}, calls{at: time.Minute, n: 10})
	other := report("b", "90", calls{at: time.Hour, n: 100, failed: 10})
	for name, reports := range map[string][]burn.Report{"one order": {older, newer, other}, "other order": {other, newer, older}} {
		got := burn.Merge(reports...)
		s := got.Services[0]
		if c := s.Windows[3]; got.Daemons != 2 || c.Calls != 120 || c.Failed != 10 || fmt.Sprintf("%.3f", c.BurnRate) != "8.333" {
			t.Errorf("%s: got report %+v, want 2 daemons, 120 calls, 10 of them failed, and a burn rate of 8.333", name, got)
		}
		if s.ServiceLevel.Availability != 99 || s.ServiceLevel.LatencyMs != 900 || !got.Since.Equal(start.Add(time.Minute)) || !got.At.Equal(start.Add(time.Hour)) {
			t.Errorf("%s: got level %+v since %v at %v, want availability 99 and 900 ms, from the first call to the newest report", name, s.ServiceLevel, got.Since, got.At)
		}
	}
}

func TestServicesAreBounded(t *testing.T) {
	b := burn.New(burn.Config{MaxServices: 2})
	record(b, "a", calls{n: 1})
	record(b, "b", calls{at: time.Hour, n: 1})
	record(b, "c", calls{at: 2 * time.Hour, n: 3})
	if r := b.Report(start.Add(2 * time.Hour)); r.Dropped != 3 || b.Services() != 2 {
		t.Errorf("got %d dropped calls and %d services, want 3 and 2", r.Dropped, b.Services())
	}
	record(b, "c", calls{at: 6 * time.Hour, n: 1}) // the last call of a was 6 h ago
	r := b.Report(start.Add(6 * time.Hour))
	if len(r.Services) != 2 || r.Services[0].Name != "b" || r.Services[1].Name != "c" {
		t.Errorf("got services %+v, want b and c", r.Services)
	}
}

func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := burn.New(burn.Config{})
		daemons := make([]*burn.Burn, rapid.IntRange(1, 5).Draw(t, "daemons"))
		for i := range daemons {
			daemons[i] = burn.New(burn.Config{Instance: fmt.Sprint("faults-", i)})
		}
		minutes := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 60).Draw(t, "minutes")
		slices.Sort(minutes)
		for _, minute := range minutes {
			name := rapid.SampledFrom([]string{"faults", "orders", "images"}).Draw(t, "service")
			ok := rapid.Bool().Draw(t, "ok")
			took := time.Duration(rapid.IntRange(0, 1000).Draw(t, "took")) * time.Millisecond
			now := start.Add(time.Duration(minute) * time.Minute)
			rapid.SampledFrom(daemons).Draw(t, "daemon").Record(name, ok, took, now)
			whole.Record(name, ok, took, now)
		}
		var reports []burn.Report
		for _, b := range daemons {
			reports = append(reports, b.Report(start.Add(400*time.Minute)))
		}
		want := whole.Report(start.Add(400 * time.Minute))
		got := burn.Merge(rapid.Permutation(append(reports, reports[0])).Draw(t, "order")...)
		if !reflect.DeepEqual(got.Services, want.Services) || !got.Since.Equal(want.Since) || got.Daemons != len(reports) {
			t.Fatalf("got %+v\nwant %+v", got, want)
		}
		tree := burn.Merge(burn.Merge(reports[:1]...), burn.Merge(reports[1:]...))
		if !reflect.DeepEqual(tree.Services, want.Services) {
			t.Fatalf("merge in two steps: got %+v\nwant %+v", tree, want)
		}
		data, err := json.Marshal(got)
		if err != nil {
			t.Fatal(err)
		}
		var decoded burn.Report
		if err := json.Unmarshal(data, &decoded); err != nil || !reflect.DeepEqual(decoded.Services, got.Services) {
			t.Fatalf("after JSON round trip: got %+v, %v", decoded, err)
		}
	})
}

// TestWindowsMatchReference compares the ring with a plain list of calls while the
// clock jumps forwards and backwards.
func TestWindowsMatchReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := burn.New(burn.Config{})
		var failed []int // the minute of each call
		newest := -1000
		for _, minute := range rapid.SliceOfN(rapid.IntRange(0, 1000), 1, 40).Draw(t, "minutes") {
			if minute <= newest-360 {
				failed, newest = nil, minute
			}
			newest = max(newest, minute)
			failed = append(failed, minute)
			b.Record("faults", false, 0, start.Add(time.Duration(minute)*time.Minute))
		}
		at := rapid.IntRange(0, 1400).Draw(t, "at")
		got := b.Report(start.Add(time.Duration(at) * time.Minute)).Services
		for i, minutes := range []int{5, 30, 60, 360} {
			want := 0
			for _, minute := range failed {
				if minute <= at && minute > at-minutes && minute > newest-360 {
					want++
				}
			}
			if len(got) == 0 && want == 0 {
				continue
			}
			if len(got) == 0 || got[0].Windows[i].Failed != uint64(want) {
				t.Fatalf("window of %d minutes at minute %d: got %+v, want %d failed calls of %v", minutes, at, got, want, failed)
			}
		}
	})
}

// newFilledBurn returns a Burn with one call per minute for each of 460 services over
// 400 minutes, which is longer than the 6 hours of the ring.
func newFilledBurn() *burn.Burn {
	b := burn.New(burn.Config{Instance: "faults-1"})
	for minute := range 400 {
		for i := range 460 {
			b.Record(fmt.Sprintf("svc%03d", i), minute%7 != 0, time.Second, start.Add(time.Duration(minute)*time.Minute))
		}
	}
	return b
}

func TestMemory(t *testing.T) {
	const maxBytes = 2_500_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b := newFilledBurn()
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	data, err := json.Marshal(b.Report(start.Add(400 * time.Minute)))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d services use %d bytes, %d for the counts of each; the report has %d bytes", b.Services(), used, burn.BytesPerService, len(data))
	if used > maxBytes || 460*burn.BytesPerService > maxBytes {
		t.Errorf("got %d bytes, want at most %d", used, maxBytes)
	}
}

func BenchmarkRecord(b *testing.B) {
	state := newFilledBurn()
	now := start.Add(400 * time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		state.Record("svc123", true, time.Millisecond, now)
	}
}

func BenchmarkReport(b *testing.B) {
	state := newFilledBurn()
	now := start.Add(400 * time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		state.Report(now)
	}
}
