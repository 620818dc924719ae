package experiment_test

import (
	"context"
	"io"
	"math"
	"net"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/experiment"
)

// TestMeasureCountsAreConsistent runs small fleets for a second and checks relations
// between the counts that hold on a machine of any speed.
func TestMeasureCountsAreConsistent(t *testing.T) {
	if testing.Short() {
		t.Skip("starts fleets")
	}
	size := experiment.Zeigerwerk()
	size.Services = []experiment.Service{{Name: "faults", Upstreams: 2}, {Name: "orders", Upstreams: 2}}
	cases := map[string]struct {
		policy experiment.Policy
		c      experiment.Case
	}{
		"all on, one upstream failing fast": {experiment.AllOn(), experiment.FailFast},
		"oracle, isolated zone":             {policies()[0], experiment.CutZone},
		"two choices, shifting load":        {experiment.Policy{Name: "two choices", Allow: baselineActions, Chooser: twoChoices, PollInterval: pollInterval}, experiment.Shifting},
		"all off, steady load":              {experiment.AllOff(), experiment.Steady},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, err := experiment.Run(context.Background(), experiment.RunConfig{
				Size: size, Case: tc.c, Load: 0.2, Policy: tc.policy, Seed: 7,
				ServiceTime: 40 * time.Millisecond, WarmUp: 200 * time.Millisecond, Duration: time.Second,
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range r.Violations {
				t.Errorf("violation: %+v", v)
			}
			if r.Sent < 100 || r.Answered == 0 || r.Answered > r.Sent || r.CrossZone > r.Answered {
				t.Errorf("inconsistent counts: %d sent, %d answered, %d of them cross-zone", r.Sent, r.Answered, r.CrossZone)
			}
			if n := r.Latency.TotalCount(); n != int64(r.Sent) {
				t.Errorf("got %d latencies, want %d, one per call", n, r.Sent)
			}
			if s := r.Overhead; s.FurtherAttempts > s.Attempts || s.Attempts == 0 {
				t.Errorf("got %d attempts, %d of them further attempts; want at least 1, and no more further attempts than attempts", s.Attempts, s.FurtherAttempts)
			}
			if maxProbes := size.ProbesPerSecond*r.Duration.Seconds() + 1; tc.policy.PollInterval == 0 && float64(r.Overhead.Probes) > 4*maxProbes {
				t.Errorf("got %d probes of 4 upstreams, want at most %g each", r.Overhead.Probes, maxProbes)
			}
		})
	}
}

func TestLinksDelayAndCut(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	links := experiment.NewLinks(experiment.Link{OneWay: 20 * time.Millisecond}, 1)
	defer links.Close()
	links.Add(l.Addr().String(), "b")
	cases := map[string]struct {
		from    string
		minTime time.Duration
	}{
		"same zone":  {"b", 0},
		"other zone": {"a", 80 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			c, err := links.Dial(tc.from)(context.Background(), l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := c.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			if _, err := c.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(start); took < tc.minTime {
				t.Errorf("dial and one echo took %s, want at least %s", took, tc.minTime)
			}
		})
	}
	links.IsolateZone("b")
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, err := links.Dial("a")(ctx, l.Addr().String()); err == nil {
		t.Error("dial into an isolated zone succeeded, want an error")
	}
	if c, err := links.Dial("b")(context.Background(), l.Addr().String()); err != nil {
		t.Errorf("dial within the isolated zone: %v", err)
	} else {
		_ = c.Close()
	}
}

func TestSpreadAndRatio(t *testing.T) {
	cases := map[string]struct {
		values []float64
		want   experiment.Spread
	}{
		"none": {nil, experiment.Spread{}},
		"one":  {[]float64{3}, experiment.Spread{Median: 3, Min: 3, Max: 3}},
		"odd":  {[]float64{9, 1, 2}, experiment.Spread{Median: 2, Min: 1, Max: 9}},
		"even": {[]float64{4, 1, 2, 9}, experiment.Spread{Median: 3, Min: 1, Max: 9}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if got := experiment.SpreadOf(tc.values); got != tc.want {
				t.Errorf("SpreadOf() = %+v, want %+v", got, tc.want)
			}
		})
	}
	row := func(figures ...int) experiment.Row {
		var r experiment.Row
		for _, f := range figures {
			r.Results = append(r.Results, experiment.Result{Answered: f, Duration: time.Second})
		}
		return r
	}
	if got := row(20, 30, 60).Ratio(row(10, 10, 10), experiment.Result.Goodput); math.Abs(got.Median-3) > 1e-9 || got.Max != 6 {
		t.Errorf("Ratio() = %+v, want median 3 and maximum 6", got)
	}
}
