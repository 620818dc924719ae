package daemon

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/follow"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/platform"
)

// storeCall tracks the call to the users' store in progress, or the wait before
// the next one, so that restart can end either.
type storeCall struct {
	mu               sync.Mutex
	cancel           context.CancelFunc
	restartRequested bool
	// interrupt ends a wait.
	interrupt chan struct{}
}

func newStoreCall() *storeCall { return &storeCall{interrupt: make(chan struct{}, 1)} }

// begin records the call in progress, and cancels it at once if a restart is
// pending.
func (c *storeCall) begin(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	if c.restartRequested {
		cancel()
	}
}

// restart ends the call in progress or the wait, so that the next call returns
// the current state.
func (c *storeCall) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restartRequested = true
	if c.cancel != nil {
		c.cancel()
	}
	select {
	case c.interrupt <- struct{}{}:
	default:
	}
}

// restartPending reports whether restart has been called since the last call of
// takeRestart.
func (c *storeCall) restartPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restartRequested
}

// takeRestart reports whether restart has been called since the last call of
// takeRestart.
func (c *storeCall) takeRestart() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	requested := c.restartRequested
	c.restartRequested = false
	return requested
}

// followStore follows the documents and the upstreams until the daemon stops.
// A single watch covers both, because the store counts calls.
func (d *Daemon) followStore() {
	reread := false
	for d.ctx.Err() == nil {
		now := time.Now()
		if d.storeCall.takeRestart() {
			reread = true
			d.storeCopy.skipWait()
			d.storeCopy.requestRead()
		}
		d.chooseReaders(now)
		d.storeCopy.apply(func(f *follow.Follower) bool { return f.Expire(now) })
		action, failing := d.storeCopy.next(now)
		if action.Kind == follow.Wait {
			d.storeCall.wait(d.ctx, action.At.Sub(now))
			continue
		}
		if action.Kind == follow.Watch {
			action.Timeout = min(action.Timeout, follow.WatchTimeout(d.otherDaemons()+1))
		}
		d.logSource(action)
		err := d.readStore(action)
		if errors.Is(err, context.Canceled) {
			// The daemon cancelled the call itself; the store has not failed.
			continue
		}
		d.logStoreState(failing, err)
		if err == nil && reread && !d.storeCall.restartPending() {
			reread = false
			d.update(node.StoreAnswered{})
		}
	}
}

// observeVersion records the version of the store that another daemon holds. If the
// watch in progress has lagged behind it for too long, the watch is restarted:
// the store may never answer it.
func (d *Daemon) observeVersion(theirs follow.Version, from string) {
	if !theirs.After(d.storeCopy.version()) {
		return
	}
	// In direct mode the ID of a daemon is its peer address.
	d.lending.aheadPeer.Store(&from)
	if !d.storeCopy.observe(theirs, time.Now()) {
		return
	}
	held := d.storeCopy.version()
	d.logFor("store").Warn("Another daemon holds a later revision of the store. The watch is restarted.", "from", from,
		"theirs", theirs.Revision, "revision", held.Revision, "theirEra", theirs.Era, "era", held.Era)
	d.storeCall.restart()
}

// readStore makes one call to the store and applies its result to the copy.
func (d *Daemon) readStore(action follow.Action) error {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	d.storeCall.begin(cancel)
	if action.Kind == follow.List {
		page, err := d.store.List(ctx, platform.AllKeys, action.After)
		if err != nil {
			d.readFailed(ctx)
			return err
		}
		page.Received = d.heartbeat.ReceivedBy(time.Now())
		d.storeCopy.applyAnswer(func(f *follow.Follower, now time.Time) bool { return f.Listed(page, now) })
		return nil
	}
	if action.Kind == follow.Poll {
		return d.pollReader(ctx, action)
	}
	page, err := d.store.Watch(ctx, platform.AllKeys, action.Revision, action.Timeout)
	switch {
	case errors.Is(err, platform.ErrCompacted):
		d.storeCopy.applyAnswer(func(f *follow.Follower, now time.Time) bool {
			f.HistoryLost(now)
			return false
		})
		d.logFor("store").Info("The store has dropped its history. All keys are listed again.", "revision", d.storeCopy.version().Revision)
		return nil
	case err != nil:
		d.readFailed(ctx)
		return err
	}
	page.Received = d.heartbeat.ReceivedBy(time.Now())
	d.storeCopy.applyAnswer(func(f *follow.Follower, now time.Time) bool { return f.Watched(page, now) })
	return nil
}

// readFailed counts a failed call, unless the daemon cancelled it itself.
func (d *Daemon) readFailed(ctx context.Context) {
	if ctx.Err() == nil {
		d.storeCopy.applyAnswer(func(f *follow.Follower, now time.Time) bool {
			f.Failed(now)
			return false
		})
	}
}

// logStoreState logs when reading the store begins to fail and when it works
// again.
func (d *Daemon) logStoreState(wasFailing bool, err error) {
	switch isFailing := d.storeCopy.failing(); {
	case isFailing && !wasFailing:
		d.logFor("store").Warn("The store is unavailable.", "revision", d.storeCopy.version().Revision, "error", err)
	case wasFailing && !isFailing:
		d.logFor("store").Info("The store is available again.", "revision", d.storeCopy.version().Revision, "retained", d.storeCopy.retained())
	}
}

// wait waits until the next call is due, restart is called or ctx ends.
func (c *storeCall) wait(ctx context.Context, delay time.Duration) {
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.interrupt:
	case <-ctx.Done():
	}
}

// ports returns the ports of this daemon. All daemons use the same ports.
func (d *Daemon) ports() platform.Ports {
	port := func(address string) uint16 {
		// Settings.Check has accepted the address.
		a, _ := netip.ParseAddrPort(address)
		return a.Port()
	}
	return platform.Ports{Listen: port(d.settings.Listen), Peer: port(d.settings.Peer), Control: port(d.settings.Control)}
}

// serveReady answers 200 if the daemon accepts callers, else 503.
func (d *Daemon) serveReady(ctx *fasthttp.RequestCtx) {
	d.mu.Lock()
	ready := d.node.Ready()
	d.mu.Unlock()
	if !ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}
