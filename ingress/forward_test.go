package ingress_test

import (
	"errors"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/ingress"
)

var now = time.Unix(1_800_000_000, 0)

// TestForwardedRoundTrip: ParseForwarded returns what WriteForwarded was given.
func TestForwardedRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[ -~]{0,20}`)
		sent := ingress.Forwarded{
			From: name.Draw(t, "from"), Target: name.Draw(t, "target"), Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			Revision: rapid.Uint64().Draw(t, "revision"), Era: rapid.Uint64().Draw(t, "era"),
		}
		sent.Request = call.Request{
			ID: "c1", Service: rapid.StringMatching(`[a-z]{1,9}`).Draw(t, "service"), Host: "host.example", Path: "/p", Method: "GET",
			Caller: "origin", Route: name.Draw(t, "route"), UpstreamIncarnation: name.Draw(t, "upstream"),
			Priority: rapid.SampledFrom([]call.Priority{"", call.High, call.PriorityOfRank(7)}).Draw(t, "priority"),
			Repeat:   rapid.SampledFrom([]call.Repeat{call.ByMethod, call.Safe, call.Unsafe}).Draw(t, "repeat"),
			Hops:     rapid.IntRange(0, 3).Draw(t, "hops"), Attempt: rapid.IntRange(0, 3).Draw(t, "attempt"),
			Fingerprint: rapid.Uint64().Draw(t, "fingerprint"), WaitWhenSlow: rapid.Bool().Draw(t, "waitWhenSlow"),
			KeyGranted: rapid.Bool().Draw(t, "granted"), Nested: rapid.Bool().Draw(t, "nested"), Deadline: now.Add(700 * time.Millisecond),
		}
		if rapid.Bool().Draw(t, "goal") {
			sent.Request.Target = now.Add(time.Duration(rapid.IntRange(-500, 500).Draw(t, "ms")) * time.Millisecond)
		}
		var ctx fasthttp.RequestCtx
		h := &ctx.Request.Header
		h.SetMethod("GET")
		h.SetRequestURI("/p")
		h.SetHost("host.example")
		ingress.WriteForwarded(h, sent, now)
		got, err := ingress.ParseForwarded(&ctx, ingress.NativeDialect(), now)
		if err != nil || got != sent {
			t.Fatalf("%s\ngot  %+v, %v\nwant %+v", h.String(), got, err, sent)
		}
	})
}

func TestParseForwardedRejectsBadFields(t *testing.T) {
	tests := map[string]string{
		"hops":           "h=two",
		"incarnation":    "i=-1",
		"fingerprint":    "x=1.5",
		"revision":       "v=x",
		"era":            "ve=-1",
		"latency target": "g=soon",
		"escape":         "f=%zz",
	}
	for name, line := range tests {
		t.Run(name, func(t *testing.T) {
			var ctx fasthttp.RequestCtx
			ctx.Request.Header.SetHost("h")
			ctx.Request.Header.Set(call.HeaderCall, "c1")
			ctx.Request.Header.Set(call.HeaderForward, line)
			if _, err := ingress.ParseForwarded(&ctx, ingress.NativeDialect(), now); !errors.Is(err, ingress.ErrRequest) {
				t.Fatalf("got error %v, want ErrRequest", err)
			}
		})
	}
}

func TestReport(t *testing.T) {
	load := balance.Load{State: balance.Serving, InFlight: 3, Slots: 12, Pace: 500}
	tests := map[string]struct {
		line string
		want ingress.Report
		bad  bool
	}{
		"all fields": {
			line: "f=10.0.0.1%3A80&l=serving%2C3%2C0%2C12%2C0%2C0%2C0%2C500&d=1500&m=900",
			want: ingress.Report{
				From: "10.0.0.1:80", Load: load, HasLoad: true, Elapsed: 1500 * time.Microsecond, Work: 900 * time.Microsecond,
			},
		},
		"sender only": {line: "f=b", want: ingress.Report{From: "b"}},
		"no header":   {bad: true},
		"no sender":   {line: "d=15", bad: true},
		"bad load":    {line: "f=b&l=fine", bad: true},
		"bad time":    {line: "f=b&d=long", bad: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var h fasthttp.ResponseHeader
			if test.line != "" {
				h.Set(call.HeaderAnswer, test.line)
			}
			got, err := ingress.ReadReport(&h)
			if errors.Is(err, ingress.ErrReport) != test.bad || !test.bad && got != test.want {
				t.Fatalf("got %+v, error %v", got, err)
			}
			if test.bad {
				return
			}
			var again fasthttp.ResponseHeader
			ingress.WriteReport(&again, got)
			if string(again.Peek(call.HeaderAnswer)) != test.line {
				t.Fatalf("wrote %s, want the parsed header", again.Peek(call.HeaderAnswer))
			}
		})
	}
}
