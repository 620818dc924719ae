package node_test

import (
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/node"
)

// checkUndisturbed fails if commands end a request that runs, or start it elsewhere.
func checkUndisturbed(t *testing.T, when string, commands []node.Command) {
	t.Helper()
	for _, like := range []node.Command{node.Forward{}, node.CancelForward{}, node.Answer{}, node.CancelRun{}, node.Refuse{}, node.HandOn{}} {
		if c := find(commands, like); c != nil {
			t.Fatalf("%s: got %+v, want the request to run on", when, c)
		}
	}
}

// TestSilentUpstreamKeepsItsWork: an upstream whose entry lapses, because its machine is
// only silent or slow to report, keeps the requests that it runs.
func TestSilentUpstreamKeepsItsWork(t *testing.T) {
	tests := map[string]struct{ path string }{"safe": {"/look/1"}, "unsafe": {"/order/1"}}
	for name, test := range tests {
		t.Run(name+", at the sender", func(t *testing.T) {
			d := newDirectDaemon(t, config.Actions()...)
			d.routes(1, onlyFaults)
			d.list("b:2")
			forward, ok := find(d.request("1", test.path), node.Forward{}).(node.Forward)
			if !ok {
				t.Fatal("the request was not sent")
			}
			checkUndisturbed(t, "upstream left the list", d.list("c:2"))
			for range 10 {
				d.advance(50 * time.Millisecond)
				checkUndisturbed(t, "while it runs", d.update(node.Tick{}))
			}
			out := d.update(node.AttemptEnded{ID: "1", Number: forward.Number, Result: node.Attempt{
				Outcome: call.Run, Reason: call.Answered, Status: 200, Answered: true,
			}})
			if _, again := find(out, node.Forward{}).(node.Forward); again {
				t.Fatal("the request was sent again although it was answered")
			}
		})
		t.Run(name+", beside the upstream", func(t *testing.T) {
			d := newDirectDaemon(t, config.Retry, config.Shed)
			d.routes(1, onlyFaults)
			d.list("self:2", "b:2")
			out := d.update(node.PeerRequest{From: "b:2", Target: "self:2", Request: call.Request{
				ID: "1", Service: "faults", Deadline: d.now.Add(time.Second),
			}})
			if _, ok := find(out, node.Run{}).(node.Run); !ok {
				t.Fatalf("got %+v, want a run", out)
			}
			checkUndisturbed(t, "upstream left the list", d.list("b:2"))
			for range 10 {
				d.advance(50 * time.Millisecond)
				checkUndisturbed(t, "while it runs", d.update(node.Tick{}))
			}
		})
	}
}

// TestLoadBeforeUpstreamIsListed: a daemon that others know before it knows its own
// upstream refuses requests, but does not say that it drains: for some seconds others
// would send it nothing once it serves.
func TestLoadBeforeUpstreamIsListed(t *testing.T) {
	d := newDirectDaemon(t, config.Probe, config.LoadAware, config.Shed)
	d.routes(1, onlyFaults)
	steps := []struct {
		name string
		step func()
		want balance.State
	}{
		{"at the start", func() {}, balance.Cold},
		{"others are listed", func() { d.list("b:2") }, balance.Cold},
		{"the upstream is listed", func() { d.list("self:2", "b:2") }, balance.Serving},
		{"the upstream has left", func() { d.list("b:2") }, balance.Draining},
		{"the daemon stops", func() { d.update(node.Shutdown{}) }, balance.Draining},
	}
	for _, s := range steps {
		s.step()
		if got := d.Load(d.now).State; got != s.want {
			t.Fatalf("%s: got state %q, want %q", s.name, got, s.want)
		}
	}
}
