package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/ingress"
	"pomelodoor.example/pomelodoor/node"
)

// TestForwardedBodiesWithoutRoom guards against a refusal that the forwarding daemon does not
// believe: without a report, it must count the request as one that may have run.
func TestForwardedBodiesWithoutRoom(t *testing.T) {
	f := startFleet(t, 0)
	f.memoryMB = 32
	f.add(t, "faults-1", "a")
	awaitStatus(t, f.admin[0], func(s node.Status) bool { return s.Ready })
	const senders = 16
	var refused atomic.Int64
	var wg sync.WaitGroup
	for i := range senders {
		wg.Go(func() {
			c, err := net.Dial("tcp", f.peer[0])
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(2 * time.Second))
			_, _ = fmt.Fprintf(c, "PUT / HTTP/1.1\r\nHost: faults\r\n%s: c%d\r\n%s: 20000\r\n%s: f=x\r\nContent-Length: 1000000\r\n\r\nbegin",
				call.HeaderCall, i, call.HeaderDeadline, call.HeaderForward)
			resp := &fasthttp.Response{}
			if resp.Read(bufio.NewReader(c)) != nil {
				return
			}
			refused.Add(1)
			h := &resp.Header
			if _, err := ingress.ReadReport(h); err != nil || resp.StatusCode() != 503 ||
				string(h.Peek(call.HeaderOutcome)) != string(call.NotRun) || string(h.Peek(call.HeaderReason)) != string(call.Overloaded) {
				t.Errorf("got %s, want 503, notRun, overloaded and a report: %v", h, err)
			}
			_, _ = io.Copy(io.Discard, c)
		})
	}
	wg.Wait()
	if n := refused.Load(); n < 2 || n >= senders {
		t.Errorf("%d of %d bodies are refused, want some", n, senders)
	}
}
