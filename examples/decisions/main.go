// Command decisions drives one node with no socket, goroutine or clock, as a
// bench would: messages go in with a time of its own, and it prints the commands
// that come out. The node has compared its documents with nobody, so automatic
// actions are off: the caller is told notRun and there is no retry.
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

// bench holds the node and the time that passes.
type bench struct {
	node *node.Node
	now  time.Time
}

func main() {
	b := &bench{now: time.Unix(1_800_000_000, 0)}
	b.node = node.New(node.Config{
		Self: instance(1), Incarnation: 1, Started: b.now, FleetSize: 3,
		Rand: rand.New(rand.NewPCG(seed, seed)).Uint64,
	})
	b.learn()
	b.say("a caller's request arrives", node.CallerRequest{Request: call.Request{
		ID: "c1", Service: "faults", Caller: "dispatch-1", Method: "GET",
		Replayable: true, Deadline: b.now.Add(time.Second),
	}})
	b.say("the upstream's daemon cannot be reached", node.AttemptEnded{ID: "c1", Number: 1, Result: node.Attempt{
		Outcome: call.NotRun, Reason: call.ConnectFailed, Unreachable: true,
	}})
}

// learn gives the node the platform's list and documents, quietly.
func (b *bench) learn() {
	var entries []membership.ListEntry
	for i := 1; i <= 3; i++ {
		entries = append(entries, membership.ListEntry{Instance: instance(i), State: membership.Live})
	}
	b.node.Update(node.InstancesRead{Entries: entries, Version: 1}, b.now)
	b.node.Update(node.ValueRead{Key: "switches", Version: 1, Body: []byte(switches)}, b.now)
	b.node.Update(node.ValueRead{Key: "services/faults", Version: 2, Body: []byte(document)}, b.now)
}

// say passes a message in, lets a millisecond pass, and prints what is to be
// done for the request.
func (b *bench) say(what string, m node.Message) {
	fmt.Println(what)
	for _, c := range b.node.Update(m, b.now) {
		switch c := c.(type) {
		case node.Forward:
			fmt.Printf("  forward attempt %d to %s\n", c.Number, c.To.ID)
		case node.Answer:
			fmt.Printf("  answer %s, %s\n", c.Outcome, c.Reason)
		}
	}
	b.now = b.now.Add(time.Millisecond)
}

func instance(i int) membership.Instance {
	return membership.Instance{
		ID: fmt.Sprintf("faults-%d", i), Service: "faults", AvailabilityZone: string(rune('a' + i - 1)),
		Region: "north", Control: fmt.Sprintf("127.0.0.1:%d", 9000+i), Peer: fmt.Sprintf("127.0.0.1:%d", 8000+i),
	}
}
