package node_test

import (
	"fmt"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/measure"
	"pomelodoor.example/pomelodoor/node"
)

// BenchmarkLoadReport measures a reading of the pace that is reported to the zone, in a
// fleet of 295 daemons in one zone, of which 20 sent requests lately.
func BenchmarkLoadReport(b *testing.B) {
	d := newDirectDaemon(b, config.LoadAware, config.Probe, config.Shed)
	d.routes(1, onlyFaults)
	ids := []string{"self:2"}
	for i := range 294 {
		ids = append(ids, fmt.Sprintf("z%03d:2", i))
	}
	d.list(ids...)
	d.update(node.Tick{})
	b.ReportAllocs()
	for i := range b.N {
		if i%100 == 0 {
			for j := range 20 {
				id := fmt.Sprint(i, j)
				d.update(node.PeerRequest{From: ids[1+7*j], Target: "self:2", Request: call.Request{
					ID: id, Service: "faults", Deadline: d.now.Add(time.Hour),
				}})
				d.update(node.RunEnded{ID: id, Outcome: call.Run, Status: 200, Latency: 10 * time.Millisecond})
			}
		}
		d.advance(3 * time.Millisecond)
		d.update(node.ProbeEnded{Reading: measure.Reading{PacePercent: 100 + 900*(i%2)}})
	}
}
