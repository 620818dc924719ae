package standin

import (
	"context"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
)

func TestCallerDirect(t *testing.T) {
	w := newTestWorker(t, WorkerConfig{ID: "w", Seed: 3})
	c, err := NewCaller(CallerConfig{Service: "faults", Targets: []string{w.Addr()}, Direct: true, RatePerSecond: 200, Duration: time.Second, Seed: 7})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	got := c.Run(context.Background())
	if got.Sent < 120 || got.Succeeded != got.Sent || got.Skipped != 0 {
		t.Errorf("got %d requests sent, %d succeeded, %d skipped; want at least 120 sent, all succeeded and none skipped", got.Sent, got.Succeeded, got.Skipped)
	}
	methods := map[string]bool{}
	for _, x := range got.History {
		methods[x.Method] = true
	}
	if len(methods) != 5 {
		t.Errorf("got methods %v, want 5", methods)
	}
	if n := got.Latency.TotalCount(); n != int64(got.Succeeded) {
		t.Errorf("got %d latencies, want one per succeeded request", n)
	}
	if broken := Check(got.History, w.Executions(), true); len(broken) != 0 {
		t.Errorf("got violations %v, want none", broken)
	}
	if n := len(w.Executions()); n != got.Sent {
		t.Errorf("got %d executions, want %d, one per request", n, got.Sent)
	}
}

func TestCallerSendDoesNotRetry(t *testing.T) {
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		t.Run(method, func(t *testing.T) {
			w := newTestWorker(t, WorkerConfig{ServiceTime: 200 * time.Millisecond})
			c, err := NewCaller(CallerConfig{Service: "faults", Targets: []string{w.Addr()}, Direct: true, Resend: ResendPolicy{MaxResends: 3}})
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			time.AfterFunc(50*time.Millisecond, w.Crash)
			x := c.Send(w.Addr(), Request{Token: "t", Method: method, Path: "/", BodyBytes: 10}, 0)
			if x.Verdict != VerdictNoResponse || len(w.Executions()) != 1 {
				t.Errorf("got %+v, %d executions, want verdict lost and 1 execution", x, len(w.Executions()))
			}
		})
	}
}

// fakeDaemon starts a server that passes every request to handle and returns its
// address.
func fakeDaemon(t *testing.T, handle fasthttp.RequestHandler) string {
	t.Helper()
	l, err := Listen("", 0)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = (&fasthttp.Server{Handler: handle, Logger: discardLogger{}}).Serve(l) }()
	t.Cleanup(l.Kill)
	return l.Addr().String()
}

func TestCallerResends(t *testing.T) {
	answer := func(status int, outcome call.Outcome) fasthttp.RequestHandler {
		return func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(status)
			ctx.Response.Header.Set(call.HeaderOutcome, string(outcome))
		}
	}
	tests := map[string]struct {
		request   Request
		status    int
		outcome   call.Outcome
		wantSends int
	}{
		"POST, outcome notRun":           {Request{Method: "POST"}, 503, call.NotRun, 3},
		"POST, outcome unknown":          {Request{Method: "POST"}, 502, call.Unknown, 1},
		"POST with key, outcome unknown": {Request{Method: "POST", Key: "k"}, 502, call.Unknown, 3},
		"GET, outcome unknown":           {Request{Method: "GET"}, 504, call.Unknown, 3},
		"POST with key, outcome run":     {Request{Method: "POST", Key: "k"}, 409, call.Run, 1},
		"GET, bad request":               {Request{Method: "GET"}, 400, call.NotRun, 1},
		"GET, no outcome":                {Request{Method: "GET"}, 200, "", 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := fakeDaemon(t, answer(tt.status, tt.outcome)), fakeDaemon(t, answer(tt.status, tt.outcome))
			c, err := NewCaller(CallerConfig{Service: "faults", Targets: []string{a, b}, Resend: ResendPolicy{MaxResends: 2}})
			if err != nil {
				t.Fatal(err)
			}
			tt.request.Token, tt.request.Path = "t", "/"
			history := c.SendWithResends(context.Background(), tt.request, 1, time.Now())
			if len(history) != tt.wantSends {
				t.Fatalf("got %d sends, want %d: %+v", len(history), tt.wantSends, history)
			}
			for i, x := range history {
				if x.Target != []string{b, a, b}[i] || x.Send != i {
					t.Errorf("send %d: got wrong target or send number in %+v", i, x)
				}
			}
		})
	}
}

func TestCallerResendsAfterConnectFailure(t *testing.T) {
	w := newTestWorker(t, WorkerConfig{})
	unused, err := FreeAddrs(1)
	if err != nil {
		t.Fatal(err)
	}
	c, err := NewCaller(CallerConfig{Service: "faults", Targets: []string{unused[0], w.Addr()}, Direct: true, Resend: ResendPolicy{MaxResends: 1}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	history := c.SendWithResends(t.Context(), Request{Token: "t", Method: "POST", Path: "/"}, 0, time.Now())
	if len(history) != 2 || !history[0].NotSent || history[1].Verdict != VerdictOK {
		t.Errorf("got %+v, want one exchange with no connection and one with a complete response", history)
	}
}

func TestCheckFindsViolations(t *testing.T) {
	order := func(send, key string) Execution {
		return Execution{Worker: "w", Token: "t", Send: send, Key: key, Method: "POST", Call: "c" + send}
	}
	reported := func(send int, key string, outcome call.Outcome) Exchange {
		return Exchange{Token: "t", Send: send, Key: key, Method: "POST", Outcome: outcome, Verdict: VerdictRefused}
	}
	tests := map[string]struct {
		history    []Exchange
		executions []Execution
		want       []Promise
	}{
		"empty":                        {},
		"reported run, ran":            {[]Exchange{reported(0, "", call.Run)}, []Execution{order("0", "")}, nil},
		"reported unknown, ran":        {[]Exchange{reported(0, "", call.Unknown)}, []Execution{order("0", "")}, nil},
		"reported notRun, did not run": {[]Exchange{reported(0, "", call.NotRun)}, nil, nil},
		"reported notRun, ran":         {[]Exchange{reported(0, "", call.NotRun)}, []Execution{order("0", "")}, []Promise{NotRunAccurate}},
		"an earlier send ran":          {[]Exchange{reported(0, "k", call.Unknown), reported(1, "k", call.NotRun)}, []Execution{order("0", "k")}, []Promise{NotRunAccurate}},
		"a later send ran":             {[]Exchange{reported(0, "k", call.NotRun), reported(1, "k", call.Run)}, []Execution{order("1", "k")}, nil},
		"reported run, did not run":    {[]Exchange{reported(0, "", call.Run)}, nil, []Promise{RunAccurate}},
		"no outcome":                   {[]Exchange{reported(0, "", "")}, nil, []Promise{OutcomeReported}},
		"no response":                  {[]Exchange{{Token: "t", Verdict: VerdictNoResponse}}, nil, nil},
		"wrong response":               {[]Exchange{{Token: "t", Verdict: VerdictInvalid, Outcome: call.Run}}, []Execution{order("0", "")}, []Promise{CompleteResponse}},
		"ran twice by key":             {nil, []Execution{order("0", "k"), {Token: "u", Key: "k", Method: "POST"}}, []Promise{RunOnce}},
		"ran twice by token":           {nil, []Execution{order("0", ""), order("0", "")}, []Promise{RunOnce}},
		"ran twice by call":            {nil, []Execution{{Call: "c", Method: "POST"}, {Call: "c", Method: "POST"}}, []Promise{RunOnce}},
		"resent without key":           {nil, []Execution{order("0", ""), order("1", "")}, nil},
		"lookup ran twice":             {nil, []Execution{{Token: "t", Method: "GET"}, {Token: "t", Method: "GET"}}, nil},
		"second body truncated":        {nil, []Execution{order("0", "k"), {Token: "t", Key: "k", Method: "POST", Truncated: true}}, nil},
		"send header missing":          {[]Exchange{reported(3, "", call.NotRun)}, []Execution{order("", "")}, []Promise{NotRunAccurate}},
		"other request ran":            {[]Exchange{reported(0, "", call.NotRun)}, []Execution{{Token: "u", Send: "0", Method: "POST"}}, nil},
		"ran three times by key":       {nil, []Execution{order("0", "k"), order("1", "k"), order("2", "k")}, []Promise{RunOnce, RunOnce}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []Promise
			for _, v := range Check(tt.history, tt.executions, false) {
				got = append(got, v.Promise)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestCheckNoNewWork(t *testing.T) {
	leavingSince := time.UnixMicro(1_000_000)
	executions := []Execution{
		{Worker: "w", ArrivedUs: 500_000}, {Worker: "w", ArrivedUs: 3_900_000, StartUs: 5_000_000},
		{Worker: "v", ArrivedUs: 9_000_000}, {Worker: "w", ArrivedUs: 4_100_000},
	}
	if got := CheckNoNewWork(executions, "w", leavingSince, 3*time.Second); len(got) != 1 || got[0].Promise != NoNewWork {
		t.Errorf("got %v, want one violation of noNewWork", got)
	}
}

func TestNewKeyIsVersion7(t *testing.T) {
	pattern := regexp.MustCompile(`^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$`)
	key := newKey(time.UnixMilli(0x123456789abc), ^uint64(0), ^uint64(0))
	if !pattern.MatchString(key) || key[:13] != "12345678-9abc" {
		t.Errorf("got key %s, want a version 7 UUID that starts with 12345678-9abc", key)
	}
}

func TestCallerFetchesKeys(t *testing.T) {
	tests := map[string]struct {
		handler fasthttp.RequestHandler
		wantKey string
		wantOK  bool
	}{
		"issued": {func(ctx *fasthttp.RequestCtx) {
			ctx.Response.Header.Set(call.HeaderOutcome, "run")
			ctx.SetBodyString("k1")
		}, "k1", true},
		"refused": {func(ctx *fasthttp.RequestCtx) { ctx.Error("leaving", 503) }, "", false},
		"empty":   {func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Set(call.HeaderOutcome, "run") }, "", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			addr := fakeDaemon(t, tt.handler)
			c, err := NewCaller(CallerConfig{Service: "faults", Targets: []string{addr}})
			if err != nil {
				t.Fatal(err)
			}
			r := Request{Token: "t"}
			if _, ok := c.FetchKey(addr, &r); ok != tt.wantOK || r.Key != tt.wantKey {
				t.Errorf("got key %q, ok %v, want wantKey and wantOK", r.Key, ok)
			}
		})
	}
}
