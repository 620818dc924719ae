package ingress

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"pomelodoor.example/pomelodoor/heartbeat"
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
	heartbeat *heartbeat.Monitor
	// wake signals that there are connections to check again.
	wake chan struct{}
	stop chan struct{}
	once sync.Once
}

// NewDisconnectWatcher returns a running watcher. The monitor tells when the process is
// late.
func NewDisconnectWatcher(monitor *heartbeat.Monitor) *DisconnectWatcher {
	w := &DisconnectWatcher{
		heartbeat: monitor,
		waiting:   map[net.Conn]context.CancelFunc{},
		wake:      make(chan struct{}, 1),
		stop:      make(chan struct{}),
	}
	go w.run()
	return w
}

// Context returns a context that ends at the deadline, or when the caller closes c. If the
// process is late, it has ended already if the caller has closed c before. The returned
// function must be called when the request ends.
func (w *DisconnectWatcher) Context(c net.Conn, deadline, now time.Time) (context.Context, context.CancelFunc) {
	watched := &watchedConn{watcher: w, conn: c}
	ctx, cancel := context.WithDeadline(context.WithValue(context.Background(), watchedConnKey, watched), deadline)
	watched.cancel = cancel
	if CallerLeft(ctx, now) {
		return ctx, cancel
	}
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

// contextKey is the type of the keys for values in a context.
type contextKey string

// watchedConnKey is the key of the watchedConn in a context of a DisconnectWatcher.
const watchedConnKey contextKey = "watchedConn"

// watchedConn is the connection of a caller.
type watchedConn struct {
	watcher *DisconnectWatcher
	conn    net.Conn
	cancel  context.CancelFunc

	mu sync.Mutex
	// checked is when the connection was last checked by CallerLeft.
	checked time.Time
}

// CallerLeft reports whether ctx, a context of a DisconnectWatcher or derived from one,
// has been cancelled. If the process is late, it also checks the connection, and cancels the
// context if the caller has disconnected: the watcher may run too late, too. Otherwise a
// caller that has closed only its side of the connection may get a quick answer.
func CallerLeft(ctx context.Context, now time.Time) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return true
	}
	watched, ok := ctx.Value(watchedConnKey).(*watchedConn)
	if !ok || watched == nil || !watched.watcher.heartbeat.Late(now) {
		return false
	}
	watched.mu.Lock()
	defer watched.mu.Unlock()
	if now.Sub(watched.checked) < disconnectPollInterval {
		return false
	}
	watched.checked = now
	if !disconnected(watched.conn) {
		return false
	}
	watched.cancel()
	return true
}

// WithoutCaller returns a context that does not end with ctx, and whose caller is not
// looked after.
func WithoutCaller(ctx context.Context) context.Context {
	return context.WithValue(context.WithoutCancel(ctx), watchedConnKey, (*watchedConn)(nil))
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
