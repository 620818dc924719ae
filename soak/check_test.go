package soak

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/platform/platformtest"
)

var baseTime = time.Unix(1_800_000_000, 0)

func atMs(n int) time.Time { return baseTime.Add(time.Duration(n) * time.Millisecond) }

// goodHistory returns a history without violations: a lookup, an order that was
// refused and resent, and a request on the moving route.
func goodHistory() *history {
	h := newHistory()
	h.memoryBound = 64
	h.addConfig("lookups", atMs(-9000))
	h.addConfig("orders", atMs(-8000))
	h.faultsEnded = atMs(-5000)
	get := platformtest.Request{Token: "get", Method: "GET", Path: "/look/1", Timeout: time.Second}
	order := platformtest.Request{Token: "order", Method: "POST", Path: "/order/2", Body: "two", Timeout: time.Second}
	refused, moving := order, get
	refused.Token, moving.Token, moving.Path = "refused", "moving", "/moving/3"
	served := platformtest.Result{Status: 200}
	h.exchanges = []exchange{
		{request: get, result: served, origin: "orders", sent: atMs(0), done: atMs(30)},
		{request: refused, result: platformtest.Result{Status: 503, NotRun: true}, origin: "orders", sent: atMs(-9000), done: atMs(-8990)},
		{request: order, result: served, origin: "orders", sent: atMs(50), done: atMs(80)},
		{request: moving, result: served, origin: "lookups", sent: atMs(60), done: atMs(90)},
	}
	h.runs = []platformtest.Run{
		{Token: "get", Method: "GET", Path: "/look/1", Origin: "orders", Worker: "i-1", Service: "lookups", StartedAt: atMs(5)},
		{Token: "order", Method: "POST", Path: "/order/2", Body: "two", Origin: "orders", Worker: "i-2", Service: "orders", StartedAt: atMs(55)},
		{Token: "moving", Method: "GET", Path: "/moving/3", Origin: "lookups", Worker: "i-2", Service: "orders", StartedAt: atMs(65)},
	}
	return h
}

// rerun returns a second run of the same request on another upstream.
func rerun(r platformtest.Run) platformtest.Run {
	r.Worker, r.StartedAt = "i-9", r.StartedAt.Add(10*time.Millisecond)
	return r
}

// TestCheckFindsInjectedViolations injects violations of the promises into a good
// history, and near misses that must not be reported.
func TestCheckFindsInjectedViolations(t *testing.T) {
	tests := map[string]struct {
		inject func(h *history)
		want   Promise
	}{
		"none":                                 {func(*history) {}, ""},
		"answer to another request":            {func(h *history) { h.exchanges[0].result.Mismatch = "sealed for another" }, CompleteResponse},
		"order runs twice":                     {func(h *history) { h.runs = append(h.runs, rerun(h.runs[1])) }, RunOnce},
		"lookup runs twice":                    {func(h *history) { h.runs = append(h.runs, rerun(h.runs[0])) }, ""},
		"refused order ran before":             {func(h *history) { h.runs = append(h.runs, withToken(h.runs[1], "refused", atMs(-8995))) }, NotRunAccurate},
		"refused order runs later":             {func(h *history) { h.runs = append(h.runs, withToken(h.runs[1], "refused", atMs(900))) }, NotRunAccurate},
		"refused lookup ran":                   {func(h *history) { h.exchanges[0].result = platformtest.Result{Status: 503, NotRun: true} }, NotRunAccurate},
		"run of a request that was not sent":   {func(h *history) { h.runs = append(h.runs, withToken(h.runs[0], "strange", atMs(5))) }, OnlySent},
		"run with another body":                {func(h *history) { h.runs[1].Body = "tw" }, OnlySent},
		"run with another origin":              {func(h *history) { h.runs[0].Origin = "lookups" }, OnlySent},
		"run at a service without the route":   {func(h *history) { h.runs[0].Service = "orders" }, RightService},
		"old configuration after recovery":     {func(h *history) { h.runs[2].Service = "lookups" }, ConfigInForce},
		"old configuration before recovery":    {func(h *history) { h.runs[2].Service, h.faultsEnded = "lookups", atMs(-100) }, Recovers},
		"new work 3 s after the drain started": {func(h *history) { h.addDrain("i-2", atMs(-3000)) }, NoNewWork},
		"new work 1 s after the drain started": {func(h *history) { h.addDrain("i-2", atMs(-1000)) }, ""},
		"run 6 s after the evacuation began":   {func(h *history) { h.addEvacuation("a", -6000, 1000) }, ZoneEvacuated},
		"run 6 s later with a daemon killed": {func(h *history) {
			h.addEvacuation("a", -6000, 1000)
			h.periods = append(h.periods, period{event: Event{Kind: DaemonKill}, from: atMs(-5500), to: atMs(-5500)})
		}, ZoneEvacuated},
		"run 6 s later with the store away": {func(h *history) {
			h.addEvacuation("a", -6000, 1000)
			h.periods = append(h.periods, period{event: Event{Kind: StoreFault}, from: atMs(-5500), to: atMs(-1000)})
		}, ""},
		"run 4 s after the evacuation began": {func(h *history) { h.addEvacuation("a", -4000, 1000) }, ""},
		"run after the evacuation":           {func(h *history) { h.addEvacuation("a", -9000, 4) }, ""},
		"run in a zone not evacuated":        {func(h *history) { h.addEvacuation("b", -6000, 1000) }, ""},
		"run without an answer": {func(h *history) {
			h.exchanges[2].result = platformtest.Result{Err: errors.New("reset")}
			h.faultsEnded = atMs(-3020) // only the lookup was sent after recovery
			h.exchanges[2].sent, h.exchanges[3].sent = atMs(-20), atMs(-20)
		}, NothingLost},
		"sent to two upstreams with actions off": {func(h *history) {
			h.setSwitchedOff(atMs(-4000))
			h.runs = append(h.runs, rerun(h.runs[0]))
		}, StaysOff},
		"request keeps crashing upstreams":                  {func(h *history) { h.addCrashes(12, 900*time.Millisecond) }, CrashesEnd},
		"request crashes six upstreams in quick succession": {func(h *history) { h.addCrashes(6, 100*time.Millisecond) }, ""},
		"too many requests to a cold upstream":              {func(h *history) { h.addCold(60, 28) }, ColdSpared},
		"as many requests to cold upstreams as allowed":     {func(h *history) { h.addCold(60, 27); h.addCold(9, 3) }, ""},
		"a daemon with too much memory":                     {func(h *history) { h.addMemory("a-1", 64); h.addMemory("a-1", 65); h.addMemory("a-2", 9) }, MemoryBounded},
		"a daemon with all of its memory":                   {func(h *history) { h.addMemory("a-1", 64) }, ""},
		"too few requests served after recovery":            {func(h *history) { h.exchanges[0].result = platformtest.Result{Status: 504} }, Recovers},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := goodHistory()
			test.inject(h)
			found := h.check()
			if test.want == "" {
				if len(found) > 0 {
					t.Fatalf("check() = %v, want no violations", found)
				}
				return
			}
			for _, v := range found {
				if v.Promise == test.want {
					return
				}
			}
			t.Fatalf("check() = %v, want a violation of %s", found, test.want)
		})
	}
}

// addEvacuation adds an evacuation of a zone. The upstream of the lookup is in zone a.
func (h *history) addEvacuation(zone string, fromMs, toMs int) {
	h.addWorker("i-1", "a")
	h.periods = append(h.periods, period{event: Event{Kind: Evacuation, Zone: zone}, from: atMs(fromMs), to: atMs(toMs)})
}

// addCrashes adds sends and runs of a crashing request, one every gap.
func (h *history) addCrashes(times int, gap time.Duration) {
	for i := range times {
		req := platformtest.Request{Token: fmt.Sprint("crash-", i), Method: "GET", Path: "/look/crash/1", Timeout: time.Second}
		at := atMs(-20000).Add(time.Duration(i) * gap)
		h.exchanges = append(h.exchanges, exchange{request: req, result: platformtest.Result{Status: 502}, origin: "orders", sent: at, done: at.Add(gap)})
		h.runs = append(h.runs, platformtest.Run{Token: req.Token, Method: "GET", Path: req.Path, Origin: "orders", Worker: "i-1", Service: "lookups", StartedAt: at})
	}
}

func withToken(r platformtest.Run, token string, at time.Time) platformtest.Run {
	r.Token, r.StartedAt = token, at
	return r
}

// TestNoFaultIgnoresPlannedWorkAndOldFaults checks which events excuse a lost answer: a
// fault while it lasts and for recoveryTime after it, but never a planned operation.
func TestNoFaultIgnoresPlannedWorkAndOldFaults(t *testing.T) {
	tests := map[string]struct {
		kind     Kind
		from, to time.Time
		want     bool
	}{
		"kill during the request": {DaemonKill, atMs(-100), atMs(100), false},
		"kill just before":        {DaemonKill, atMs(-900), atMs(-800), false},
		"kill long before":        {DaemonKill, atMs(-9000), atMs(-8000), true},
		"kill later":              {DaemonKill, atMs(900), atMs(1000), true},
		"stop during the request": {DaemonStop, atMs(-100), atMs(100), true},
		"configuration change":    {ConfigChange, atMs(-10), atMs(-10), true},
		"crowd":                   {Crowd, atMs(-900), atMs(900), true},
		"upstream drain":          {UpstreamDrain, atMs(-900), atMs(900), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			h.periods = []period{{event: Event{Kind: test.kind}, from: test.from, to: test.to}}
			if got := h.noFault(atMs(0), atMs(50)); got != test.want {
				t.Fatalf("noFault() = %t, want %t", got, test.want)
			}
		})
	}
}
