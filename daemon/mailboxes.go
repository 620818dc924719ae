package daemon

import (
	"sync"

	"pomelodoor.example/pomelodoor/node"
)

// mailboxCapacity exceeds the number of commands that the node can have pending
// for one request.
const mailboxCapacity = 16

// mailboxes holds a mailbox for each request in progress. The goroutine that
// serves a request receives and executes the node's commands for it.
type mailboxes struct {
	mu   sync.Mutex
	byID map[string]chan node.Command
}

func newMailboxes() *mailboxes {
	return &mailboxes{byID: map[string]chan node.Command{}}
}

// add opens a mailbox for a request. It returns false if one exists already.
func (b *mailboxes) add(id string) (chan node.Command, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID[id] != nil {
		return nil, false
	}
	mailbox := make(chan node.Command, mailboxCapacity)
	b.byID[id] = mailbox
	return mailbox, true
}

// remove deletes a mailbox; commands sent to it later are dropped.
func (b *mailboxes) remove(id string) {
	b.mu.Lock()
	delete(b.byID, id)
	b.mu.Unlock()
}

// put sends a command to a request's mailbox. A command for a request that has
// ended is dropped.
func (b *mailboxes) put(id string, c node.Command) {
	b.mu.Lock()
	mailbox := b.byID[id]
	b.mu.Unlock()
	if mailbox != nil {
		mailbox <- c
	}
}
