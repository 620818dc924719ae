package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/node"
)

// newDirectFleet returns a daemon that knows instances of 460 services in five zones of two
// regions. The routes of half of the services name a region.
func newDirectFleet(b *testing.B, instances int) *directDaemon {
	const services = 460
	d := newDirectDaemon(b, config.Retry, config.SpillOver, config.LoadAware, config.Shed)
	var documents, routes []string
	for i := range services {
		documents = append(documents, fmt.Sprintf(`{"service":%q}`, serviceName(i)))
		regions := ""
		if i%2 == 1 {
			regions = `"regions":["north"],`
		}
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"h","prefix":"/%d/","idempotent":true,%s"timeoutMs":1000,"targetMs":400,"attempts":2,"parts":[{"service":%q}]}`,
			i, i, regions, serviceName(i)))
	}
	d.document("routes", `{"kind":"routes","revision":1,"services":[`+strings.Join(documents, ",")+`],"routes":[`+strings.Join(routes, ",")+`]}`)
	d.update(node.DocumentsComplete{})
	var list []membership.StoreEntry
	for i := range instances {
		e := membership.StoreEntry{Incarnation: 5, State: membership.Live}
		e.ID, e.Service, e.Slots = fmt.Sprintf("i-%d:2", i), serviceName(i%services), 10
		zone := (i + i/services) % 5
		e.AvailabilityZone, e.Region = string(rune('a'+zone)), []string{"north", "north", "north", "south", "south"}[zone]
		e.UpstreamIncarnation, e.Peer, e.Control = "u-"+e.ID, e.ID, e.ID+"c"
		list = append(list, e)
	}
	d.update(node.InstancesListed{List: list, Revision: 1})
	return d
}

// callService sends a caller's request to a service, and completes it.
func (d *directDaemon) callService(service, number int) {
	d.t.Helper()
	id := fmt.Sprintf("%d-%d", service, number)
	out := d.update(node.CallerRequest{Request: call.Request{
		ID: id, Host: "h", Path: fmt.Sprintf("/%d/x", service), Method: "GET", Deadline: d.now.Add(time.Second), Replayable: true,
	}})
	f, ok := find(out, node.Forward{}).(node.Forward)
	if !ok {
		d.t.Fatalf("got %v, want a forward", out)
	}
	d.update(node.AttemptEnded{ID: id, Number: f.Number, Result: node.Attempt{Outcome: call.Run, Status: 200, Answered: true, Latency: time.Millisecond}})
}

// BenchmarkRegions measures a node's share of one call at the ingress, to a service whose
// route names a region and to one whose route names none.
func BenchmarkRegions(b *testing.B) {
	for _, instances := range []int{460, 1380, 2800} {
		for name, service := range map[string]int{"any": 2, "one": 1} {
			b.Run(fmt.Sprintf("%d/%s", instances, name), func(b *testing.B) {
				d := newDirectFleet(b, instances)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					d.advance(time.Millisecond)
					d.callService(service, i)
				}
			})
		}
	}
}

// BenchmarkEvacuation measures the beginning and the end of an evacuation of a fifth of the
// instances.
func BenchmarkEvacuation(b *testing.B) {
	for _, instances := range []int{460, 1380, 2800} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			d := newDirectFleet(b, instances)
			b.ReportAllocs()
			for b.Loop() {
				d.advance(time.Second)
				d.evacuate("b")
				d.evacuate()
			}
		})
	}
}
