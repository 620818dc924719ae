package ingress_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/ingress"
	"pomelodoor.example/pomelodoor/memory"
)

// startGuarded starts a server that answers with the body of the request, or with the reason
// why there is none. Bodies must arrive within a short time.
func startGuarded(t *testing.T, account *memory.Account) (address string, guard *ingress.Guard) {
	t.Helper()
	guard = ingress.NewGuard(ingress.GuardConfig{Account: account, Source: memory.Callers, MaxConns: 100, Now: time.Now})
	refuse := func(ctx *fasthttp.RequestCtx, reason call.Reason) {
		ingress.Refuse(ctx, call.NotRun, reason, "")
		ctx.SetConnectionClose()
	}
	s, err := ingress.Start(ingress.Config{
		Listen: "127.0.0.1:0", Guard: guard,
		Overloaded: func(ctx *fasthttp.RequestCtx) { refuse(ctx, call.Overloaded) },
		Handle: func(ctx *fasthttp.RequestCtx) {
			_ = ctx.Conn().SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			body, err := ingress.ReadBody(ctx, 8<<20)
			if err != nil {
				refuse(ctx, ingress.Reason(err))
				return
			}
			req := fasthttp.AcquireRequest()
			defer fasthttp.ReleaseRequest(req)
			body.SetOn(req)
			ctx.SetBody(bytes.Clone(req.Body()))
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return s.Address(), guard
}

// post sends a body by length or, if it has none, in chunks.
func post(t *testing.T, address string, body io.Reader) (status int, reason, got string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address, body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get(call.HeaderReason), string(text)
}

// TestBodiesArriveWhole guards against bytes that are lost or doubled where the memory for a
// body of unknown length grows, and against reservations that are not released.
func TestBodiesArriveWhole(t *testing.T) {
	account := memory.NewAccount(memory.AccountBytes(184))
	address, guard := startGuarded(t, account)
	for _, length := range []int{1, 4095, 4096, 4097, 12 << 10, 130_000, ingress.MaxBufferedBytes, ingress.MaxBufferedBytes + 1, 2_000_000} {
		var body strings.Builder
		for body.Len() < length {
			body.WriteString(time.Duration(body.Len()).String())
		}
		want := body.String()[:length]
		for framing, reader := range map[string]io.Reader{
			"by length": strings.NewReader(want),
			// A reader of another type has no known length.
			"in chunks": io.MultiReader(strings.NewReader(want)),
		} {
			if status, _, got := post(t, address, reader); status != http.StatusOK || got != want {
				t.Errorf("%d bytes %s: status %d with %d bytes, want the same body", length, framing, status, len(got))
			}
		}
	}
	waitReleased(t, account, guard)
}

// waitReleased waits until only connections are left in the account.
func waitReleased(t *testing.T, account *memory.Account, guard *ingress.Guard) {
	t.Helper()
	for range 100 {
		if account.Status().Used == int64(guard.Status().Open*memory.ConnectionBytes) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("%+v is in use with %d connections, want %d bytes for each", account.Status(), guard.Status().Open, memory.ConnectionBytes)
}

// TestBodiesWithoutRoom guards against bodies that are read without room for them, and against
// incomplete ones that stay beyond their time.
func TestBodiesWithoutRoom(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: faults\r\n"
	// A caller's body can have a little less than 660 kB of it.
	account := memory.NewAccount(1 << 20)
	address, guard := startGuarded(t, account)
	half := strings.Repeat("a", 50_000)
	tests := map[string]struct{ text, status, reason string }{
		"long, by length":       {head + "Content-Length: 900000\r\n\r\n" + half, "503", "overloaded"},
		"long, in chunks":       {head + "Transfer-Encoding: chunked\r\n\r\nf0000\r\n" + strings.Repeat("a", 0xf0000) + "\r\n", "503", "overloaded"},
		"incomplete, by length": {head + "Content-Length: 50001\r\n\r\n" + half, "408", "bodyLate"},
		"incomplete, in chunks": {head + "Transfer-Encoding: chunked\r\n\r\nc350\r\n" + half + "\r\n", "408", "bodyLate"},
	}
	for name, test := range tests {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, test.text); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		answer := make([]byte, 300)
		n, _ := c.Read(answer)
		if got := string(answer[:n]); !strings.HasPrefix(got, "HTTP/1.1 "+test.status) || !strings.Contains(got, test.reason) {
			t.Errorf("%s: got %q, want status %s and reason %s", name, got, test.status, test.reason)
		}
		_ = c.Close()
	}
	waitReleased(t, account, guard)
}

// TestWaitForUpstreamIsNoStall guards against ending a caller's connection that waits for more
// of a streamed answer: the upstream has stalled, not the caller.
func TestWaitForUpstreamIsNoStall(t *testing.T) {
	var elapsed atomic.Int64
	start := time.Now()
	guard := ingress.NewGuard(ingress.GuardConfig{
		Account: memory.NewAccount(64 << 20), Source: memory.Callers, MaxConns: 10,
		Now: func() time.Time { return start.Add(time.Duration(elapsed.Load())) },
	})
	reader, writer := io.Pipe()
	s, err := ingress.Start(ingress.Config{
		Listen: "127.0.0.1:0", Guard: guard,
		Handle: func(ctx *fasthttp.RequestCtx) {
			from := fasthttp.AcquireResponse()
			from.SetBodyStream(reader, -1)
			ingress.RelayResponse(ctx, from, ingress.Dialect{}, func() {})
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	go func() {
		// Once the second write is taken, the server has read the first one and reads on.
		_, _ = io.WriteString(writer, "a")
		_, _ = io.WriteString(writer, "b")
		time.Sleep(50 * time.Millisecond)
		elapsed.Store(int64(2 * memory.UnreadLimit))
		guard.EndStalled()
		_, _ = io.WriteString(writer, "c")
		_ = writer.Close()
	}()
	resp, err := http.Get("http://" + s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != "abc" {
		t.Fatalf("got %q, %v, want abc", got, err)
	}
}
