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
	c, err := NewCaller(CallerConfig{Service: "faults", Targets: []string{w.Addr()}, Direct: true, Rate: 200, Duration: time.Second, Seed: 7})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	got := c.Run(context.Background())
	if got.Sent < 120 || got.Answered != got.Sent || got.Skipped != 0 {
		t.Errorf("sent %d, answered %d, skipped %d", got.Sent, got.Answered, got.Skipped)
	}
	methods := map[string]bool{}
	for _, x := range got.History {
		methods[x.Method] = true
	}
	if len(methods) != 5 {
		t.Errorf("methods %v", methods)
	}
	if n := got.Latency.TotalCount(); n != int64(got.Answered) {
		t.Errorf("%d latencies", n)
	}
	if broken := Check(got.History, w.Executions(), true); len(broken) != 0 {
		t.Errorf("violations %v", broken)
	}
	if n := len(w.Executions()); n != got.Sent {
		t.Errorf("%d executions for %d requests", n, got.Sent)
	}
}

func TestCallerDoesNotResendByItself(t *testing.T) {
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		t.Run(method, func(t *testing.T) {
			w := newTestWorker(t, WorkerConfig{ServiceTime: 200 * time.Millisecond})
			c, err := NewCaller(CallerConfig{Service: "faults", Targets: []string{w.Addr()}, Direct: true, Resend: Resend{Max: 3}})
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			time.AfterFunc(50*time.Millisecond, w.Crash)
			x := c.Send(w.Addr(), Request{Token: "t", Method: method, Path: "/", Body: 10}, 0)
			if x.Verdict != Lost || len(w.Executions()) != 1 {
				t.Errorf("%+v, %d executions", x, len(w.Executions()))
			}
		})
	}
}

// fakeDaemon answers every request with one outcome, and as handle says.
func fakeDaemon(t *testing.T, handle fasthttp.RequestHandler) string {
	t.Helper()
	l, err := Listen("", 0)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = (&fasthttp.Server{Handler: handle, Logger: quiet{}}).Serve(l) }()
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
		request Request
		status  int
		outcome call.Outcome
		sends   int
	}{
		"order not run":         {Request{Method: "POST"}, 503, call.NotRun, 3},
		"order unknown":         {Request{Method: "POST"}, 502, call.Unknown, 1},
		"order with key":        {Request{Method: "POST", Key: "k"}, 502, call.Unknown, 3},
		"lookup unknown":        {Request{Method: "GET"}, 504, call.Unknown, 3},
		"order run":             {Request{Method: "POST", Key: "k"}, 409, call.Run, 1},
		"bad request":           {Request{Method: "GET"}, 400, call.NotRun, 1},
		"unknown, not answered": {Request{Method: "GET"}, 200, "", 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := fakeDaemon(t, answer(tt.status, tt.outcome)), fakeDaemon(t, answer(tt.status, tt.outcome))
			c, err := NewCaller(CallerConfig{Service: "faults", Targets: []string{a, b}, Resend: Resend{Max: 2}})
			if err != nil {
				t.Fatal(err)
			}
			tt.request.Token, tt.request.Path = "t", "/"
			history := c.Order(context.Background(), tt.request, 1, time.Now())
			if len(history) != tt.sends {
				t.Fatalf("%d sends, want %d: %+v", len(history), tt.sends, history)
			}
			for i, x := range history {
				if x.Target != []string{b, a, b}[i] || x.Send != i {
					t.Errorf("send %d: %+v", i, x)
				}
			}
		})
	}
}

func TestCallerResendsWhatFoundNoConnection(t *testing.T) {
	w := newTestWorker(t, WorkerConfig{})
	nobody, err := FreeAddrs(1)
	if err != nil {
		t.Fatal(err)
	}
	c, err := NewCaller(CallerConfig{Service: "faults", Targets: []string{nobody[0], w.Addr()}, Direct: true, Resend: Resend{Max: 1}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	history := c.Order(t.Context(), Request{Token: "t", Method: "POST", Path: "/"}, 0, time.Now())
	if len(history) != 2 || !history[0].NotSent || history[1].Verdict != Fine {
		t.Errorf("%+v", history)
	}
}

func TestCheckFindsBrokenPromises(t *testing.T) {
	order := func(send, key string) Execution {
		return Execution{Worker: "w", Token: "t", Send: send, Key: key, Method: "POST", Call: "c" + send}
	}
	told := func(send int, key string, outcome call.Outcome) Exchange {
		return Exchange{Token: "t", Send: send, Key: key, Method: "POST", Outcome: outcome, Verdict: Refused}
	}
	tests := map[string]struct {
		history    []Exchange
		executions []Execution
		want       []Promise
	}{
		"nothing":                {},
		"told run, and ran":      {[]Exchange{told(0, "", call.Run)}, []Execution{order("0", "")}, nil},
		"told unknown, and ran":  {[]Exchange{told(0, "", call.Unknown)}, []Execution{order("0", "")}, nil},
		"told not run":           {[]Exchange{told(0, "", call.NotRun)}, nil, nil},
		"told not run, but ran":  {[]Exchange{told(0, "", call.NotRun)}, []Execution{order("0", "")}, []Promise{NotRunHolds}},
		"an earlier send ran":    {[]Exchange{told(0, "k", call.Unknown), told(1, "k", call.NotRun)}, []Execution{order("0", "k")}, []Promise{NotRunHolds}},
		"a later send ran":       {[]Exchange{told(0, "k", call.NotRun), told(1, "k", call.Run)}, []Execution{order("1", "k")}, nil},
		"told run, but ran not":  {[]Exchange{told(0, "", call.Run)}, nil, []Promise{RunHolds}},
		"no outcome":             {[]Exchange{told(0, "", "")}, nil, []Promise{OutcomeTold}},
		"no answer":              {[]Exchange{{Token: "t", Verdict: Lost}}, nil, nil},
		"wrong answer":           {[]Exchange{{Token: "t", Verdict: Wrong, Outcome: call.Run}}, []Execution{order("0", "")}, []Promise{WholeAnswer}},
		"ran twice by key":       {nil, []Execution{order("0", "k"), {Token: "u", Key: "k", Method: "POST"}}, []Promise{RunOnce}},
		"ran twice by token":     {nil, []Execution{order("0", ""), order("0", "")}, []Promise{RunOnce}},
		"ran twice by call":      {nil, []Execution{{Call: "c", Method: "POST"}, {Call: "c", Method: "POST"}}, []Promise{RunOnce}},
		"sent twice by caller":   {nil, []Execution{order("0", ""), order("1", "")}, nil},
		"lookup ran twice":       {nil, []Execution{{Token: "t", Method: "GET"}, {Token: "t", Method: "GET"}}, nil},
		"second body cut short":  {nil, []Execution{order("0", "k"), {Token: "t", Key: "k", Method: "POST", Short: true}}, nil},
		"send header was lost":   {[]Exchange{told(3, "", call.NotRun)}, []Execution{order("", "")}, []Promise{NotRunHolds}},
		"other request ran":      {[]Exchange{told(0, "", call.NotRun)}, []Execution{{Token: "u", Send: "0", Method: "POST"}}, nil},
		"ran three times by key": {nil, []Execution{order("0", "k"), order("1", "k"), order("2", "k")}, []Promise{RunOnce, RunOnce}},
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

func TestCheckLeaving(t *testing.T) {
	left := time.UnixMicro(1_000_000)
	executions := []Execution{
		{Worker: "w", ArrivedUs: 500_000}, {Worker: "w", ArrivedUs: 3_900_000, StartUs: 5_000_000},
		{Worker: "v", ArrivedUs: 9_000_000}, {Worker: "w", ArrivedUs: 4_100_000},
	}
	if got := CheckLeaving(executions, "w", left, 3*time.Second); len(got) != 1 || got[0].Promise != NoNewWork {
		t.Errorf("got %v", got)
	}
}

func TestNewKeyIsVersion7(t *testing.T) {
	form := regexp.MustCompile(`^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$`)
	key := newKey(time.UnixMilli(0x123456789abc), ^uint64(0), ^uint64(0))
	if !form.MatchString(key) || key[:13] != "12345678-9abc" {
		t.Errorf("key %s", key)
	}
}

func TestCallerAsksForKeys(t *testing.T) {
	tests := map[string]struct {
		handle fasthttp.RequestHandler
		key    string
		ok     bool
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
			addr := fakeDaemon(t, tt.handle)
			c, err := NewCaller(CallerConfig{Service: "faults", Targets: []string{addr}})
			if err != nil {
				t.Fatal(err)
			}
			r := Request{Token: "t"}
			if _, ok := c.AskKey(addr, &r); ok != tt.ok || r.Key != tt.key {
				t.Errorf("key %q, %v", r.Key, ok)
			}
		})
	}
}
