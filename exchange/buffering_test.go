package exchange_test

import (
	"context"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/exchange"
	"pomelodoor.example/pomelodoor/standin"
)

// TestResponseWithoutRoom guards against a response that is buffered without room for it, or
// lost for that reason.
func TestResponseWithoutRoom(t *testing.T) {
	l, err := standin.Listen("", 0)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Kill()
	want := strings.Repeat("r", 40_000)
	go func() { _ = fasthttp.Serve(l, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(want) }) }()
	for name, room := range map[string]bool{"room": true, "no room": false} {
		pool := exchange.New(exchange.Config{
			Address: l.Addr().String(), MayBuffer: func(_ context.Context, bytes int) bool { return room && bytes == len(want) },
		})
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.SetRequestURI("/")
		req.Header.SetHost("faults")
		if err := pool.Do(context.Background(), req, resp); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if resp.IsBodyStream() == room {
			t.Errorf("%s: streamed: %v, want %v", name, resp.IsBodyStream(), !room)
		}
		if body, err := exchange.ReadBody(resp, len(want)); err != nil || string(body) != want {
			t.Errorf("%s: got %d bytes, %v; want %d", name, len(body), err, len(want))
		}
		pool.Close()
	}
}
