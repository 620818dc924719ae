package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// get fetches a path and returns status and body.
func get(t *testing.T, addr, path string) (int, []byte) {
	t.Helper()
	code, body, err := fasthttp.GetTimeout(nil, "http://"+addr+path, 5*time.Second)
	if err != nil {
		t.Fatalf("get %s: %v", path, err)
	}
	return code, body
}

// do sends a request without caring for the answer's body.
func do(t *testing.T, method, addr, path, body string) int {
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
	if code := do(t, "PUT", p.Addr(), "/admin/values/services/faults", `{"a":1}`); code != 200 {
		t.Fatalf("put value: %d", code)
	}
	if code := do(t, "PUT", p.Addr(), "/admin/instances/faults-1", `{"service":"faults","state":"live"}`); code != 200 {
		t.Fatalf("put instance: %d", code)
	}
	_, body := get(t, p.Addr(), "/v1/index?after=0")
	if got := string(body); got != `{"version":1,"keys":[{"key":"services/faults","version":1}]}` {
		t.Errorf("index: %s", got)
	}
	_, body = get(t, p.Addr(), "/v1/values/services/faults")
	if string(body) != `{"a":1}` {
		t.Errorf("value: %s", body)
	}
	_, body = get(t, p.Addr(), "/v1/instances")
	var list listAnswer
	decode(t, body, &list)
	if len(list.Instances) != 1 || list.Instances[0].ID != "faults-1" || list.Version != 1 {
		t.Errorf("instances: %s", body)
	}
	if code, _ := get(t, p.Addr(), "/v1/values/none"); code != 404 {
		t.Errorf("missing value: %d", code)
	}
	if n := p.Reads(); n.Reads != 4 || n.ByKind["index"] != 1 {
		t.Errorf("reads: %+v", n)
	}
}

func TestPlatformWatchWaits(t *testing.T) {
	tests := map[string]struct {
		change      func(p *Platform)
		waitMs      int
		atLeast     time.Duration
		atMost      time.Duration
		wantVersion uint64
	}{
		"time over":     {change: func(*Platform) {}, waitMs: 150, atLeast: 150 * time.Millisecond, atMost: time.Second, wantVersion: 1},
		"document":      {change: func(p *Platform) { _ = p.Publish("k", nil) }, waitMs: 5000, atMost: time.Second, wantVersion: 2},
		"hidden change": {change: func(p *Platform) { p.SetStale(true); _ = p.Publish("k", nil) }, waitMs: 150, atLeast: 150 * time.Millisecond, atMost: time.Second, wantVersion: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTestPlatform(t, PlatformConfig{})
			_ = p.Publish("k", []byte("{}"))
			time.AfterFunc(50*time.Millisecond, func() { tt.change(p) })
			start := time.Now()
			_, body := get(t, p.Addr(), fmt.Sprintf("/v1/index?after=1&waitMs=%d", tt.waitMs))
			took := time.Since(start)
			if took < tt.atLeast || took > tt.atMost {
				t.Errorf("took %v", took)
			}
			var got indexAnswer
			decode(t, body, &got)
			if got.Version != tt.wantVersion {
				t.Errorf("version %d, want %d", got.Version, tt.wantVersion)
			}
		})
	}
}

func TestPlatformListLags(t *testing.T) {
	p := newTestPlatform(t, PlatformConfig{Lag: 200 * time.Millisecond})
	_ = p.SetInstance(Instance{ID: "a"})
	_, body := get(t, p.Addr(), "/v1/instances")
	var list listAnswer
	decode(t, body, &list)
	if len(list.Instances) != 0 {
		t.Fatalf("instance seen at once: %s", body)
	}
	start := time.Now()
	_, body = get(t, p.Addr(), "/v1/instances?after=0&waitMs=3000")
	decode(t, body, &list)
	if len(list.Instances) != 1 || time.Since(start) > time.Second {
		t.Fatalf("after %v: %s", time.Since(start), body)
	}
}

func TestPlatformFails(t *testing.T) {
	p := newTestPlatform(t, PlatformConfig{})
	_ = p.Publish("k", []byte("old"))
	do(t, "POST", p.Addr(), "/admin/stale?on=true", "")
	_ = p.Publish("k", []byte("new"))
	if _, body := get(t, p.Addr(), "/v1/values/k"); string(body) != "old" {
		t.Errorf("stale value %q", body)
	}
	do(t, "POST", p.Addr(), "/admin/stale?on=false", "")
	if _, body := get(t, p.Addr(), "/v1/values/k"); string(body) != "new" {
		t.Errorf("fresh value %q", body)
	}
	do(t, "POST", p.Addr(), "/admin/mark", "")
	_ = p.Publish("k", []byte("newest"))
	do(t, "POST", p.Addr(), "/admin/behind?on=true", "")
	if _, body := get(t, p.Addr(), "/v1/values/k"); string(body) != "new" {
		t.Errorf("value of a replica behind %q", body)
	}
	do(t, "POST", p.Addr(), "/admin/behind?on=false", "")
	if _, body := get(t, p.Addr(), "/v1/values/k"); string(body) != "newest" {
		t.Errorf("newest value %q", body)
	}
	do(t, "POST", p.Addr(), "/admin/outage?on=true", "")
	if code, _ := get(t, p.Addr(), "/v1/values/k"); code != 503 {
		t.Errorf("outage answers %d", code)
	}
	p.SetOutage(OutageHang)
	time.AfterFunc(50*time.Millisecond, func() { p.SetOutage(OutageOff) })
	if code, _ := get(t, p.Addr(), "/v1/values/k"); code != 200 {
		t.Errorf("after outage: %d", code)
	}
	if err := p.Publish("k", make([]byte, MaxValueBytes+1)); err == nil {
		t.Error("oversized value taken")
	}
	if code := do(t, "PUT", p.Addr(), "/admin/values/big", strings.Repeat("x", MaxValueBytes)); code != 200 {
		t.Errorf("largest value: %d", code)
	}
}

func TestListenRefusesOtherMachines(t *testing.T) {
	for _, addr := range []string{"0.0.0.0:0", ":0", "example.com:1", "10.0.0.1:0"} {
		if _, err := Listen(addr, 0); err == nil {
			t.Errorf("%s taken", addr)
		}
	}
}

func TestFreeAddrsGivesEachOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 100 {
		addrs, err := FreeAddrs(4)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range addrs {
			if seen[a] {
				t.Fatalf("%s given twice", a)
			}
			seen[a] = true
		}
	}
}
