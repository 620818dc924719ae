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

var capacity = flag.Bool("capacity", false, "measure the resources of one node by the size of its fleet")

// isolatedNode is one node that knows a fleet of a given size, and whose
// messages are counted but not delivered.
type isolatedNode struct {
	node         *node.Node
	now          time.Time
	services     int
	sentMessages int
	sentBytes    int
}

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// newIsolatedNode distributes the instances as unequally over the services as in
// the fleet: the first service has at least a tenth of them.
func newIsolatedNode(instances, services int) *isolatedNode {
	n := &isolatedNode{now: time.Unix(1_800_000_000, 0), services: services}
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
	n.node = node.New(node.Config{
		Self: entries[0].Instance, Incarnation: 1, Started: n.now, FleetSize: instances,
		Rand: rand.New(rand.NewPCG(1, 2)).Uint64,
	})
	n.update(node.InstancesRead{Entries: entries, Version: 1})
	n.update(node.ValueRead{Key: "switches", Version: 1, Body: []byte(
		`{"kind":"switches","revision":1,"allow":["retry","eject","spillOver","handOn","shed","slowStart","loadAware","quarantine"]}`)})
	for s := range services {
		n.update(node.ValueRead{Key: "services/" + serviceName(s), Version: uint64(s + 2), Body: []byte(fmt.Sprintf(
			`{"kind":"service","revision":1,"service":%q,"selectors":[{"name":"all","callers":["*"]}],"limits":{"slots":12,"queue":24,"timeoutMs":2000}}`,
			serviceName(s)))})
	}
	return n
}

func (n *isolatedNode) update(m node.Message) []node.Command {
	commands := n.node.Update(m, n.now)
	for _, c := range commands {
		if s, ok := c.(node.Send); ok {
			n.sentMessages++
			n.sentBytes += len(s.Envelope.Body)
		}
	}
	return commands
}

// call passes one request through ingress, and its answer back.
func (n *isolatedNode) call(i int) {
	id := fmt.Sprintf("%016x", i)
	commands := n.update(node.CallerRequest{Request: call.Request{
		ID: id, Service: serviceName(i % n.services), Caller: "dispatch", Method: "GET",
		Deadline: n.now.Add(time.Second), Replayable: true,
	}})
	f, ok := commands[0].(node.Forward)
	if !ok {
		panic(fmt.Sprintf("got %+v, want a forward", commands[0]))
	}
	n.now = n.now.Add(2 * time.Millisecond)
	n.update(node.AttemptEnded{ID: id, Number: f.Number, Result: node.Attempt{
		Outcome: call.Run, Status: 200, Answered: true, Latency: 2 * time.Millisecond, RemoteTime: time.Millisecond,
	}})
}

// serve passes one forwarded request through admission, and completes its run.
func (n *isolatedNode) serve(i int) {
	id := fmt.Sprintf("%016x-1", i)
	n.update(node.PeerRequest{From: "instance-1", Target: "instance-0", Incarnation: 1, Request: call.Request{
		ID: id, Service: serviceName(0), Caller: "dispatch", Method: "GET", Deadline: n.now.Add(time.Second),
	}})
	n.update(node.RunEnded{ID: id, Outcome: call.Run, Status: 200, Latency: time.Millisecond})
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// averageTime returns the average duration of n calls of f.
func averageTime(n int, f func(i int)) time.Duration {
	start := time.Now()
	for i := range n {
		f(i)
	}
	return time.Since(start) / time.Duration(n)
}

// TestCapacity prints the resources that one node uses, by the size of its
// fleet:
//
//	go test ./node -run TestCapacity -v -args -capacity
func TestCapacity(t *testing.T) {
	if !*capacity {
		t.Skip("prints measurements when -capacity is set")
	}
	t.Log("instances services    heap KB  tick us  call us  serve us  messages/s  body B/s")
	for _, size := range []struct{ instances, services int }{{4, 1}, {16, 4}, {64, 12}, {256, 46}, {1024, 180}, {2800, 460}} {
		before := heapBytes()
		n := newIsolatedNode(size.instances, size.services)
		used := heapBytes() - before
		tick := func(int) {
			n.now = n.now.Add(50 * time.Millisecond)
			n.update(node.Tick{})
		}
		// Updates on the whole fleet are sent first.
		averageTime(2000, tick)
		n.sentMessages, n.sentBytes = 0, 0
		tickTime := averageTime(2000, tick)
		seconds := 2000 * 0.05
		messages, bytes := float64(n.sentMessages)/seconds, float64(n.sentBytes)/seconds
		callTime := averageTime(5000, n.call)
		serveTime := averageTime(5000, n.serve)
		t.Logf("%9d %8d %10d %8.1f %8.1f %9.1f %11.2f %9.0f", size.instances, size.services, used/1024,
			microseconds(tickTime), microseconds(callTime), microseconds(serveTime), messages, bytes)
		runtime.KeepAlive(n)
	}
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// BenchmarkIngress measures a node's share of one call at the ingress.
func BenchmarkIngress(b *testing.B) {
	n := newIsolatedNode(2800, 460)
	b.ReportAllocs()
	for i := range b.N {
		n.call(i)
	}
}

// BenchmarkAdmission measures a node's share of one call at the admission.
func BenchmarkAdmission(b *testing.B) {
	n := newIsolatedNode(2800, 460)
	b.ReportAllocs()
	for i := range b.N {
		n.serve(i)
	}
}
