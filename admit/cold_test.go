package admit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/call"
)

func TestNewColdLimit(t *testing.T) {
	tests := map[string]struct {
		perSecond, bound float64
		want             admit.ColdLimit
	}{
		"no limit":  {0, 8, admit.ColdLimit{}},
		"usual":     {13, 27.5, admit.ColdLimit{Starts: 13, Probes: 4, Unconfirmed: 5, FirstSecond: 5}},
		"below one": {0.5, 8.75, admit.ColdLimit{Starts: 1, Probes: 2, Unconfirmed: 3, FirstSecond: 2}},
		"no excess": {13, 13, admit.ColdLimit{Starts: 9, Probes: 1, Unconfirmed: 2, FirstSecond: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := admit.NewColdLimit(test.perSecond, test.bound); got != test.want {
				t.Fatalf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// coldUpstream sends what a gate allows to an upstream that is cold at times, and records
// what reaches it while it is cold.
type coldUpstream struct {
	gate   *admit.Gate
	limits admit.Limits
	now    time.Time
	// changes are the times at which it becomes cold, warm, cold and so on.
	changes []time.Time
	// probedAt is when the probe in progress was sent, or zero. probedCold is what it
	// found, right at its sending.
	probedAt      time.Time
	probedCold    bool
	lossy         bool
	arrived       int
	running       []string
	whileCold     []time.Time // calls and probes
	probes        int
	started, lost int
}

func newColdUpstream(limit admit.ColdLimit, paced bool, now time.Time) *coldUpstream {
	u := &coldUpstream{now: now, limits: admit.Limits{Slots: 15, Queue: 30, Shed: true, Paced: paced, ColdLimit: limit}}
	u.restart()
	return u
}

// restart replaces the gate, as a restart of the process does.
func (u *coldUpstream) restart() {
	u.gate, u.running, u.probedAt = admit.New(admit.Config{}), nil, time.Time{}
	u.do(u.gate.SetLimits(u.limits, u.now))
}

func (u *coldUpstream) cold() bool {
	after, _ := slices.BinarySearchFunc(u.changes, u.now.Add(1), time.Time.Compare)
	return after%2 == 1
}

func (u *coldUpstream) sent() {
	if u.cold() {
		u.whileCold = append(u.whileCold, u.now)
	}
}

func (u *coldUpstream) do(actions []admit.Action) {
	for _, a := range actions {
		switch a.Kind {
		case admit.Start:
			u.started++
			u.running = append(u.running, a.CallID)
			u.sent()
		case admit.Refuse:
			u.lost++
		case admit.Measure, admit.Probe:
			switch {
			case u.probedAt.IsZero() && u.gate.MayProbe(u.now):
				u.gate.Probed(u.now)
				u.probedAt, u.probedCold = u.now, u.cold()
				u.probes++
				u.sent()
			case u.probedAt.IsZero() && a.Kind == admit.Measure:
				u.do(u.gate.Unmeasured(u.now))
			}
		}
	}
}

func (u *coldUpstream) arrive() {
	u.arrived++
	u.do(u.gate.Arrive(call.Request{
		ID: fmt.Sprint(u.arrived), Deadline: u.now.Add(3 * time.Second), Target: u.now.Add(time.Second), ExpectedWork: 100 * time.Millisecond,
	}, u.now))
}

func (u *coldUpstream) finish() {
	if len(u.running) > 0 {
		id := u.running[0]
		u.running = u.running[1:]
		u.do(u.gate.Finish(id, 100*time.Millisecond, u.now))
	}
}

// respond ends the probe in progress.
func (u *coldUpstream) respond() {
	if u.probedAt.IsZero() {
		return
	}
	sentAt := u.probedAt
	u.probedAt = time.Time{}
	if u.lossy {
		u.do(u.gate.Unmeasured(u.now))
		return
	}
	if u.probedCold {
		u.gate.FoundCold(0, u.now)
	} else {
		u.gate.FoundWarm(sentAt)
	}
	u.do(u.gate.Measured(100, u.now))
}

func (u *coldUpstream) advance(by time.Duration) {
	u.now = u.now.Add(by)
	u.do(u.gate.Tick(u.now))
}

// most returns the largest number of times within one second, both ends included.
func most(times []time.Time) int {
	result, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > time.Second {
			first++
		}
		result = max(result, i-first+1)
	}
	return result
}

// TestColdBoundHolds guards against a cold upstream crashing: in no second more calls and
// probes reach it while it is cold than allowed, whenever it becomes cold, whatever
// probes are lost, and across restarts of the process.
func TestColdBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.2, 40).Draw(t, "perSecond")
		bound := perSecond*rapid.Float64Range(1, 2).Draw(t, "excess") + rapid.Float64Range(3, 10).Draw(t, "slack")
		limit := admit.NewColdLimit(perSecond, bound)
		u := newColdUpstream(limit, rapid.Bool().Draw(t, "paced"), paceStart)
		at := u.now
		for range 40 {
			u.changes = append(u.changes, at)
			at = at.Add(time.Duration(rapid.IntRange(1100, 4000).Draw(t, "period")) * time.Millisecond)
		}
		var restarted time.Time
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "calls") {
					u.arrive()
				}
			},
			"finish": func(t *rapid.T) {
				for range rapid.IntRange(1, 15).Draw(t, "calls") {
					u.finish()
				}
			},
			"respond": func(*rapid.T) { u.respond() },
			"lose":    func(t *rapid.T) { u.lossy = rapid.IntRange(0, 3).Draw(t, "lossy") == 0 },
			"wait": func(t *rapid.T) {
				u.advance(time.Duration(rapid.SampledFrom([]int{1, 10, 50, 200, 400, 1000, 1001}).Draw(t, "ms")) * time.Millisecond)
			},
			"due": func(*rapid.T) {
				if next, ok := u.gate.NextStart(u.now); ok {
					u.advance(next.Sub(u.now))
				}
			},
			"restart": func(*rapid.T) {
				if u.now.Sub(restarted) > 2*time.Second {
					restarted = u.now
					u.restart()
				}
			},
			"crash": func(*rapid.T) { u.gate.ForgetWarmth(u.now) },
			"": func(t *rapid.T) {
				if got := most(u.whileCold); got > int(bound) {
					t.Fatalf("%d calls and probes within a second, at most %d are allowed", got, int(bound))
				}
			},
		})
	})
}

// TestColdRate checks how many of 60 calls a second are started: at the limit while the
// upstream is cold, all once it is warm, at the limit again if probes are lost, and all if
// there is no limit.
func TestColdRate(t *testing.T) {
	for name, paced := range map[string]bool{"paced": true, "not paced": false} {
		t.Run(name, func(t *testing.T) {
			u := newColdUpstream(admit.NewColdLimit(13, 27.5), paced, paceStart)
			u.changes = []time.Time{u.now, u.now.Add(3 * time.Second)}
			second := func() int {
				before := u.started
				for ms := range 1000 {
					if ms%17 == 0 {
						u.arrive()
						u.finish()
					}
					u.advance(time.Millisecond)
					u.respond()
				}
				return u.started - before
			}
			first, cold, probes := second(), second(), u.probes
			turning, waits := second()+second(), u.lost
			warm := second()
			if first < 3 || first > 5 || probes > 8 || cold < 12 || cold > 13 || turning < 40 || warm < 55 || waits == 0 {
				t.Errorf("started %d in the first second, %d while cold, %d while it became warm, %d while warm; %d probes, %d refused", first, cold, turning, warm, probes, waits)
			}
			u.lossy = true
			second()
			if lossy := second(); lossy > 13 {
				t.Errorf("started %d in a second although probes are lost, want at most 13", lossy)
			}
			u.limits.ColdLimit = admit.ColdLimit{}
			u.restart()
			if free := second(); free < 58 {
				t.Errorf("started %d of 59 without a limit", free)
			}
		})
	}
}

// TestWarmthIsForgotten guards against an upstream that counts as warm although it may
// have been replaced, or was not probed for long.
func TestWarmthIsForgotten(t *testing.T) {
	tests := map[string]struct {
		do             func(g *admit.Gate, now time.Time)
		limited, probe bool
	}{
		"nothing happened":  {func(*admit.Gate, time.Time) {}, false, false},
		"replaced":          {func(g *admit.Gate, now time.Time) { g.ForgetWarmth(now) }, true, true},
		"drained and back":  {func(g *admit.Gate, now time.Time) { g.Drain(now); g.Open() }, true, true},
		"draining":          {func(g *admit.Gate, now time.Time) { g.Drain(now) }, false, false},
		"found cold":        {func(g *admit.Gate, now time.Time) { g.FoundCold(time.Second, now) }, true, true},
		"idle for a second": {func(g *admit.Gate, now time.Time) { g.FoundWarm(now.Add(-time.Second)) }, false, true},
		"earlier response": {func(g *admit.Gate, now time.Time) {
			g.ForgetWarmth(now)
			g.FoundWarm(now.Add(-time.Millisecond))
		}, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := admit.New(admit.Config{})
			g.SetLimits(admit.Limits{Slots: 2, Queue: 4, ColdLimit: admit.NewColdLimit(13, 27.5)}, paceAt(0))
			g.FoundWarm(paceAt(1999))
			test.do(g, paceAt(2000))
			actions := g.Tick(paceAt(2000))
			if probe := len(actions) == 1 && actions[0].Kind == admit.Probe; g.Limited(paceAt(2000)) != test.limited || probe != test.probe {
				t.Errorf("limited = %v, got %v", g.Limited(paceAt(2000)), actions)
			}
		})
	}
}

// TestPaceAfterColdLimit guards against a gate that judges the pace of its upstream as that of a
// cold one for good, if the limit is withdrawn while the upstream is cold.
func TestPaceAfterColdLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := admit.Limits{Slots: 2, Queue: 10, Shed: true, Paced: true, ColdLimit: admit.NewColdLimit(13, 27.5)}
	g := admit.New(admit.Config{Slots: 2, Queue: 10, Shed: true})
	g.SetLimits(limits, now)
	g.FoundCold(time.Second, now)
	limits.ColdLimit = admit.ColdLimit{}
	g.SetLimits(limits, now)
	g.Arrive(call.Request{ID: "a", ExpectedWork: 100 * time.Millisecond}, now)
	g.Measured(2*admit.NominalPace, now)
	if _, slow := g.RemeasureAt(now); !slow {
		t.Error("the upstream does not count as slow at twice the nominal pace")
	}
}
