// Command decisions drives one node without sockets, goroutines or a clock, as a
// simulation does: it passes in messages with simulated timestamps and prints the
// resulting commands. The node has not compared its documents with any other
// node, so automatic actions are off: the failed attempt is not retried, and the
// caller gets the outcome notRun.
//
//	go run ./examples/decisions
package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/node"
)

const (
	seed     = 7
	document = `{"kind":"service","revision":1,"service":"faults",
		"selectors":[{"name":"all","callers":["*"]}]}`
	switches = `{"kind":"switches","revision":1,"allow":["retry","loadAware","spillOver"]}`
)

// simulation holds the node and the simulated time.
type simulation struct {
	node *node.Node
	now  time.Time
}

func main() {
	s := &simulation{now: time.Unix(1_800_000_000, 0)}
	s.node = node.New(node.Config{
		Self: instance(1), Incarnation: 1, Started: s.now, FleetSize: 3,
		Rand: rand.New(rand.NewPCG(seed, seed)).Uint64,
	})
	s.loadConfig()
	s.deliver("a caller's request arrives", node.CallerRequest{Request: call.Request{
		ID: "c1", Service: "faults", Caller: "dispatch-1", Method: "GET",
		Replayable: true, Deadline: s.now.Add(time.Second),
	}})
	s.deliver("the upstream's daemon is unreachable", node.AttemptEnded{ID: "c1", Number: 1, Result: node.Attempt{
		Outcome: call.NotRun, Reason: call.ConnectFailed, Unreachable: true,
	}})
}

// loadConfig passes the platform's list of instances and documents to the node.
// It ignores the resulting commands.
func (s *simulation) loadConfig() {
	var entries []membership.ListEntry
	for i := 1; i <= 3; i++ {
		entries = append(entries, membership.ListEntry{Instance: instance(i), State: membership.Live})
	}
	s.node.Update(node.InstancesRead{Entries: entries, Version: 1}, s.now)
	s.node.Update(node.ValueRead{Key: "switches", Version: 1, Body: []byte(switches)}, s.now)
	s.node.Update(node.ValueRead{Key: "services/faults", Version: 2, Body: []byte(document)}, s.now)
}

// deliver passes a message to the node, prints the commands for the request, and
// advances the time by a millisecond.
func (s *simulation) deliver(description string, m node.Message) {
	fmt.Println(description)
	for _, c := range s.node.Update(m, s.now) {
		switch c := c.(type) {
		case node.Forward:
			fmt.Printf("  forward attempt %d to %s\n", c.Number, c.To.ID)
		case node.Answer:
			fmt.Printf("  answer %s, %s\n", c.Outcome, c.Reason)
		}
	}
	s.now = s.now.Add(time.Millisecond)
}

func instance(i int) membership.Instance {
	return membership.Instance{
		ID: fmt.Sprintf("faults-%d", i), Service: "faults", AvailabilityZone: string(rune('a' + i - 1)),
		Region: "north", Control: fmt.Sprintf("127.0.0.1:%d", 9000+i), Peer: fmt.Sprintf("127.0.0.1:%d", 8000+i),
	}
}
