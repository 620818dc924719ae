package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPickByPace counts the choices between an upstream in the same availability
// zone, "near", and one in another with a 7 ms longer round trip, "far".
func TestPickByPace(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	candidates := []Candidate{{ID: "near", Zone: "a", Incarnation: 1}, {ID: "far", Zone: "b", Incarnation: 1}}
	report := func(id string, pace int) func(*Picker) {
		return func(p *Picker) { p.ObserveLoad(id, Load{State: Serving, Slots: 12, Pace: pace}, start) }
	}
	delayed := func(id string, calls int) func(*Picker) {
		return func(p *Picker) {
			for range calls {
				p.ObserveLinkDelay(id, 200*time.Millisecond, start)
			}
		}
	}
	tests := map[string]struct {
		prepare []func(*Picker)
		work    time.Duration
		extra   time.Duration
		after   time.Duration
		wantFar bool
	}{
		"both nominal":            {prepare: []func(*Picker){report("near", 100), report("far", 100)}, work: 100 * time.Millisecond},
		"near is slow":            {prepare: []func(*Picker){report("near", 500), report("far", 100)}, work: 100 * time.Millisecond, wantFar: true},
		"near is slow, tiny work": {prepare: []func(*Picker){report("near", 500), report("far", 100)}, work: time.Millisecond},
		"near is slow, body costly to send": {prepare: []func(*Picker){report("near", 500), report("far", 100)},
			work: 10 * time.Millisecond, extra: 180 * time.Millisecond},
		"reports are old": {prepare: []func(*Picker){report("near", 500), report("far", 100)}, work: 100 * time.Millisecond, after: 5 * time.Second},
		"both are slow":   {prepare: []func(*Picker){report("near", 500), report("far", 500)}, work: 100 * time.Millisecond},
		"calls take longer near": {prepare: []func(*Picker){report("near", 100), report("far", 100), func(p *Picker) {
			for range 40 {
				p.ObserveSlowdown("near", 8, start)
			}
		}}, work: 100 * time.Millisecond, wantFar: true},
		"link to near is saturated": {prepare: []func(*Picker){report("near", 100), report("far", 100), delayed("near", 10)},
			work: 30 * time.Millisecond, wantFar: true},
		"one late response from near": {prepare: []func(*Picker){report("near", 100), report("far", 100), delayed("near", 1)},
			work: 30 * time.Millisecond, after: 3 * time.Second},
		"link to near was saturated": {prepare: []func(*Picker){report("near", 100), report("far", 100), delayed("near", 10)},
			work: 30 * time.Millisecond, after: 5 * time.Second},
		"both links are saturated": {prepare: []func(*Picker){report("near", 100), report("far", 100), delayed("near", 10), delayed("far", 10)},
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
			for _, prepare := range test.prepare {
				prepare(p)
			}
			options := Options{LoadAware: true, SpillOver: true, ExpectedWork: test.work, ExtraLinkCost: test.extra}
			far := 0
			for range 100 {
				if i, ok := p.Pick(candidates, nil, options, start.Add(test.after)); !ok {
					t.Fatal("Pick chose no candidate")
				} else if candidates[i].ID == "far" {
					far++
				}
			}
			if test.wantFar && far < 95 || !test.wantFar && far > 5 {
				t.Fatalf("%d of 100 picks chose far, want at least 95 if wantFar is set, else at most 5", far)
			}
		})
	}
}

func TestRetainForgets(t *testing.T) {
	p := New(Config{SelfZone: "a", Rand: func() uint64 { return 0 }})
	now := time.Unix(1_800_000_000, 0)
	p.ObserveLoad("a", Load{State: Serving, Pace: 500}, now)
	p.MarkDown("b", now)
	p.Retain(func(id string) bool { return id == "a" })
	if len(p.upstreams) != 1 || len(p.ejected) != 0 {
		t.Fatalf("%d upstreams kept, %d ejected, want 1 and 0", len(p.upstreams), len(p.ejected))
	}
}
