package node_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/measure"
	"pomelodoor.example/pomelodoor/node"
)

// TestZoneLoadRecipients guards against load reports to daemons that have no use
// for them, or none to those that do: in a small zone all daemons receive them,
// in a large one those that recently sent a request.
func TestZoneLoadRecipients(t *testing.T) {
	tests := map[string]struct {
		others int
		since  time.Duration
		want   []string
	}{
		"a small zone":                     {3, 0, []string{"z0:2c", "z1:2c", "z2:2c"}},
		"a large zone":                     {20, 0, []string{"z7:2c"}},
		"a large zone, request 2 s ago":    {20, 2 * time.Second, nil},
		"a large zone, request 300 ms ago": {20, 300 * time.Millisecond, []string{"z7:2c"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDirectDaemon(t, config.LoadAware, config.Probe, config.Shed)
			d.routes(1, onlyFaults)
			ids := []string{"self:2"}
			for i := range test.others {
				ids = append(ids, fmt.Sprintf("z%d:2", i))
			}
			d.list(ids...)
			d.update(node.Tick{})
			d.update(node.PeerRequest{From: "z7:2", Target: "self:2", Request: call.Request{
				ID: "1", Service: "faults", Deadline: d.now.Add(5 * time.Second),
			}})
			d.advance(test.since)
			var recipients []string
			for _, c := range d.update(node.ProbeEnded{Reading: measure.Reading{PacePercent: 500}}) {
				if send, ok := c.(node.Send); ok {
					recipients = append(recipients, send.Address)
				}
			}
			slices.Sort(recipients)
			if !slices.Equal(recipients, test.want) {
				t.Fatalf("load sent to %v, want %v", recipients, test.want)
			}
		})
	}
}

// TestUpstreamWithoutPace guards against refusing requests, or probing without
// end, for an upstream that reports no load or no pace.
func TestUpstreamWithoutPace(t *testing.T) {
	for name, before := range map[string]int{"never reported": 0, "after reporting slow": 500} {
		t.Run(name, func(t *testing.T) { testNoPace(t, before) })
	}
}

// testNoPace uses an upstream that first reports the pace before, unless that
// is 0, and then none.
func testNoPace(t *testing.T, before int) {
	t.Helper()
	d := newDirectDaemon(t, config.LoadAware, config.Probe, config.Shed)
	d.routes(1, onlyFaults)
	d.list("self:2")
	d.update(node.Tick{})
	if before > 0 {
		d.update(node.ProbeEnded{Reading: measure.Reading{State: measure.Serving, PacePercent: before}})
	}
	probes, runs := 0, 0
	countCommands := func(commands []node.Command) (probed bool) {
		for _, c := range commands {
			switch c.(type) {
			case node.Probe:
				probes, probed = probes+1, true
			case node.Run:
				runs++
			}
		}
		return probed
	}
	// Until the missing pace is detected, the last reported pace applies.
	const requests, detection = 40, 3
	for i := range requests {
		d.advance(200 * time.Millisecond)
		d.update(node.Tick{})
		id := fmt.Sprint(i)
		if countCommands(d.update(node.PeerRequest{From: "b:2", Target: "self:2", Request: call.Request{
			ID: id, Service: "faults", Deadline: d.now.Add(time.Second), Route: "look",
		}})) {
			d.advance(time.Millisecond)
			countCommands(d.update(node.ProbeEnded{Reading: measure.Reading{State: measure.Serving}}))
		}
		d.advance(20 * time.Millisecond)
		countCommands(d.update(node.RunEnded{ID: id, Outcome: call.Run, Reason: call.Answered, Status: 200, Latency: 20 * time.Millisecond}))
	}
	if runs < requests-detection || before == 0 && runs != requests || probes > 10 {
		t.Errorf("%d of %d requests run with %d probes, want all but the first few and at most 10 probes", runs, requests, probes)
	}
	if got := d.Load(d.now).State; got != balance.Serving {
		t.Errorf("reported state %s, want serving", got)
	}
	// An answer with a pace must be used again.
	d.update(node.PeerRequest{From: "b:2", Target: "self:2", Request: call.Request{ID: "x", Service: "faults", Deadline: d.now.Add(time.Second)}})
	d.update(node.RunEnded{ID: "x", Outcome: call.Run, Status: 200, HasReading: true, Reading: measure.Reading{PacePercent: 500}})
	d.advance(200 * time.Millisecond)
	probes = 0
	if !countCommands(d.update(node.PeerRequest{From: "b:2", Target: "self:2", Request: call.Request{ID: "y", Service: "faults", Deadline: d.now.Add(time.Second)}})) {
		t.Error("no probe although the upstream reports its pace again")
	}
}
