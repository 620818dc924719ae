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

// TestMeasureAddsUp runs a small fleet for a second and checks what must hold
// however slow the machine is.
func TestMeasureAddsUp(t *testing.T) {
	if testing.Short() {
		t.Skip("starts fleets")
	}
	size := experiment.Zeigerwerk()
	size.Services = []experiment.Service{{Name: "faults", Upstreams: 2}, {Name: "orders", Upstreams: 2}}
	cases := map[string]struct {
		policy experiment.Policy
		c      experiment.Case
	}{
		"ours, failing fast": {experiment.Ours(), experiment.FailFast},
		"oracle, zone cut":   {policies()[0], experiment.CutZone},
		"two choices":        {experiment.Policy{Name: "two choices", Allow: baseSwitches, Chooser: twoChoices, Poll: pollEvery}, experiment.Shifting},
		"all off":            {experiment.AllOff(), experiment.Steady},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, err := experiment.Run(context.Background(), experiment.RunConfig{
				Size: size, Case: tc.c, Load: 0.2, Policy: tc.policy, Seed: 7,
				ServiceTime: 40 * time.Millisecond, Warm: 200 * time.Millisecond, Duration: time.Second,
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range r.Violations {
				t.Errorf("broken promise: %+v", v)
			}
			if r.Sent < 100 || r.Answered == 0 || r.Answered > r.Sent || r.CrossZone > r.Answered {
				t.Errorf("%d sent, %d answered, %d from another zone", r.Sent, r.Answered, r.CrossZone)
			}
			if n := r.Latency.TotalCount(); n != int64(r.Sent) {
				t.Errorf("%d latencies of %d calls", n, r.Sent)
			}
			if s := r.Spent; s.Further > s.Attempts || s.Attempts == 0 {
				t.Errorf("%d attempts, %d of them further ones", s.Attempts, s.Further)
			}
			if most := size.ProbesPerSecond*r.Duration.Seconds() + 1; tc.policy.Poll == 0 && float64(r.Spent.Probes) > 4*most {
				t.Errorf("%d probes of 4 upstreams, at most %g each", r.Spent.Probes, most)
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
		from  string
		least time.Duration
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
			if took := time.Since(start); took < tc.least {
				t.Errorf("connecting and one round trip took %s, want at least %s", took, tc.least)
			}
		})
	}
	links.Cut("b")
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, err := links.Dial("a")(ctx, l.Addr().String()); err == nil {
		t.Error("a cut link let a connection through")
	}
	if c, err := links.Dial("b")(context.Background(), l.Addr().String()); err != nil {
		t.Errorf("the zone itself: %v", err)
	} else {
		_ = c.Close()
	}
}

func TestTableOfRatios(t *testing.T) {
	cases := map[string]struct {
		figures []float64
		want    experiment.Spread
	}{
		"none": {nil, experiment.Spread{}},
		"one":  {[]float64{3}, experiment.Spread{Median: 3, Least: 3, Greatest: 3}},
		"odd":  {[]float64{9, 1, 2}, experiment.Spread{Median: 2, Least: 1, Greatest: 9}},
		"even": {[]float64{4, 1, 2, 9}, experiment.Spread{Median: 3, Least: 1, Greatest: 9}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if got := experiment.SpreadOf(tc.figures); got != tc.want {
				t.Errorf("spread %+v, want %+v", got, tc.want)
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
	if got := row(20, 30, 60).Ratio(row(10, 10, 10), experiment.Result.Goodput); math.Abs(got.Median-3) > 1e-9 || got.Greatest != 6 {
		t.Errorf("ratios %+v", got)
	}
}
