package daemon

import (
	"sync"

	"pomelodoor.example/pomelodoor/node"
)

// boxCommands is more than the node can have for one request at once.
const boxCommands = 16

// boxes holds a mailbox for each request under way: the node's commands for a
// request are carried out by the goroutine that serves it.
type boxes struct {
	mu   sync.Mutex
	open map[string]chan node.Command
}

func newBoxes() *boxes {
	return &boxes{open: map[string]chan node.Command{}}
}

// add opens a mailbox. It returns false when there is one of that name.
func (b *boxes) add(id string) (chan node.Command, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open[id] != nil {
		return nil, false
	}
	box := make(chan node.Command, boxCommands)
	b.open[id] = box
	return box, true
}

// remove closes a mailbox to further commands.
func (b *boxes) remove(id string) {
	b.mu.Lock()
	delete(b.open, id)
	b.mu.Unlock()
}

// put hands over a command. One for a request that has ended is dropped.
func (b *boxes) put(id string, c node.Command) {
	b.mu.Lock()
	box := b.open[id]
	b.mu.Unlock()
	if box != nil {
		box <- c
	}
}
