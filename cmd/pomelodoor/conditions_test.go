package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/node"
)

// TestConditions guards against conditions of a fleet that `status` hides, and against output
// that grows with the fleet.
func TestConditions(t *testing.T) {
	cold := func(service, warmth string, inForce bool) node.Status {
		return node.Status{Service: service, Cold: &admit.ColdStatus{Warmth: warmth, InForce: inForce, PerSecond: 13}}
	}
	short := func(service string) node.Status {
		return node.Status{Service: service, Shedding: node.Shedding{Shortage: true}}
	}
	era := func(era uint64) node.Status { return node.Status{Store: &node.StoreStatus{Era: era}} }
	tests := map[string]struct {
		statuses map[string]node.Status
		want     string
	}{
		"none":           {nil, ""},
		"nothing to say": {map[string]node.Status{"a": cold("faults", "warm", false), "b": era(0)}, ""},
		"evacuation that a daemon does not know of": {
			map[string]node.Status{"a": {EvacuatedZones: []string{"x"}}, "b": {EvacuatedZones: []string{"x", "y"}}, "c": {}},
			"evacuated zones: 2: x known to 2 of 3 daemons, not to c; y known to 1 of 3 daemons, not to a, c\n",
		},
		"cold upstreams by service": {
			map[string]node.Status{"a": cold("faults", "cold", true), "b": cold("orders", "cold", true), "c": cold("orders", "cold", true), "d": cold("orders", "unknown", true)},
			"cold, limited: 4 of 4 daemons; orders, cold, 13/s: 2 (b, c); faults, cold, 13/s: 1 (a); orders, unknown, 13/s: 1 (d)\n",
		},
		"shortages by service": {
			map[string]node.Status{"a": short("faults"), "b": short("orders"), "c": short("orders"), "d": short(""), "e": {}},
			"shortage: 4 of 5 daemons; orders: 2 (b, c); faults: 1 (a); unknown service: 1 (d)\n",
		},
		"one era":      {map[string]node.Status{"a": era(3), "b": era(3)}, "store: era 3 at 2 daemons\n"},
		"eras differ":  {map[string]node.Status{"a": era(3), "b": era(3), "c": era(0)}, "store, eras differ: 3 of 3 daemons; era 3: 2 (a, b); era 0: 1 (c)\n"},
		"without eras": {map[string]node.Status{"a": era(0)}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if err := writeConditions(&out, test.statuses); err != nil {
				t.Fatal(err)
			}
			if out.String() != test.want {
				t.Fatalf("got\n%s\nwant\n%s", out.String(), test.want)
			}
		})
	}
}

// TestConditionsStayShort guards against lines that grow with the fleet: all conditions at
// once, each at hundreds of daemons of many services and zones.
func TestConditionsStayShort(t *testing.T) {
	statuses := map[string]node.Status{}
	for i := range 600 {
		service := fmt.Sprintf("service-%02d", i%50)
		s := node.Status{
			Service: service, EvacuatedZones: []string{fmt.Sprintf("zone-%d", i%9)}, Shedding: node.Shedding{Shortage: true},
			Cold: &admit.ColdStatus{Warmth: "cold", InForce: true, PerSecond: i}, Store: &node.StoreStatus{Era: uint64(i % 20)},
		}
		statuses[fmt.Sprintf("%s-%03d", service, i)] = s
	}
	var out bytes.Buffer
	command := statusCommand{Summary: true}
	if _, err := command.print(&out, statuses); err != nil {
		t.Fatal(err)
	}
	const maxLine = 400
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	for _, line := range lines {
		if len(line) > maxLine {
			t.Errorf("a line has %d characters, want at most %d: %s", len(line), maxLine, line)
		}
	}
	for _, want := range []string{"and 47 more", "evacuated zones: 9", "cold, limited: 600", "shortage: 600", "eras differ"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the output lacks %q:\n%s", want, out.String())
		}
	}
}
