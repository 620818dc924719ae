package ingress

import (
	"context"
	"net"
	"sync"
	"time"
)

// goneEvery is how often the connections of waiting requests are looked at.
const goneEvery = 20 * time.Millisecond

// Watch cancels the context of a request whose caller has closed its
// connection. One goroutine looks at all of them.
type Watch struct {
	mu      sync.Mutex
	waiting map[net.Conn]context.CancelFunc
	stop    chan struct{}
	once    sync.Once
}

// NewWatch starts to watch.
func NewWatch() *Watch {
	w := &Watch{waiting: map[net.Conn]context.CancelFunc{}, stop: make(chan struct{})}
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

func (w *Watch) run() {
	tick := time.NewTicker(goneEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.look()
		case <-w.stop:
			return
		}
	}
}

func (w *Watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, cancel := range w.waiting {
		if gone(c) {
			delete(w.waiting, c)
			cancel()
		}
	}
}
