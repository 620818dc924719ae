package daemon_test

import (
	"context"
	"testing"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/exchange"
)

// BenchmarkPath measures sequential calls to an upstream that answers at once,
// through two daemons and directly. Caller, daemons and upstream share the
// process, so the allocation figures include all of them.
func BenchmarkPath(b *testing.B) {
	f := startFleet(b, 2)
	cases := map[string]struct {
		address string
		service string
		body    int
	}{
		"direct":              {f.workers[0].Addr(), "faults", 0},
		"two daemons":         {f.listen[0], "faults", 0},
		"two daemons, upload": {f.listen[0], "faults", 100_000},
	}
	for name, tc := range cases {
		b.Run(name, func(b *testing.B) {
			pool := exchange.New(exchange.Config{Address: tc.address})
			defer pool.Close()
			req, resp := &fasthttp.Request{}, &fasthttp.Response{}
			req.Header.SetRequestURI("/clocks/17")
			req.Header.SetHost(tc.service)
			req.Header.Set(call.HeaderCaller, "dispatch-1")
			req.Header.Set("X-Work-Us", "1")
			if tc.body > 0 {
				req.Header.SetMethod(fasthttp.MethodPut)
				req.SetBody(make([]byte, tc.body))
			}
			b.ReportAllocs()
			for b.Loop() {
				resp.Reset()
				if err := pool.Do(context.Background(), req, resp); err != nil || resp.StatusCode() != 200 {
					b.Fatalf("status %d: %v", resp.StatusCode(), err)
				}
			}
		})
	}
}
