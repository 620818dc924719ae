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

var allOn = Options{LoadAware: true, SpillOver: true, Eject: true, SlowStart: true, EjectPercent: 34}

func newPicker() *Picker {
	return New(Config{
		SelfZone: "a",
		LinkCost: func(string) time.Duration { return 6 * time.Millisecond },
		Rand:     rand.New(rand.NewPCG(1, 1)).Uint64,
	})
}

func fleet(zones ...string) []Candidate {
	candidates := make([]Candidate, len(zones))
	for i, zone := range zones {
		candidates[i] = Candidate{ID: fmt.Sprintf("u%d", i), Zone: zone, Incarnation: 1}
	}
	return candidates
}

func serving(inFlight, queued int) Load {
	return Load{State: Serving, InFlight: inFlight, Queued: queued, Slots: 10, ServiceTime: 10 * time.Millisecond}
}

// shares counts how 1000 picks spread when each is over at once.
func shares(p *Picker, candidates []Candidate, options Options, now time.Time) []int {
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
		options := allOn
		change(&options)
		return options
	}
	tests := map[string]struct {
		zones   []string
		prepare func(p *Picker)
		options Options
		want    []int // 1000 picks: share of each, at the end those of none
		slack   int
	}{
		"own zone first": {zones: []string{"a", "b", "c"}, options: allOn, want: []int{1000, 0, 0, 0}},
		"spills over when the wait is worse than the link": {zones: []string{"a", "b"}, options: allOn,
			prepare: func(p *Picker) { p.Heard("u0", serving(10, 90), epoch); p.Heard("u1", serving(1, 0), epoch) },
			want:    []int{0, 1000, 0}},
		"stays when the wait is better than the link": {zones: []string{"a", "b"}, options: allOn,
			prepare: func(p *Picker) { p.Heard("u0", serving(3, 0), epoch); p.Heard("u1", serving(0, 0), epoch) },
			want:    []int{1000, 0, 0}},
		"stays when spilling over is off": {zones: []string{"a", "b"}, options: with(func(o *Options) { o.SpillOver = false }),
			prepare: func(p *Picker) { p.Heard("u0", serving(10, 90), epoch); p.Heard("u1", serving(1, 0), epoch) },
			want:    []int{1000, 0, 0}},
		"fast failures draw no calls": {zones: []string{"a", "a"}, options: with(func(o *Options) { o.Eject = false }),
			prepare: func(p *Picker) {
				p.Heard("u0", serving(0, 0), epoch)
				p.Heard("u1", serving(9, 0), epoch)
				fail(p, "u0", 1)
			},
			want: []int{0, 1000, 0}},
		"reported failures draw no calls": {zones: []string{"a", "a"}, options: allOn,
			prepare: func(p *Picker) { p.Heard("u0", Load{State: Serving, Slots: 10, FailPercent: 50}, epoch) },
			want:    []int{0, 1000, 0}},
		"draining takes none": {zones: []string{"a", "a"}, options: Options{},
			prepare: func(p *Picker) { p.Heard("u0", Load{State: Draining}, epoch) },
			want:    []int{0, 1000, 0}},
		"all draining": {zones: []string{"a"}, options: allOn,
			prepare: func(p *Picker) { p.Heard("u0", Load{State: Draining}, epoch) },
			want:    []int{0, 1000}},
		"all off is round robin": {zones: []string{"a", "b", "c", "c"}, options: Options{},
			prepare: func(p *Picker) { p.Heard("u0", serving(10, 90), epoch); fail(p, "u1", 9) },
			want:    []int{250, 250, 250, 250, 0}},
		"ejects one of three": {zones: []string{"a", "a", "a"}, options: with(func(o *Options) { o.LoadAware = false }),
			prepare: func(p *Picker) { fail(p, "u0", 3) },
			want:    []int{0, 500, 500, 0}, slack: 1},
		"ejects none when two of three fail": {zones: []string{"a", "a", "a"}, options: with(func(o *Options) { o.LoadAware = false }),
			prepare: func(p *Picker) { fail(p, "u0", 3); fail(p, "u1", 3) },
			want:    []int{333, 333, 333, 0}, slack: 1},
		"never ejects the last": {zones: []string{"a"}, options: with(func(o *Options) { o.EjectPercent = 100 }),
			prepare: func(p *Picker) { p.MarkDown("u0", epoch) },
			want:    []int{1000, 0}},
		"cold gets a tenth": {zones: []string{"a", "a"}, options: allOn,
			prepare: func(p *Picker) {
				p.Heard("u0", Load{State: Cold, Slots: 10, ServiceTime: 10 * time.Millisecond}, epoch)
				p.Heard("u1", serving(10, 40), epoch)
			},
			want: []int{100, 900, 0}, slack: 40},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPicker()
			if test.prepare != nil {
				test.prepare(p)
			}
			got := shares(p, fleet(test.zones...), test.options, epoch)
			for i := range got {
				if got[i] < test.want[i]-test.slack || got[i] > test.want[i]+test.slack {
					t.Fatalf("got %v, want %v", got, test.want)
				}
			}
		})
	}
}

func TestPickComesBack(t *testing.T) {
	p, candidates, now := newPicker(), fleet("a", "a", "a"), epoch
	picked := func() int { return shares(p, candidates, allOn, now)[0] }
	p.Pick(candidates, nil, allOn, now)
	p.MarkDown("u0", now)
	if n := picked(); n != 0 {
		t.Fatalf("ejected one got %d calls", n)
	}
	now = now.Add(firstBackoff)
	if n := picked(); n != 1000 {
		t.Fatalf("trial was not made first: %d", n)
	}
	p.Started("u0", now)
	if n := picked(); n != 0 {
		t.Fatalf("%d calls beside the trial", n)
	}
	now = now.Add(10 * time.Millisecond)
	p.Finished("u0", Result{Latency: 10 * time.Millisecond}, now)
	if n := picked(); n == 0 || n > 200 {
		t.Fatalf("%d calls at the foot of the ramp", n)
	}
	now = now.Add(defaultRamp)
	if n := picked(); n < 200 {
		t.Fatalf("%d calls after the ramp", n)
	}
}

func TestPickNewIncarnationStartsAfresh(t *testing.T) {
	p, candidates := newPicker(), fleet("a", "a")
	p.Pick(candidates, nil, allOn, epoch)
	p.Heard("u0", Load{State: Draining}, epoch)
	candidates[0].Incarnation = 2
	if i, ok := p.Pick(candidates, []string{"u1"}, allOn, epoch.Add(time.Second)); !ok || i != 0 {
		t.Fatalf("got %d, %v", i, ok)
	}
}

func TestOutstandingCallsCountBeforeTheyEnd(t *testing.T) {
	p, candidates, now := newPicker(), fleet("a", "a"), epoch
	p.Heard("u0", serving(1, 0), now)
	p.Heard("u1", serving(8, 0), now)
	p.Started("u0", now)
	if i, _ := p.Pick(candidates, nil, allOn, now); i != 0 {
		t.Fatal("the idle one was not picked")
	}
	now = now.Add(100 * time.Millisecond)
	p.Heard("u0", serving(1, 0), now)
	p.Heard("u1", serving(8, 0), now)
	if i, _ := p.Pick(candidates, nil, allOn, now); i != 1 {
		t.Fatal("a call overdue was not counted")
	}
}

// TestPickKeepsItsBounds drives a Picker with any events in any order.
func TestPickKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := newPicker(), epoch
		zones := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), 1, 12).Draw(t, "zones")
		candidates := fleet(zones...)
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
				load := serving(rapid.IntRange(0, 20).Draw(t, "n"), 0)
				p.Heard(id.Draw(t, "id"), load, now)
			},
			"drain": func(t *rapid.T) {
				id := id.Draw(t, "id")
				p.Heard(id, Load{State: Draining}, now)
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
					t.Fatalf("picked %d", i)
				}
				for j, c := range candidates {
					if !ok && !slices.Contains(avoid, c.ID) && !p.upstreams[c.ID].closed(now) {
						t.Fatalf("picked none beside %d", j)
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
			p, candidates, now := newPicker(), fleet(zones...), epoch
			for i, c := range candidates {
				p.Heard(c.ID, serving(i%20, 0), now)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Microsecond)
				p.Pick(candidates, nil, allOn, now)
			}
		})
	}
}
