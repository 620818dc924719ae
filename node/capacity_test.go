package node_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/node"
)

var capacity = flag.Bool("capacity", false, "measure what one node costs by the size of its fleet")

// lone is one node that knows a fleet of a size, and whose messages go nowhere.
type lone struct {
	node     *node.Node
	now      time.Time
	services int
	sent     int
	bytes    int
}

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// newLone spreads the instances over services as unequal as the fleet's: the
// first service has a tenth of them.
func newLone(instances, services int) *lone {
	l := &lone{now: time.Unix(1_800_000_000, 0), services: services}
	var entries []membership.ListEntry
	for i := range instances {
		service := 0
		if i >= instances/10 {
			service = i % services
		}
		entries = append(entries, membership.ListEntry{State: membership.Live, Instance: membership.Instance{
			ID: fmt.Sprintf("instance-%d", i), Service: serviceName(service),
			AvailabilityZone: fmt.Sprintf("zone-%d", i%5), Region: fmt.Sprintf("region-%d", i%5/3),
			Listen: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), Peer: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250),
			Control: fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250),
		}})
	}
	l.node = node.New(node.Config{
		Self: entries[0].Instance, Incarnation: 1, Started: l.now, FleetSize: instances,
		Rand: rand.New(rand.NewPCG(1, 2)).Uint64,
	})
	l.update(node.InstancesRead{Entries: entries, Version: 1})
	l.update(node.ValueRead{Key: "switches", Version: 1, Body: []byte(
		`{"kind":"switches","revision":1,"allow":["retry","eject","spillOver","handOn","shed","slowStart","loadAware","quarantine"]}`)})
	for s := range services {
		l.update(node.ValueRead{Key: "services/" + serviceName(s), Version: uint64(s + 2), Body: []byte(fmt.Sprintf(
			`{"kind":"service","revision":1,"service":%q,"selectors":[{"name":"all","callers":["*"]}],"limits":{"slots":12,"queue":24,"timeoutMs":2000}}`,
			serviceName(s)))})
	}
	return l
}

func (l *lone) update(m node.Message) []node.Command {
	commands := l.node.Update(m, l.now)
	for _, c := range commands {
		if s, ok := c.(node.Send); ok {
			l.sent++
			l.bytes += len(s.Envelope.Body)
		}
	}
	return commands
}

// call takes one request through ingress, and its answer back.
func (l *lone) call(i int) {
	id := fmt.Sprintf("%016x", i)
	commands := l.update(node.CallerRequest{Request: call.Request{
		ID: id, Service: serviceName(i % l.services), Caller: "dispatch", Method: "GET",
		Deadline: l.now.Add(time.Second), Replayable: true,
	}})
	f, ok := commands[0].(node.Forward)
	if !ok {
		panic(fmt.Sprintf("no forward but %+v", commands[0]))
	}
	l.now = l.now.Add(2 * time.Millisecond)
	l.update(node.AttemptEnded{ID: id, Number: f.Number, Result: node.Attempt{
		Outcome: call.Run, Status: 200, Answered: true, Latency: 2 * time.Millisecond, Spent: time.Millisecond,
	}})
}

// serve takes one forwarded request through admission, and its run to its end.
func (l *lone) serve(i int) {
	id := fmt.Sprintf("%016x-1", i)
	l.update(node.PeerRequest{From: "instance-1", Target: "instance-0", Incarnation: 1, Request: call.Request{
		ID: id, Service: serviceName(0), Caller: "dispatch", Method: "GET", Deadline: l.now.Add(time.Second),
	}})
	l.update(node.RunEnded{ID: id, Outcome: call.Run, Status: 200, Latency: time.Millisecond})
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// timed returns the time that one of n runs of f takes.
func timed(n int, f func(i int)) time.Duration {
	start := time.Now()
	for i := range n {
		f(i)
	}
	return time.Since(start) / time.Duration(n)
}

// TestCapacity prints what one node takes, by the size of its fleet:
//
//	go test ./node -run TestCapacity -v -args -capacity
func TestCapacity(t *testing.T) {
	if !*capacity {
		t.Skip("prints measurements when -capacity is set")
	}
	t.Log("instances services    heap KB  tick us  call us  serve us  messages/s  body B/s")
	for _, size := range []struct{ instances, services int }{{4, 1}, {16, 4}, {64, 12}, {256, 46}, {1024, 180}, {2800, 460}} {
		before := heap()
		l := newLone(size.instances, size.services)
		used := heap() - before
		tick := func(int) {
			l.now = l.now.Add(50 * time.Millisecond)
			l.update(node.Tick{})
		}
		// The news of the whole fleet goes out first.
		timed(2000, tick)
		l.sent, l.bytes = 0, 0
		ticks := timed(2000, tick)
		seconds := 2000 * 0.05
		messages, bytes := float64(l.sent)/seconds, float64(l.bytes)/seconds
		calls := timed(5000, l.call)
		serves := timed(5000, l.serve)
		t.Logf("%9d %8d %10d %8.1f %8.1f %9.1f %11.2f %9.0f", size.instances, size.services, used/1024,
			us(ticks), us(calls), us(serves), messages, bytes)
		runtime.KeepAlive(l)
	}
}

func us(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// BenchmarkIngress measures a node's part of one call at the ingress.
func BenchmarkIngress(b *testing.B) {
	l := newLone(2800, 460)
	b.ReportAllocs()
	for i := range b.N {
		l.call(i)
	}
}

// BenchmarkAdmission measures a node's part of one call at the admission.
func BenchmarkAdmission(b *testing.B) {
	l := newLone(2800, 460)
	b.ReportAllocs()
	for i := range b.N {
		l.serve(i)
	}
}
