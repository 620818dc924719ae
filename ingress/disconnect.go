package ingress

import (
	"context"
	"net"
	"sync"
	"time"
)

// disconnectPollInterval is how often the connections of waiting requests are checked.
// Each check costs one system call per connection.
const disconnectPollInterval = 80 * time.Millisecond

// DisconnectWatcher cancels the context of a request whose caller has closed its
// connection. One goroutine checks all connections.
type DisconnectWatcher struct {
	mu      sync.Mutex
	waiting map[net.Conn]context.CancelFunc
	// cancelled is set by CancelAll.
	cancelled bool
	// wake signals that there are connections to check again.
	wake chan struct{}
	stop chan struct{}
	once sync.Once
}

// NewDisconnectWatcher returns a running watcher.
func NewDisconnectWatcher() *DisconnectWatcher {
	w := &DisconnectWatcher{
		waiting: map[net.Conn]context.CancelFunc{},
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Context returns a context that ends at the deadline, or when the caller closes c. The
// returned function must be called when the request ends.
func (w *DisconnectWatcher) Context(c net.Conn, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	w.mu.Lock()
	w.waiting[c] = cancel
	if w.cancelled {
		cancel()
	}
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

// CancelAll cancels all requests, present and future.
func (w *DisconnectWatcher) CancelAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelled = true
	for _, cancel := range w.waiting {
		cancel()
	}
}

// Stopped reports whether CancelAll has been called.
func (w *DisconnectWatcher) Stopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cancelled
}

// Close stops the watcher.
func (w *DisconnectWatcher) Close() {
	w.once.Do(func() { close(w.stop) })
}

// run checks the connections at intervals, and blocks while no request waits.
func (w *DisconnectWatcher) run() {
	for {
		select {
		case <-w.wake:
		case <-w.stop:
			return
		}
		for waiting := true; waiting; waiting = w.cancelDisconnected() {
			select {
			case <-time.After(disconnectPollInterval):
			case <-w.stop:
				return
			}
		}
	}
}

// cancelDisconnected cancels the requests whose callers have disconnected, and reports
// whether others are waiting.
func (w *DisconnectWatcher) cancelDisconnected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, cancel := range w.waiting {
		if disconnected(c) {
			delete(w.waiting, c)
			cancel()
		}
	}
	return len(w.waiting) > 0
}
