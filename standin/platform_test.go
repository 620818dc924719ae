package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// get fetches a path and returns the status and body.
func get(t *testing.T, addr, path string) (int, []byte) {
	t.Helper()
	code, body, err := fasthttp.GetTimeout(nil, "http://"+addr+path, 5*time.Second)
	if err != nil {
		t.Fatalf("get %s: %v", path, err)
	}
	return code, body
}

// sendRequest sends a request and returns the status.
func sendRequest(t *testing.T, method, addr, path, body string) int {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(req, resp, 5*time.Second); err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	return resp.StatusCode()
}

func newTestPlatform(t *testing.T, cfg PlatformConfig) *Platform {
	t.Helper()
	p, err := NewPlatform(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func decode(t *testing.T, body []byte, into any) {
	t.Helper()
	if err := json.Unmarshal(body, into); err != nil {
		t.Fatalf("decode %q: %v", body, err)
	}
}

func TestPlatformServesDocumentsAndInstances(t *testing.T) {
	p := newTestPlatform(t, PlatformConfig{})
	if code := sendRequest(t, "PUT", p.Addr(), "/admin/values/services/faults", `{"a":1}`); code != 200 {
		t.Fatalf("put value: got status %d, want 200", code)
	}
	if code := sendRequest(t, "PUT", p.Addr(), "/admin/instances/faults-1", `{"service":"faults","state":"live"}`); code != 200 {
		t.Fatalf("put instance: got status %d, want 200", code)
	}
	_, body := get(t, p.Addr(), "/v1/index?after=0")
	if got := string(body); got != `{"version":1,"keys":[{"key":"services/faults","version":1}]}` {
		t.Errorf("index: got %s", got)
	}
	_, body = get(t, p.Addr(), "/v1/values/services/faults")
	if string(body) != `{"a":1}` {
		t.Errorf("value: got %s, want {\"a\":1}", body)
	}
	_, body = get(t, p.Addr(), "/v1/instances")
	var list instancesResponse
	decode(t, body, &list)
	if len(list.Instances) != 1 || list.Instances[0].ID != "faults-1" || list.Version != 1 {
		t.Errorf("instances: got %s, want only faults-1 with version 1", body)
	}
	if code, _ := get(t, p.Addr(), "/v1/values/none"); code != 404 {
		t.Errorf("missing value: got status %d, want 404", code)
	}
	if n := p.Reads(); n.Total != 4 || n.ByKind["index"] != 1 {
		t.Errorf("reads: got %+v, want 4 in total and 1 of the index", n)
	}
}

func TestPlatformWatchWaits(t *testing.T) {
	tests := map[string]struct {
		change      func(p *Platform)
		waitMs      int
		minTime     time.Duration
		maxTime     time.Duration
		wantVersion uint64
	}{
		"wait time passes":             {change: func(*Platform) {}, waitMs: 150, minTime: 150 * time.Millisecond, maxTime: time.Second, wantVersion: 1},
		"document changes":             {change: func(p *Platform) { _ = p.Publish("k", nil) }, waitMs: 5000, maxTime: time.Second, wantVersion: 2},
		"document changes while stale": {change: func(p *Platform) { p.SetStale(true); _ = p.Publish("k", nil) }, waitMs: 150, minTime: 150 * time.Millisecond, maxTime: time.Second, wantVersion: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTestPlatform(t, PlatformConfig{})
			_ = p.Publish("k", []byte("{}"))
			time.AfterFunc(50*time.Millisecond, func() { tt.change(p) })
			start := time.Now()
			_, body := get(t, p.Addr(), fmt.Sprintf("/v1/index?after=1&waitMs=%d", tt.waitMs))
			took := time.Since(start)
			if took < tt.minTime || took > tt.maxTime {
				t.Errorf("watch took %v, want between minTime and maxTime", took)
			}
			var got indexResponse
			decode(t, body, &got)
			if got.Version != tt.wantVersion {
				t.Errorf("got version %d, want %d", got.Version, tt.wantVersion)
			}
		})
	}
}

func TestPlatformListLags(t *testing.T) {
	p := newTestPlatform(t, PlatformConfig{Lag: 200 * time.Millisecond})
	_ = p.SetInstance(Instance{ID: "a"})
	_, body := get(t, p.Addr(), "/v1/instances")
	var list instancesResponse
	decode(t, body, &list)
	if len(list.Instances) != 0 {
		t.Fatalf("instances before the lag has passed: got %s, want none", body)
	}
	start := time.Now()
	_, body = get(t, p.Addr(), "/v1/instances?after=0&waitMs=3000")
	decode(t, body, &list)
	if len(list.Instances) != 1 || time.Since(start) > time.Second {
		t.Fatalf("instances after %v: got %s, want one within 1s", time.Since(start), body)
	}
}

func TestPlatformFailureModes(t *testing.T) {
	p := newTestPlatform(t, PlatformConfig{})
	_ = p.Publish("k", []byte("old"))
	sendRequest(t, "POST", p.Addr(), "/admin/stale?on=true", "")
	_ = p.Publish("k", []byte("new"))
	if _, body := get(t, p.Addr(), "/v1/values/k"); string(body) != "old" {
		t.Errorf("stale value: got %q, want \"old\"", body)
	}
	sendRequest(t, "POST", p.Addr(), "/admin/stale?on=false", "")
	if _, body := get(t, p.Addr(), "/v1/values/k"); string(body) != "new" {
		t.Errorf("value after the end of stale: got %q, want \"new\"", body)
	}
	sendRequest(t, "POST", p.Addr(), "/admin/mark", "")
	_ = p.Publish("k", []byte("newest"))
	sendRequest(t, "POST", p.Addr(), "/admin/behind?on=true", "")
	if _, body := get(t, p.Addr(), "/v1/values/k"); string(body) != "new" {
		t.Errorf("value of a replica that is behind: got %q, want \"new\"", body)
	}
	sendRequest(t, "POST", p.Addr(), "/admin/behind?on=false", "")
	if _, body := get(t, p.Addr(), "/v1/values/k"); string(body) != "newest" {
		t.Errorf("value after the end of behind: got %q, want \"newest\"", body)
	}
	sendRequest(t, "POST", p.Addr(), "/admin/outage?on=true", "")
	if code, _ := get(t, p.Addr(), "/v1/values/k"); code != 503 {
		t.Errorf("outage: got status %d, want 503", code)
	}
	p.SetOutage(OutageHang)
	time.AfterFunc(50*time.Millisecond, func() { p.SetOutage(OutageOff) })
	if code, _ := get(t, p.Addr(), "/v1/values/k"); code != 200 {
		t.Errorf("read that hangs until the end of the outage: got status %d, want 200", code)
	}
	if err := p.Publish("k", make([]byte, MaxValueBytes+1)); err == nil {
		t.Error("oversized value: got no error")
	}
	if code := sendRequest(t, "PUT", p.Addr(), "/admin/values/big", strings.Repeat("x", MaxValueBytes)); code != 200 {
		t.Errorf("value of the maximum size: got status %d, want 200", code)
	}
}

func TestListenRejectsNonLoopback(t *testing.T) {
	for _, addr := range []string{"0.0.0.0:0", ":0", "example.com:1", "10.0.0.1:0"} {
		if _, err := Listen(addr, 0); err == nil {
			t.Errorf("Listen(%q): got no error, want ErrNotLoopback", addr)
		}
	}
}

func TestFreeAddrsAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for range 100 {
		addrs, err := FreeAddrs(4)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range addrs {
			if seen[a] {
				t.Fatalf("FreeAddrs returned %s twice", a)
			}
			seen[a] = true
		}
	}
}
