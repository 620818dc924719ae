package ingress

import (
	"context"
	"net"
	"sync"
	"time"
)

// goneEvery is how often the connections of waiting requests are looked at. Each
// look costs a system call for each of them.
const goneEvery = 80 * time.Millisecond

// Watch cancels the context of a request whose caller has closed its
// connection. One goroutine looks at all of them.
type Watch struct {
	mu      sync.Mutex
	waiting map[net.Conn]context.CancelFunc
	// wake tells that there is something to look at again.
	wake chan struct{}
	stop chan struct{}
	once sync.Once
}

// NewWatch starts to watch.
func NewWatch() *Watch {
	w := &Watch{
		waiting: map[net.Conn]context.CancelFunc{},
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Context returns a context that ends at the deadline, or when the caller at
// the other end of c goes. The function must be called when the request ends.
func (w *Watch) Context(c net.Conn, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	w.mu.Lock()
	w.waiting[c] = cancel
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return ctx, func() {
		w.mu.Lock()
		delete(w.waiting, c)
		w.mu.Unlock()
		cancel()
	}
}

// Close stops the watching.
func (w *Watch) Close() {
	w.once.Do(func() { close(w.stop) })
}

// run looks while requests wait, and sleeps while none does.
func (w *Watch) run() {
	for {
		select {
		case <-w.wake:
		case <-w.stop:
			return
		}
		for waiting := true; waiting; waiting = w.look() {
			select {
			case <-time.After(goneEvery):
			case <-w.stop:
				return
			}
		}
	}
}

// look cancels the requests whose callers have gone, and reports whether any
// others wait.
func (w *Watch) look() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, cancel := range w.waiting {
		if gone(c) {
			delete(w.waiting, c)
			cancel()
		}
	}
	return len(w.waiting) > 0
}
