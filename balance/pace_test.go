package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPickByPace counts the choices among an upstream of the own zone and one of
// another, 7 ms away.
func TestPickByPace(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	candidates := []Candidate{{ID: "near", Zone: "a", Incarnation: 1}, {ID: "far", Zone: "b", Incarnation: 1}}
	heard := func(id string, pace int) func(*Picker) {
		return func(p *Picker) { p.Heard(id, Load{State: Serving, Slots: 12, Pace: pace}, start) }
	}
	late := func(id string, times int) func(*Picker) {
		return func(p *Picker) {
			for range times {
				p.Way(id, 200*time.Millisecond, start)
			}
		}
	}
	tests := map[string]struct {
		know  []func(*Picker)
		work  time.Duration
		extra time.Duration
		after time.Duration
		far   bool
	}{
		"both usual":              {know: []func(*Picker){heard("near", 100), heard("far", 100)}, work: 100 * time.Millisecond},
		"near is slow":            {know: []func(*Picker){heard("near", 500), heard("far", 100)}, work: 100 * time.Millisecond, far: true},
		"near is slow, tiny work": {know: []func(*Picker){heard("near", 500), heard("far", 100)}, work: time.Millisecond},
		"near is slow, the body is dear": {know: []func(*Picker){heard("near", 500), heard("far", 100)},
			work: 10 * time.Millisecond, extra: 180 * time.Millisecond},
		"the news is old": {know: []func(*Picker){heard("near", 500), heard("far", 100)}, work: 100 * time.Millisecond, after: 5 * time.Second},
		"both are slow":   {know: []func(*Picker){heard("near", 500), heard("far", 500)}, work: 100 * time.Millisecond},
		"calls take longer near": {know: []func(*Picker){heard("near", 100), heard("far", 100), func(p *Picker) {
			for range 40 {
				p.Worked("near", 8, start)
			}
		}}, work: 100 * time.Millisecond, far: true},
		"the way near is choked": {know: []func(*Picker){heard("near", 100), heard("far", 100), late("near", 10)},
			work: 30 * time.Millisecond, far: true},
		"one answer from near was late": {know: []func(*Picker){heard("near", 100), heard("far", 100), late("near", 1)},
			work: 30 * time.Millisecond, after: 3 * time.Second},
		"the way near was choked": {know: []func(*Picker){heard("near", 100), heard("far", 100), late("near", 10)},
			work: 30 * time.Millisecond, after: 5 * time.Second},
		"both ways are choked": {know: []func(*Picker){heard("near", 100), heard("far", 100), late("near", 10), late("far", 10)},
			work: 30 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			p := New(Config{SelfZone: "a", Rand: random.Uint64, LinkCost: func(zone string) time.Duration {
				if zone == "b" {
					return 7 * time.Millisecond
				}
				return 0
			}})
			for _, know := range test.know {
				know(p)
			}
			options := Options{LoadAware: true, SpillOver: true, Work: test.work, Extra: test.extra}
			far := 0
			for range 100 {
				if i, ok := p.Pick(candidates, nil, options, start.Add(test.after)); !ok {
					t.Fatal("no choice")
				} else if candidates[i].ID == "far" {
					far++
				}
			}
			if test.far && far < 95 || !test.far && far > 5 {
				t.Fatalf("%d of 100 went far", far)
			}
		})
	}
}

func TestRetainForgets(t *testing.T) {
	p := New(Config{SelfZone: "a", Rand: func() uint64 { return 0 }})
	now := time.Unix(1_800_000_000, 0)
	p.Heard("a", Load{State: Serving, Pace: 500}, now)
	p.MarkDown("b", now)
	p.Retain(func(id string) bool { return id == "a" })
	if len(p.upstreams) != 1 || len(p.ejected) != 0 {
		t.Fatalf("%d known, %d ejected", len(p.upstreams), len(p.ejected))
	}
}
