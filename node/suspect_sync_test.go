package node_test

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/peer"
	"pomelodoor.example/pomelodoor/quarantine"
)

// crasher is the fingerprint of a request that crashes upstreams.
const crasher = 4711

// siblings are direct daemons of one service that exchange control messages at once.
type siblings struct {
	t       *testing.T
	now     time.Time
	daemons map[string]*directDaemon
	// cut holds the daemons that neither send nor receive messages.
	cut map[string]bool
}

// newSiblings starts daemons that know each other.
func newSiblings(t *testing.T, ids ...string) *siblings {
	s := &siblings{t: t, now: time.Unix(1_800_000_000, 0), daemons: map[string]*directDaemon{}, cut: map[string]bool{}}
	for _, id := range ids {
		s.start(id, ids)
	}
	s.run(time.Second)
	return s
}

// start starts a daemon, or starts it again without what it knew.
func (s *siblings) start(id string, ids []string) {
	self := membership.Instance{ID: id, Service: "faults", AvailabilityZone: "a", Peer: id, Control: id + "c"}
	d := &directDaemon{t: s.t, now: s.now, Node: node.New(node.Config{
		Self: self, Incarnation: uint64(s.now.UnixNano()), Started: s.now, Rand: rand.New(rand.NewPCG(1, uint64(len(s.daemons)))).Uint64,
		Direct: true, AssumedActions: []config.Action{config.Retry, config.Quarantine},
		Retry: node.SharedBudget{Share: 0.2, Extra: 60, Window: 10 * time.Second},
	})}
	s.daemons[id] = d
	s.deliver(id, d.routes(1, onlyFaults))
	if d.Ready() {
		s.t.Errorf("%s is ready before it has asked its siblings", id)
	}
	s.deliver(id, d.list(ids...))
}

// run lets a time pass.
func (s *siblings) run(duration time.Duration) {
	const tick = 50 * time.Millisecond
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(tick) {
		for id, d := range s.daemons {
			d.now = s.now
			s.deliver(id, d.update(node.Tick{}))
		}
	}
}

// deliver delivers the control messages among the commands of a daemon.
func (s *siblings) deliver(from string, commands []node.Command) {
	for _, c := range commands {
		send, ok := c.(node.Send)
		to := strings.TrimSuffix(send.Address, "c")
		if d := s.daemons[to]; ok && d != nil && !s.cut[from] && !s.cut[to] {
			s.deliver(to, d.update(node.PeerMessage{Envelope: send.Envelope}))
		}
	}
}

// tellOfCrashes makes a daemon know that a request has crashed two upstreams.
func (s *siblings) tellOfCrashes(id string) {
	banned := quarantine.New(quarantine.Config{Self: "gone:2"})
	for range 2 {
		banned.Start(crasher, s.now)
		banned.Crashed(s.now)
	}
	body, err := json.Marshal(banned.Entries(s.now))
	if err != nil {
		s.t.Fatalf("encode entries: %v", err)
	}
	s.daemons[id].update(node.PeerMessage{Envelope: peer.Envelope{Kind: "quarantine", From: "gone:2", To: id, Body: body}})
}

// refuses reports whether a daemon refuses the request as banned.
func (s *siblings) refuses(id string) bool {
	d := s.daemons[id]
	d.now = s.now
	request := call.Request{ID: "1", Host: "h", Path: "/look/1", Service: "faults", Method: "GET", Fingerprint: crasher, UpstreamIncarnation: "i-" + id, Deadline: s.now.Add(time.Second)}
	out := d.update(node.PeerRequest{Request: request, From: "other:2", Target: id})
	refused, ok := find(out, node.Refuse{}).(node.Refuse)
	return ok && refused.Reason == call.Quarantined
}

// TestBansReachDaemonsThatMissedThem guards against a request that is banned for crashing
// upstreams but runs at a daemon that was not there to be told.
func TestBansReachDaemonsThatMissedThem(t *testing.T) {
	ids := []string{"a:2", "b:2", "c:2", "d:2"}
	tests := map[string]func(s *siblings){
		"it has just started": func(s *siblings) {
			s.start("a:2", ids)
		},
		"it was cut off": func(s *siblings) {
			s.cut["a:2"] = true
			s.run(20 * time.Second)
			s.cut["a:2"] = false
			s.run(2 * time.Second)
		},
	}
	for name, miss := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSiblings(t, ids...)
			s.cut["a:2"] = true
			for _, id := range ids[1:] {
				s.tellOfCrashes(id)
			}
			s.run(10 * time.Second)
			s.cut["a:2"] = false
			miss(s)
			if !s.daemons["a:2"].Ready() {
				t.Error("the daemon is not ready")
			}
			if !s.refuses("a:2") {
				t.Error("the daemon lets a banned request run")
			}
		})
	}
}

// TestReadyWithoutSiblings checks that a daemon whose siblings do not reply is ready soon.
func TestReadyWithoutSiblings(t *testing.T) {
	tests := map[string]struct {
		ids  []string
		wait time.Duration
	}{
		"there are none":    {[]string{"a:2"}, 100 * time.Millisecond},
		"none of them runs": {[]string{"a:2", "b:2", "c:2"}, 400 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSiblings(t)
			s.start("a:2", test.ids)
			s.run(test.wait)
			if !s.daemons["a:2"].Ready() {
				t.Fatalf("the daemon is not ready after %s", test.wait)
			}
		})
	}
}
