package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

var allOptions = Options{LoadAware: true, SpillOver: true, Eject: true, SlowStart: true, EjectPercent: 34}

func newPicker() *Picker {
	return New(Config{
		SelfZone: "a",
		LinkCost: func(string) time.Duration { return 6 * time.Millisecond },
		Rand:     rand.New(rand.NewPCG(1, 1)).Uint64,
	})
}

func newCandidates(zones ...string) []Candidate {
	candidates := make([]Candidate, len(zones))
	for i, zone := range zones {
		candidates[i] = Candidate{ID: fmt.Sprintf("u%d", i), Zone: zone, Incarnation: 1}
	}
	return candidates
}

func servingLoad(inFlight, queued int) Load {
	return Load{State: Serving, InFlight: inFlight, Queued: queued, Slots: 10, ServiceTime: 10 * time.Millisecond}
}

// countPicks counts how 1000 picks are distributed if no call stays outstanding.
func countPicks(p *Picker, candidates []Candidate, options Options, now time.Time) []int {
	counts := make([]int, len(candidates)+1)
	for range 1000 {
		i, ok := p.Pick(candidates, nil, options, now)
		if !ok {
			i = len(candidates)
		}
		counts[i]++
	}
	return counts
}

func TestPick(t *testing.T) {
	fail := func(p *Picker, id string, times int) {
		for range times {
			p.Started(id, epoch)
			p.Finished(id, Result{Latency: 200 * time.Microsecond, Failed: true}, epoch)
		}
	}
	with := func(change func(*Options)) Options {
		options := allOptions
		change(&options)
		return options
	}
	tests := map[string]struct {
		zones   []string
		prepare func(p *Picker)
		options Options
		want    []int // number of picks of each candidate, then of none
		slack   int
	}{
		"prefers the same zone": {zones: []string{"a", "b", "c"}, options: allOptions, want: []int{1000, 0, 0, 0}},
		"spills over if the wait exceeds the link cost": {zones: []string{"a", "b"}, options: allOptions,
			prepare: func(p *Picker) {
				p.ObserveLoad("u0", servingLoad(10, 90), epoch)
				p.ObserveLoad("u1", servingLoad(1, 0), epoch)
			},
			want: []int{0, 1000, 0}},
		"stays if the link cost exceeds the wait": {zones: []string{"a", "b"}, options: allOptions,
			prepare: func(p *Picker) {
				p.ObserveLoad("u0", servingLoad(3, 0), epoch)
				p.ObserveLoad("u1", servingLoad(0, 0), epoch)
			},
			want: []int{1000, 0, 0}},
		"stays with spill-over off": {zones: []string{"a", "b"}, options: with(func(o *Options) { o.SpillOver = false }),
			prepare: func(p *Picker) {
				p.ObserveLoad("u0", servingLoad(10, 90), epoch)
				p.ObserveLoad("u1", servingLoad(1, 0), epoch)
			},
			want: []int{1000, 0, 0}},
		"fast failures attract no calls": {zones: []string{"a", "a"}, options: with(func(o *Options) { o.Eject = false }),
			prepare: func(p *Picker) {
				p.ObserveLoad("u0", servingLoad(0, 0), epoch)
				p.ObserveLoad("u1", servingLoad(9, 0), epoch)
				fail(p, "u0", 1)
			},
			want: []int{0, 1000, 0}},
		"reported failures attract no calls": {zones: []string{"a", "a"}, options: allOptions,
			prepare: func(p *Picker) { p.ObserveLoad("u0", Load{State: Serving, Slots: 10, FailPercent: 50}, epoch) },
			want:    []int{0, 1000, 0}},
		"draining upstream gets no calls": {zones: []string{"a", "a"}, options: Options{},
			prepare: func(p *Picker) { p.ObserveLoad("u0", Load{State: Draining}, epoch) },
			want:    []int{0, 1000, 0}},
		"all upstreams draining": {zones: []string{"a"}, options: allOptions,
			prepare: func(p *Picker) { p.ObserveLoad("u0", Load{State: Draining}, epoch) },
			want:    []int{0, 1000}},
		"round robin with all options off": {zones: []string{"a", "b", "c", "c"}, options: Options{},
			prepare: func(p *Picker) { p.ObserveLoad("u0", servingLoad(10, 90), epoch); fail(p, "u1", 9) },
			want:    []int{250, 250, 250, 250, 0}},
		"ejects one failing of three": {zones: []string{"a", "a", "a"}, options: with(func(o *Options) { o.LoadAware = false }),
			prepare: func(p *Picker) { fail(p, "u0", 3) },
			want:    []int{0, 500, 500, 0}, slack: 1},
		"ejects none if two of three fail": {zones: []string{"a", "a", "a"}, options: with(func(o *Options) { o.LoadAware = false }),
			prepare: func(p *Picker) { fail(p, "u0", 3); fail(p, "u1", 3) },
			want:    []int{333, 333, 333, 0}, slack: 1},
		"never ejects the only candidate": {zones: []string{"a"}, options: with(func(o *Options) { o.EjectPercent = 100 }),
			prepare: func(p *Picker) { p.MarkDown("u0", epoch) },
			want:    []int{1000, 0}},
		"cold upstream gets a tenth": {zones: []string{"a", "a"}, options: allOptions,
			prepare: func(p *Picker) {
				p.ObserveLoad("u0", Load{State: Cold, Slots: 10, ServiceTime: 10 * time.Millisecond}, epoch)
				p.ObserveLoad("u1", servingLoad(10, 40), epoch)
			},
			want: []int{100, 900, 0}, slack: 40},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPicker()
			if test.prepare != nil {
				test.prepare(p)
			}
			got := countPicks(p, newCandidates(test.zones...), test.options, epoch)
			for i := range got {
				if got[i] < test.want[i]-test.slack || got[i] > test.want[i]+test.slack {
					t.Fatalf("got %v, want %v", got, test.want)
				}
			}
		})
	}
}

func TestEjectedUpstreamReturnsAfterTrial(t *testing.T) {
	p, candidates, now := newPicker(), newCandidates("a", "a", "a"), epoch
	picked := func() int { return countPicks(p, candidates, allOptions, now)[0] }
	p.Pick(candidates, nil, allOptions, now)
	p.MarkDown("u0", now)
	if n := picked(); n != 0 {
		t.Fatalf("ejected upstream got %d calls, want 0", n)
	}
	now = now.Add(firstBackoff)
	if n := picked(); n != 1000 {
		t.Fatalf("upstream due for a trial got %d calls, want 1000", n)
	}
	p.Started("u0", now)
	if n := picked(); n != 0 {
		t.Fatalf("upstream got %d calls during its trial, want 0", n)
	}
	now = now.Add(10 * time.Millisecond)
	p.Finished("u0", Result{Latency: 10 * time.Millisecond}, now)
	if n := picked(); n == 0 || n > 200 {
		t.Fatalf("upstream got %d calls at the start of its ramp, want 1 to 200", n)
	}
	now = now.Add(defaultRamp)
	if n := picked(); n < 200 {
		t.Fatalf("upstream got %d calls after its ramp, want at least 200", n)
	}
}

func TestNewIncarnationResetsState(t *testing.T) {
	p, candidates := newPicker(), newCandidates("a", "a")
	p.Pick(candidates, nil, allOptions, epoch)
	p.ObserveLoad("u0", Load{State: Draining}, epoch)
	candidates[0].Incarnation = 2
	if i, ok := p.Pick(candidates, []string{"u1"}, allOptions, epoch.Add(time.Second)); !ok || i != 0 {
		t.Fatalf("Pick = %d, %v; want 0, true", i, ok)
	}
}

func TestOverdueCallRaisesCost(t *testing.T) {
	p, candidates, now := newPicker(), newCandidates("a", "a"), epoch
	p.ObserveLoad("u0", servingLoad(1, 0), now)
	p.ObserveLoad("u1", servingLoad(8, 0), now)
	p.Started("u0", now)
	if i, _ := p.Pick(candidates, nil, allOptions, now); i != 0 {
		t.Fatal("Pick did not choose the less loaded upstream")
	}
	now = now.Add(100 * time.Millisecond)
	p.ObserveLoad("u0", servingLoad(1, 0), now)
	p.ObserveLoad("u1", servingLoad(8, 0), now)
	if i, _ := p.Pick(candidates, nil, allOptions, now); i != 1 {
		t.Fatal("Pick did not count the overdue call")
	}
}

// TestPickInvariants drives a Picker with random events in random order.
func TestPickInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := newPicker(), epoch
		zones := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), 1, 12).Draw(t, "zones")
		candidates := newCandidates(zones...)
		id := rapid.Custom(func(t *rapid.T) string {
			return candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, "i")].ID
		})
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(-1e9, 20e9).Draw(t, "ns")))
			},
			"start": func(t *rapid.T) { p.Started(id.Draw(t, "id"), now) },
			"finish": func(t *rapid.T) {
				p.Finished(id.Draw(t, "id"), Result{
					Latency: time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "latency")),
					Failed:  rapid.Bool().Draw(t, "failed"), NotRun: rapid.Bool().Draw(t, "notRun")}, now)
			},
			"hear": func(t *rapid.T) {
				load := servingLoad(rapid.IntRange(0, 20).Draw(t, "n"), 0)
				p.ObserveLoad(id.Draw(t, "id"), load, now)
			},
			"drain": func(t *rapid.T) {
				id := id.Draw(t, "id")
				p.ObserveLoad(id, Load{State: Draining}, now)
			},
			"down":   func(t *rapid.T) { p.MarkDown(id.Draw(t, "id"), now) },
			"forget": func(t *rapid.T) { p.Forget(id.Draw(t, "id")) },
			"": func(t *rapid.T) {
				avoid := rapid.SliceOfN(id, 0, 3).Draw(t, "avoid")
				options := Options{LoadAware: rapid.Bool().Draw(t, "aware"), SpillOver: rapid.Bool().Draw(t, "spill"),
					Eject: rapid.Bool().Draw(t, "eject"), SlowStart: rapid.Bool().Draw(t, "slow"),
					EjectPercent: rapid.IntRange(0, 100).Draw(t, "percent")}
				i, ok := p.Pick(candidates, avoid, options, now)
				if ok && (slices.Contains(avoid, candidates[i].ID) || p.upstreams[candidates[i].ID].closed(now)) {
					t.Fatalf("Pick = %d, which is to be avoided or closed", i)
				}
				for j, c := range candidates {
					if !ok && !slices.Contains(avoid, c.ID) && !p.upstreams[c.ID].closed(now) {
						t.Fatalf("Pick chose no candidate, want %d or another", j)
					}
				}
			},
		})
	})
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{6, 50, 500} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			zones := make([]string, size)
			for i := range zones {
				zones[i] = string(rune('a' + i%5))
			}
			p, candidates, now := newPicker(), newCandidates(zones...), epoch
			for i, c := range candidates {
				p.ObserveLoad(c.ID, servingLoad(i%20, 0), now)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Microsecond)
				p.Pick(candidates, nil, allOptions, now)
			}
		})
	}
}
