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

// run calls Next whenever it asks to be, and answers each probe after took. It
// returns the probes of each second.
func run(m *Meter, now time.Time, seconds int, took time.Duration) (probes []int) {
	probes = make([]int, seconds)
	end := now.Add(time.Duration(seconds) * time.Second)
	for start := now; now.Before(end); {
		action, wakeAt := m.Next(now)
		switch {
		case action == Probe && took < m.config.Timeout:
			probes[int(now.Sub(start).Seconds())]++
			now = now.Add(took)
			m.Done(Reading{State: Serving}, nil, now)
		case action == Probe:
			probes[int(now.Sub(start).Seconds())]++
			now = wakeAt
		case action == Cancel:
			m.Done(Reading{}, errors.New("timeout"), now)
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
		off       bool
		took      time.Duration
		least     int // probes in 20 s
		most      int
	}{
		"two a second":          {perSecond: 2, took: 6 * time.Millisecond, least: 38, most: 39},
		"one in five seconds":   {perSecond: 0.2, took: 6 * time.Millisecond, least: 3, most: 3},
		"none":                  {perSecond: 0},
		"switched off":          {perSecond: 2, off: true},
		"negative":              {perSecond: -1},
		"not a number":          {perSecond: math.NaN()},
		"infinite":              {perSecond: math.Inf(1)},
		"too small":             {perSecond: 1e-300},
		"slower than its pace":  {perSecond: 10, took: 500 * time.Millisecond, least: 32, most: 34},
		"times out":             {perSecond: 10, took: 2 * time.Second, least: 18, most: 19},
		"takes the whole pause": {perSecond: 1000, took: 6 * time.Millisecond, least: 2850, most: 2857},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := New(Config{Rand: rand.New(rand.NewPCG(1, 1)).Uint64})
			m.SetBudget(test.perSecond, !test.off, epoch)
			sum := 0
			for _, n := range run(m, epoch, 20, test.took) {
				sum += n
			}
			if sum < test.least || sum > test.most {
				t.Fatalf("got %d probes, want %d to %d", sum, test.least, test.most)
			}
		})
	}
}

func TestNoBurstAfterPause(t *testing.T) {
	m := New(Config{Rand: rand.Uint64})
	m.SetBudget(1, true, epoch)
	for i, n := range run(m, epoch.Add(time.Hour), 10, time.Millisecond) {
		if n != 1 {
			t.Fatalf("%d probes in second %d after a pause", n, i)
		}
	}
}

func TestFirstProbeWaits(t *testing.T) {
	m := New(Config{Rand: func() uint64 { return math.MaxUint64 / 2 }})
	m.SetBudget(2, true, epoch)
	if action, wakeAt := m.Next(epoch); action != Wait || wakeAt.Sub(epoch).Round(time.Microsecond) != 750*time.Millisecond {
		t.Fatalf("%s until %s", action, wakeAt.Sub(epoch))
	}
}

func TestSwitchOffCancels(t *testing.T) {
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
	if _, at := m.Reading(); !at.IsZero() || m.Failures() != 1 || m.UnderWay() {
		t.Fatal("the cancelled probe was read")
	}
}

// TestBudgetHolds checks in every window between two probes that there were no
// more than the budget of that window gave and one.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		now, rate, given := epoch, 0.0, 0.0
		m := New(Config{Rand: random.Uint64})
		var spent []float64 // what the budget had given at each probe
		underWay := false
		advance := func(d time.Duration) {
			now = now.Add(d)
			given += rate * d.Seconds()
		}
		budget := func(t *rapid.T) {
			rate = rapid.SampledFrom([]float64{0, 0.03, 1, 7.5, 400}).Draw(t, "rate")
			m.SetBudget(rate, true, now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass":  func(t *rapid.T) { advance(time.Duration(rapid.Int64Range(0, 3e9).Draw(t, "ns"))) },
			"pause": func(t *rapid.T) { advance(time.Duration(rapid.Int64Range(0, 60e9).Draw(t, "ns"))) },
			"stale clock": func(t *rapid.T) { // paused between reading it and sending
				ago := time.Duration(rapid.Int64Range(0, 60e9).Draw(t, "ns"))
				if action, _ := m.Next(now.Add(-ago)); action == Probe {
					underWay, spent = true, append(spent, given)
				}
			},
			"budget": budget,
			"restart": func(t *rapid.T) {
				m, underWay, rate = New(Config{Rand: random.Uint64}), false, 0
				budget(t)
			},
			"done": func(t *rapid.T) {
				if underWay {
					m.Done(Reading{State: Serving}, nil, now)
					underWay = false
				}
			},
			"run": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "steps") {
					action, wakeAt := m.Next(now)
					if action == Probe {
						if underWay {
							t.Fatal("two probes under way")
						}
						underWay, spent = true, append(spent, given)
					}
					if d := wakeAt.Sub(now); d > 0 {
						advance(d)
					}
					if underWay && rapid.Bool().Draw(t, "answers") {
						m.Done(Reading{State: Serving}, nil, now)
						underWay = false
					}
				}
			},
			"": func(t *rapid.T) {
				for i := range spent {
					if allowed := spent[len(spent)-1] - spent[i] + 1 + 1e-6; float64(len(spent)-i) > allowed {
						t.Fatalf("%d probes where %.3f are allowed", len(spent)-i, allowed)
					}
				}
			},
		})
	})
}

func TestParseReading(t *testing.T) {
	tests := map[string]struct {
		body string
		want Reading
		bad  bool
	}{
		"full":      {body: `{"state":"cold","inFlight":2,"slots":9}`, want: Reading{State: Cold, InFlight: 2, Slots: 9}},
		"more":      {body: `{"state":"serving","color":1}`, want: Reading{State: Serving}},
		"no state":  {body: `{}`, bad: true},
		"negative":  {body: `{"state":"serving","slots":-1}`, bad: true},
		"not JSON":  {body: `ok`, bad: true},
		"cut short": {body: `{"state":"serv`, bad: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := ParseReading([]byte(test.body))
			if errors.Is(err, ErrReading) != test.bad || got != test.want {
				t.Fatalf("got %+v, %v", got, err)
			}
		})
	}
}

func FuzzParseReading(f *testing.F) {
	f.Add([]byte(`{"state":"serving","inFlight":2,"slots":9}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := ParseReading(b); err == nil && (r.State == "" || r.InFlight < 0 || r.Slots < 0) {
			t.Fatalf("%+v", r)
		}
	})
}
