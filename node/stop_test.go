package node_test

import (
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/node"
)

// TestStopRefusesWhatLastedTooLong guards against a request that is taken in the first half
// of a stop and given up at its end while an upstream is at work, although requests of its
// route have lasted longer than the rest of the stop.
func TestStopRefusesWhatLastedTooLong(t *testing.T) {
	tests := map[string]struct {
		lasted, observed time.Duration
		deadline         time.Duration
		refused          bool
	}{
		"fits":                       {2 * time.Second, 0, 9 * time.Second, false},
		"lasted longer":              {2600 * time.Millisecond, 0, 9 * time.Second, true},
		"lasted longer, deadline":    {2600 * time.Millisecond, 0, 2 * time.Second, false},
		"lasted longer, a while ago": {2600 * time.Millisecond, 40 * time.Second, 9 * time.Second, true},
		"lasted longer, long ago":    {2600 * time.Millisecond, 70 * time.Second, 9 * time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDirectDaemon(t)
			d.document("routes", orderRoutes)
			d.update(node.DocumentsComplete{})
			d.list("self:2", "other:2")
			d.update(node.CallerRequest{Request: orderRequest("first", d.now.Add(9*time.Second))})
			d.update(node.AttemptEnded{ID: "first", Number: 1, Result: node.Attempt{
				Outcome: call.Run, Reason: call.Answered, Status: 200, Latency: test.lasted, Answered: true,
			}})
			for left := test.observed; left > 0; left -= time.Second {
				d.advance(time.Second)
			}
			d.update(node.Shutdown{AnswerBy: d.now.Add(4 * time.Second)})
			d.advance(1500 * time.Millisecond)
			request := orderRequest("c", d.now.Add(test.deadline))
			_, refused := find(d.update(node.CallerRequest{Request: request}), node.Answer{}).(node.Answer)
			if refused != test.refused {
				t.Errorf("refused: %t, want %t", refused, test.refused)
			}
		})
	}
}

const orderRoutes = `{"kind":"routes","revision":1,"services":[{"service":"faults"}],
 "routes":[{"name":"order","host":"h","prefix":"/order/","timeoutMs":60000,"parts":[{"service":"faults"}]}]}`

func orderRequest(id string, deadline time.Time) call.Request {
	return call.Request{ID: id, Host: "h", Path: "/order/1", Method: "POST", Service: "faults", Deadline: deadline}
}

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
			d.document("routes", orderRoutes)
			d.update(node.DocumentsComplete{})
			d.list("self:2", "other:2")
			d.update(node.Shutdown{AnswerBy: d.now.Add(4 * time.Second)})
			d.advance(test.after)
			request := orderRequest("c", d.now.Add(test.deadline))
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
