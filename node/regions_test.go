package node_test

import (
	"fmt"
	"testing"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/node"
)

// newRegionDaemon returns a daemon in zone a and region north. The route look is restricted to
// the given regions, in JSON; the route order is not.
func newRegionDaemon(t *testing.T, regions string, names map[string]string) *directDaemon {
	t.Helper()
	d := newDirectDaemon(t, config.Retry, config.SpillOver, config.HandOn, config.Shed, config.LoadAware)
	d.Node = node.New(node.Config{
		Self: membership.Instance{ID: "self:2", Service: "faults", AvailabilityZone: "a", Region: "north", Peer: "self:2", Control: "self:3"}, Incarnation: 9,
		Started: d.now, Rand: func() uint64 { return 7 }, Direct: true, AssumedActions: []config.Action{config.Retry, config.SpillOver, config.HandOn},
	})
	d.document("routes", fmt.Sprintf(`{"kind":"routes","revision":1,"services":[{"service":"faults"}],
	 "routes":[{"name":"look","host":"h","prefix":"/look/","idempotent":true,"parts":[{"service":"faults"}],"regions":%s},
	  {"name":"order","host":"h","prefix":"/order/","parts":[{"service":"faults"}]}]}`, regions))
	d.update(node.DocumentsComplete{})
	var list []membership.StoreEntry
	for name, region := range names {
		e := membership.StoreEntry{Incarnation: 5, State: membership.Live}
		e.ID, e.UpstreamIncarnation, e.Service, e.AvailabilityZone, e.Slots = name, "i-"+name, "faults", name[:1], 10
		e.Region, e.Peer, e.Control = region, name, name+"c"
		list = append(list, e)
	}
	d.update(node.InstancesListed{List: list, Revision: 1})
	return d
}

// TestRequestsStayInRegions guards against attempts, first or later, that send a request to a
// region which its route does not allow.
func TestRequestsStayInRegions(t *testing.T) {
	names := map[string]string{"self:2": "north", "a1": "north", "b1": "south", "c1": ""}
	tests := map[string]struct {
		regions string
		path    string
		reach   map[string]bool
		refusal call.Reason
	}{
		"one":              {`["south"]`, "/look/1", map[string]bool{"b1": true}, ""},
		"own":              {`["north"]`, "/look/1", map[string]bool{"self:2": true, "a1": true}, ""},
		"two":              {`["north","south"]`, "/look/1", map[string]bool{"self:2": true, "a1": true, "b1": true}, ""},
		"none":             {`["east"]`, "/look/1", map[string]bool{}, call.WrongRegion},
		"not restricted":   {`["south"]`, "/order/1", map[string]bool{"self:2": true, "a1": true, "b1": true, "c1": true}, ""},
		"route not listed": {`["south"]`, "/none/", map[string]bool{}, call.UnknownService},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newRegionDaemon(t, test.regions, names)
			reached := map[string]bool{}
			out := d.request("1", test.path)
			for f, more := find(out, node.Forward{}).(node.Forward); more; f, more = find(out, node.Forward{}).(node.Forward) {
				reached[f.To.ID] = true
				out = d.update(node.AttemptEnded{ID: "1", Number: f.Number, Result: node.Attempt{Outcome: call.NotRun, Reason: call.Overloaded, Answered: true}})
			}
			a, ok := find(out, node.Answer{}).(node.Answer)
			if !ok || a.Outcome != call.NotRun || a.RetryAfter <= 0 || test.refusal != "" && a.Reason != test.refusal {
				t.Errorf("got %+v, want a refusal", out)
			}
			if fmt.Sprint(reached) != fmt.Sprint(test.reach) {
				t.Errorf("reached %v, want %v", reached, test.reach)
			}
		})
	}
}

// TestDaemonRefusesOtherRegions guards against a sender with older documents whose request runs
// in a region that the route does not allow.
func TestDaemonRefusesOtherRegions(t *testing.T) {
	tests := map[string]struct {
		regions, route string
		refused        bool
	}{
		"allowed":        {`["north"]`, "look", false},
		"not allowed":    {`["south"]`, "look", true},
		"not restricted": {`["south"]`, "order", false},
		"unknown route":  {`["south"]`, "other", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newRegionDaemon(t, test.regions, map[string]string{"self:2": "north"})
			out := d.update(node.PeerRequest{From: "b1", Target: "self:2", Request: call.Request{
				ID: "1", Service: "faults", Route: test.route, Deadline: d.now.Add(1e9), Replayable: true,
			}})
			r, refused := find(out, node.Refuse{}).(node.Refuse)
			if refused != test.refused || refused && (r.Outcome != call.NotRun || r.Reason != call.WrongRegion) {
				t.Errorf("got %+v", out)
			}
		})
	}
}

// TestHandOnStaysInRegions guards against a daemon that hands a request on to a region which
// the route does not allow. In its own zone there is another region here only by the list.
func TestHandOnStaysInRegions(t *testing.T) {
	for _, region := range []string{"north", "south"} {
		d := newRegionDaemon(t, `["north"]`, map[string]string{"self:2": "north", "a1": region, "b1": "north"})
		handedOn := false
		for i := range 60 {
			out := d.update(node.PeerRequest{From: "b1", Target: "self:2", Request: call.Request{
				ID: fmt.Sprint(i), Service: "faults", Route: "look", Deadline: d.now.Add(1e9), Replayable: true,
			}})
			h, ok := find(out, node.HandOn{}).(node.HandOn)
			if handedOn = handedOn || ok; ok && h.To.Region != "north" {
				t.Fatalf("handed on to %+v", h.To)
			}
		}
		if handedOn != (region == "north") {
			t.Errorf("a full daemon with a sibling in %s: handed on is %t", region, handedOn)
		}
	}
}

// TestEvacuationLeavesNoAllowedRegion guards against an evacuation that sends requests to a
// region which their route does not allow.
func TestEvacuationLeavesNoAllowedRegion(t *testing.T) {
	d := newRegionDaemon(t, `["north"]`, map[string]string{"self:2": "north", "b1": "south"})
	d.evacuate("a")
	if a, ok := find(d.request("1", "/look/1"), node.Answer{}).(node.Answer); !ok || a.Outcome != call.NotRun || a.Reason != call.Evacuated {
		t.Errorf("got %+v, want a refusal", a)
	}
	if f, ok := find(d.request("2", "/order/1"), node.Forward{}).(node.Forward); !ok || f.To.ID != "b1" {
		t.Errorf("got %+v, want an attempt in the other region", f)
	}
}
