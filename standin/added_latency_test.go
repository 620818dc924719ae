package standin

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
)

func TestMeasureAddedLatency(t *testing.T) {
	w := newTestWorker(t, WorkerConfig{Seed: 1})
	client := &fasthttp.HostClient{Addr: w.Addr()}
	via := fakeDaemon(t, func(ctx *fasthttp.RequestCtx) {
		time.Sleep(20 * time.Millisecond)
		if err := client.Do(&ctx.Request, &ctx.Response); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadGateway)
		}
		ctx.Response.Header.Set(call.HeaderOutcome, string(call.Run))
	})
	got, err := MeasureAddedLatency(t.Context(), AddedLatencyConfig{Service: "faults", Direct: w.Addr(), Via: via, Pairs: 20})
	if err != nil {
		t.Fatal(err)
	}
	if p50 := got.Overhead.ValueAtPercentile(50); p50 < 18_000 || p50 > 40_000 {
		t.Errorf("p50 added by a path of 20 ms: got %d us, want 18000 to 40000", p50)
	}
	if p50 := got.Noise.ValueAtPercentile(50); p50 > 10_000 {
		t.Errorf("p50 difference of two direct calls: got %d us, want at most 10000", p50)
	}
	if got.Overhead.TotalCount() != 20 {
		t.Errorf("got %d pairs, want 20", got.Overhead.TotalCount())
	}
}
