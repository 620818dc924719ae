package measure

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// simulate calls Next at each wake-up time and completes each probe after
// latency. It returns the number of probes in each second.
func simulate(m *Meter, now time.Time, seconds int, latency time.Duration) (probes []int) {
	probes = make([]int, seconds)
	end := now.Add(time.Duration(seconds) * time.Second)
	for start := now; now.Before(end); {
		action, wakeAt := m.Next(now)
		switch {
		case action == Probe && latency < m.config.Timeout:
			probes[int(now.Sub(start).Seconds())]++
			now = now.Add(latency)
			m.Done(Reading{State: Serving}, nil, now)
		case action == Probe:
			probes[int(now.Sub(start).Seconds())]++
			now = wakeAt
		case action == Cancel:
			m.Done(Reading{}, errors.New("probe timed out"), now)
		case wakeAt.IsZero():
			return probes
		default:
			now = wakeAt
		}
	}
	return probes
}

func TestNext(t *testing.T) {
	tests := map[string]struct {
		perSecond float64
		disabled  bool
		latency   time.Duration
		minProbes int // probes in 20 s
		maxProbes int
	}{
		"two per second":                 {perSecond: 2, latency: 6 * time.Millisecond, minProbes: 38, maxProbes: 39},
		"one per five seconds":           {perSecond: 0.2, latency: 6 * time.Millisecond, minProbes: 3, maxProbes: 3},
		"zero":                           {perSecond: 0},
		"disabled":                       {perSecond: 2, disabled: true},
		"negative":                       {perSecond: -1},
		"not a number":                   {perSecond: math.NaN()},
		"infinite":                       {perSecond: math.Inf(1)},
		"too small":                      {perSecond: 1e-300},
		"probe longer than interval":     {perSecond: 10, latency: 500 * time.Millisecond, minProbes: 32, maxProbes: 34},
		"timeout":                        {perSecond: 10, latency: 2 * time.Second, minProbes: 18, maxProbes: 19},
		"probe takes the whole interval": {perSecond: 1000, latency: 6 * time.Millisecond, minProbes: 2850, maxProbes: 2857},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := New(Config{Rand: rand.New(rand.NewPCG(1, 1)).Uint64})
			m.SetBudget(test.perSecond, !test.disabled, epoch)
			sum := 0
			for _, n := range simulate(m, epoch, 20, test.latency) {
				sum += n
			}
			if sum < test.minProbes || sum > test.maxProbes {
				t.Fatalf("got %d probes, want %d to %d", sum, test.minProbes, test.maxProbes)
			}
		})
	}
}

func TestNoBurstAfterPause(t *testing.T) {
	m := New(Config{Rand: rand.Uint64})
	m.SetBudget(1, true, epoch)
	for i, n := range simulate(m, epoch.Add(time.Hour), 10, time.Millisecond) {
		if n != 1 {
			t.Fatalf("got %d probes in second %d after a pause, want 1", n, i)
		}
	}
}

func TestFirstProbeIsDelayed(t *testing.T) {
	m := New(Config{Rand: func() uint64 { return math.MaxUint64 / 2 }})
	m.SetBudget(2, true, epoch)
	if action, wakeAt := m.Next(epoch); action != Wait || wakeAt.Sub(epoch).Round(time.Microsecond) != 750*time.Millisecond {
		t.Fatalf("got %s until %s, want wait until 750ms", action, wakeAt.Sub(epoch))
	}
}

func TestDisablingCancelsProbe(t *testing.T) {
	m := New(Config{Rand: rand.Uint64})
	m.SetBudget(1, true, epoch)
	now := epoch.Add(time.Minute)
	if action, _ := m.Next(now); action != Probe {
		t.Fatal(action)
	}
	m.SetBudget(1, false, now)
	if action, _ := m.Next(now); action != Cancel {
		t.Fatal(action)
	}
	m.Done(Reading{State: Serving}, nil, now)
	if _, at := m.Reading(); !at.IsZero() || m.Failures() != 1 || m.Probing() {
		t.Fatal("the reading of a cancelled probe was accepted")
	}
}

// TestBudgetIsNeverExceeded checks that in every window between two probes there
// was at most one probe more than the budget granted for that window.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		now, rate, granted := epoch, 0.0, 0.0
		m := New(Config{Rand: random.Uint64})
		var grantedAtProbe []float64 // total granted by the budget at the time of each probe
		probing := false
		advance := func(d time.Duration) {
			now = now.Add(d)
			granted += rate * d.Seconds()
		}
		setBudget := func(t *rapid.T) {
			rate = rapid.SampledFrom([]float64{0, 0.03, 1, 7.5, 400}).Draw(t, "rate")
			m.SetBudget(rate, true, now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass":  func(t *rapid.T) { advance(time.Duration(rapid.Int64Range(0, 3e9).Draw(t, "ns"))) },
			"pause": func(t *rapid.T) { advance(time.Duration(rapid.Int64Range(0, 60e9).Draw(t, "ns"))) },
			"stale clock": func(t *rapid.T) { // the process is paused between reading the clock and sending
				ago := time.Duration(rapid.Int64Range(0, 60e9).Draw(t, "ns"))
				if action, _ := m.Next(now.Add(-ago)); action == Probe {
					probing, grantedAtProbe = true, append(grantedAtProbe, granted)
				}
			},
			"budget": setBudget,
			"restart": func(t *rapid.T) {
				m, probing, rate = New(Config{Rand: random.Uint64}), false, 0
				setBudget(t)
			},
			"done": func(t *rapid.T) {
				if probing {
					m.Done(Reading{State: Serving}, nil, now)
					probing = false
				}
			},
			"run": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "steps") {
					action, wakeAt := m.Next(now)
					if action == Probe {
						if probing {
							t.Fatal("Next started a second probe while one was running")
						}
						probing, grantedAtProbe = true, append(grantedAtProbe, granted)
					}
					if d := wakeAt.Sub(now); d > 0 {
						advance(d)
					}
					if probing && rapid.Bool().Draw(t, "answers") {
						m.Done(Reading{State: Serving}, nil, now)
						probing = false
					}
				}
			},
			"": func(t *rapid.T) {
				for i := range grantedAtProbe {
					if allowed := grantedAtProbe[len(grantedAtProbe)-1] - grantedAtProbe[i] + 1 + 1e-6; float64(len(grantedAtProbe)-i) > allowed {
						t.Fatalf("got %d probes, the budget allows %.3f", len(grantedAtProbe)-i, allowed)
					}
				}
			},
		})
	})
}

func TestParseReading(t *testing.T) {
	tests := map[string]struct {
		body    string
		want    Reading
		wantErr bool
	}{
		"all fields":    {body: `{"state":"cold","inFlight":2,"slots":9}`, want: Reading{State: Cold, InFlight: 2, Slots: 9}},
		"unknown field": {body: `{"state":"serving","color":1}`, want: Reading{State: Serving}},
		"no state":      {body: `{}`, wantErr: true},
		"negative":      {body: `{"state":"serving","slots":-1}`, wantErr: true},
		"not JSON":      {body: `ok`, wantErr: true},
		"truncated":     {body: `{"state":"serv`, wantErr: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := ParseReading([]byte(test.body))
			if errors.Is(err, ErrReading) != test.wantErr || got != test.want {
				t.Fatalf("got %+v, %v", got, err)
			}
		})
	}
}

func FuzzParseReading(f *testing.F) {
	f.Add([]byte(`{"state":"serving","inFlight":2,"slots":9}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := ParseReading(b); err == nil && (r.State == "" || r.InFlight < 0 || r.Slots < 0) {
			t.Fatalf("invalid reading accepted: %+v", r)
		}
	})
}
