package node_test

import (
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/node"
)

// TestStopRefusesWhatOutlastsIt guards against requests that are taken late in a stop and
// cut at its end.
func TestStopRefusesWhatOutlastsIt(t *testing.T) {
	tests := map[string]struct {
		after, deadline time.Duration
		refused         bool
	}{
		"first half, outlasts the stop":  {1900 * time.Millisecond, 9 * time.Second, false},
		"second half, outlasts the stop": {2 * time.Second, 9 * time.Second, true},
		"second half, ends in time":      {2 * time.Second, 2 * time.Second, false},
		"second half, ends too late":     {2 * time.Second, 2001 * time.Millisecond, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDirectDaemon(t)
			d.document("routes", `{"kind":"routes","revision":1,"services":[{"service":"faults"}],
			 "routes":[{"name":"order","host":"h","prefix":"/order/","timeoutMs":60000,"parts":[{"service":"faults"}]}]}`)
			d.update(node.DocumentsComplete{})
			d.list("self:2", "other:2")
			d.update(node.Shutdown{AnswerBy: d.now.Add(4 * time.Second)})
			d.advance(test.after)
			request := call.Request{ID: "c", Host: "h", Path: "/order/1", Method: "POST", Service: "faults", Deadline: d.now.Add(test.deadline)}
			refusal, refused := find(d.update(node.CallerRequest{Request: request}), node.Answer{}).(node.Answer)
			if refused != test.refused || refused && (refusal.Outcome != call.NotRun || refusal.Reason != call.Leaving) {
				t.Errorf("a caller's request: got %+v, refused %t, want %t", refusal, refused, test.refused)
			}
			request.ID = "p"
			peer, refused := find(d.update(node.PeerRequest{Request: request, From: "other:2", Target: "self:2"}), node.Refuse{}).(node.Refuse)
			if refused != test.refused || refused && (peer.Outcome != call.NotRun || peer.Reason != call.Leaving) {
				t.Errorf("another daemon's request: got %+v, refused %t, want %t", peer, refused, test.refused)
			}
		})
	}
}
