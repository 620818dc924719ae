package node_test

import (
	"fmt"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/node"
)

// retryAfter returns the delay that a caller is told whose request a daemon refuses.
func retryAfter(t *testing.T, d *directDaemon, id, path string, left time.Duration, result node.Attempt) time.Duration {
	t.Helper()
	d.update(node.CallerRequest{Request: call.Request{ID: id, Host: "h", Path: path, Method: "POST", Deadline: d.now.Add(left)}})
	result.Outcome, result.Answered = call.NotRun, true
	out := d.update(node.AttemptEnded{ID: id, Number: 1, Result: result})
	a, ok := find(out, node.Answer{}).(node.Answer)
	if !ok {
		t.Fatalf("got %v, want an answer", out)
	}
	return a.RetryAfter
}

// TestRetryAfter guards against callers that return before there is capacity, together, or
// later than a third of their time allows.
func TestRetryAfter(t *testing.T) {
	full := balance.Load{State: balance.Serving, InFlight: 8, Queued: 15, Slots: 8, ServiceTime: 100 * time.Millisecond, Pace: 100}
	slow, idle := full, full
	slow.Pace, idle.ServiceTime = 200, 0
	const ms = time.Millisecond
	tests := map[string]struct {
		path             string
		left             time.Duration
		reason           call.Reason
		load             balance.Load
		earliest, latest time.Duration
	}{
		"highest rank":          {"/order/1", 3000 * ms, call.Overloaded, full, 200 * ms, 300 * ms},
		"third rank":            {"/look/1", 3000 * ms, call.Overloaded, full, 400 * ms, 500 * ms},
		"slow upstream":         {"/order/1", 6000 * ms, call.Overloaded, slow, 400 * ms, 600 * ms},
		"little time left":      {"/look/1", 300 * ms, call.Overloaded, full, 80 * ms, 100 * ms},
		"no shortage":           {"/order/1", 3000 * ms, call.Slow, full, 100 * ms, 100 * ms},
		"load is not reported":  {"/order/1", 3000 * ms, call.Overloaded, balance.Load{}, 100 * ms, 100 * ms},
		"service time is known": {"/order/1", 3000 * ms, call.Overloaded, idle, 100 * ms, 100 * ms},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDirectDaemon(t, config.LeastCost)
			d.document("routes", `{"kind":"routes","revision":1,"services":[{"service":"faults"}],"routes":[
			 {"name":"look","host":"h","prefix":"/look/","rank":2,"timeoutMs":9000,"targetMs":9000,"parts":[{"service":"faults"}]},
			 {"name":"order","host":"h","prefix":"/order/","timeoutMs":9000,"targetMs":9000,"parts":[{"service":"faults"}]}]}`)
			d.update(node.DocumentsComplete{})
			d.list("b:2")
			seen := map[time.Duration]bool{}
			for i := range 50 {
				got := retryAfter(t, d, fmt.Sprint(i), test.path, test.left, node.Attempt{Reason: test.reason, Load: test.load, HasLoad: test.load.Slots > 0})
				if got < test.earliest || got > test.latest {
					t.Fatalf("got %v, want %v to %v", got, test.earliest, test.latest)
				}
				seen[got] = true
			}
			if spread := test.earliest < test.latest; spread != (len(seen) > 10) {
				t.Errorf("got %d different delays in 50, want more than 10: %t", len(seen), spread)
			}
		})
	}
}

// TestNestedCallIsForwardedAsSuch guards against a call of a running request that waits like
// any other, and against callers that only claim to be one.
func TestNestedCallIsForwardedAsSuch(t *testing.T) {
	tests := map[string]struct {
		parent string
		nested bool
	}{
		"of the running request": {"t-1", true},
		"another request":        {"t-2", false},
		"longer token":           {"t-10", false},
		"no parent":              {"", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDirectDaemon(t)
			d.routes(1, onlyFaults)
			d.list("self:2", "b:2")
			d.update(node.PeerRequest{From: "b:2", Target: "self:2", Request: call.Request{
				ID: "run", Token: "t-1", Service: "faults", Deadline: d.now.Add(time.Second),
			}})
			f, ok := find(d.update(node.CallerRequest{Request: call.Request{
				ID: "c", ParentToken: test.parent, Host: "h", Path: "/look/1", Deadline: d.now.Add(time.Second),
			}}), node.Forward{}).(node.Forward)
			if !ok || f.Request.Nested != test.nested {
				t.Errorf("got %+v, want nested %t", f.Request, test.nested)
			}
		})
	}
}

// TestShortageIsVisible guards against refusals that operators cannot see.
func TestShortageIsVisible(t *testing.T) {
	d := newDirectDaemon(t, config.Shed)
	d.routes(1, onlyFaults)
	d.list("self:2")
	for i := range 60 {
		d.update(node.PeerRequest{From: "b:2", Target: "self:2", Request: call.Request{
			ID: fmt.Sprint(i), Service: "faults", Priority: call.PriorityOfRank(2), Deadline: d.now.Add(time.Second),
		}})
	}
	entry, logged := find(d.update(node.Tick{}), node.LogEntry{}).(node.LogEntry)
	s := d.Status(d.now).Shedding
	if !s.Shortage || s.Refusals[call.Overloaded][2] != 30 || !logged || !entry.Warn {
		t.Fatalf("got %+v and log entry %+v after 60 requests for 10 slots and a queue of 20", s, entry)
	}
	for range 60 {
		d.advance(100 * time.Millisecond)
		d.update(node.Tick{})
	}
	if d.Status(d.now).Shedding.Shortage {
		t.Error("the shortage has not ended after 6 s without a refusal")
	}
}
