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

// following is the call to the users' store that is under way, or the wait for the
// next one.
type following struct {
	mu     sync.Mutex
	cancel context.CancelFunc
	asked  bool
	// hurry ends a wait.
	hurry chan struct{}
}

func newFollowing() *following { return &following{hurry: make(chan struct{}, 1)} }

// begin notes a call under way. One that restart has overtaken ends at once.
func (f *following) begin(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = cancel
	if f.asked {
		cancel()
	}
}

// restart ends the call under way, or the wait, so that the next call shows what
// is true now.
func (f *following) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = true
	if f.cancel != nil {
		f.cancel()
	}
	select {
	case f.hurry <- struct{}{}:
	default:
	}
}

// pending reports whether restart was called since takeAsked.
func (f *following) pending() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asked
}

// takeAsked reports whether restart was called since the last time.
func (f *following) takeAsked() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked := f.asked
	f.asked = false
	return asked
}

// followStore follows the documents and the upstreams until the daemon stops.
// One watch covers both: the store counts calls.
func (d *Daemon) followStore() {
	reread := false
	for d.ctx.Err() == nil {
		now := time.Now()
		if d.following.takeAsked() {
			reread = true
			d.held.hurry()
		}
		d.held.take(func(f *follow.Follower) bool { return f.Expire(now) })
		action, troubled := d.held.next(now)
		if action.Kind == follow.Wait {
			d.following.wait(d.ctx, action.At.Sub(now))
			continue
		}
		action.For = min(action.For, follow.WatchFor(d.others()+1))
		if reread {
			action.For = 0
		}
		err := d.readStore(action)
		if errors.Is(err, context.Canceled) {
			// A call that was ended here shows nothing of the store.
			continue
		}
		d.noteStore(troubled, err)
		if err == nil && reread && !d.following.pending() {
			reread = false
			d.update(node.StoreAnswered{})
		}
	}
}

// hear takes in the store's revision that another daemon holds. If the watch under
// way has shown nothing of it, it is given up: the store may never answer it.
func (d *Daemon) hear(revision uint64, from string) {
	if revision <= d.held.known.Load() {
		return
	}
	// On the platform a daemon is named by where it takes requests of others.
	d.lending.ahead.Store(&from)
	if !d.held.heard(revision, time.Now()) {
		return
	}
	d.part("store").Warn("Others know later changes of the store. The watch is given up.", "from", from,
		"theirs", revision, "revision", d.held.known.Load())
	d.following.restart()
}

// readStore makes one call and lets the follower take it in.
func (d *Daemon) readStore(action follow.Action) error {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	d.following.begin(cancel)
	if action.Kind == follow.List {
		page, err := d.store.List(ctx, platform.Everything, action.After)
		if err != nil {
			d.readFailed(ctx)
			return err
		}
		d.held.answered(func(f *follow.Follower, now time.Time) bool { return f.Listed(page, now) })
		return nil
	}
	changes, asOf, err := d.store.Watch(ctx, platform.Everything, action.Revision, action.For)
	switch {
	case errors.Is(err, platform.ErrDropped):
		d.held.answered(func(f *follow.Follower, now time.Time) bool {
			f.Dropped(now)
			return false
		})
		d.part("store").Info("The store has dropped its history, all is read again.", "revision", d.held.known.Load())
		return nil
	case err != nil:
		d.readFailed(ctx)
		return err
	}
	d.held.answered(func(f *follow.Follower, now time.Time) bool { return f.Watched(changes, asOf, now) })
	return nil
}

// readFailed counts a failure, unless the call was ended here.
func (d *Daemon) readFailed(ctx context.Context) {
	if ctx.Err() == nil {
		d.held.take(func(f *follow.Follower) bool {
			f.Failed(time.Now())
			return false
		})
	}
}

// noteStore tells the log when the store is lost and when it is back.
func (d *Daemon) noteStore(before bool, err error) {
	switch after := d.held.troubled(); {
	case after && !before:
		d.part("store").Warn("The store is lost.", "revision", d.held.known.Load(), "error", err)
	case before && !after:
		d.part("store").Info("The store is back.", "revision", d.held.known.Load())
	}
}

// wait waits until the next call is due, or restart asks for it, but not beyond the
// end of the daemon.
func (f *following) wait(ctx context.Context, due time.Duration) {
	t := time.NewTimer(due)
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.hurry:
	case <-ctx.Done():
	}
}

// ports returns the ports of this daemon, which are those of all others.
func (d *Daemon) ports() platform.Ports {
	port := func(address string) uint16 {
		// Settings.Check has accepted the address.
		a, _ := netip.ParseAddrPort(address)
		return a.Port()
	}
	return platform.Ports{Listen: port(d.settings.Listen), Peer: port(d.settings.Peer), Control: port(d.settings.Control)}
}

// serveReady tells whether this daemon takes callers.
func (d *Daemon) serveReady(ctx *fasthttp.RequestCtx) {
	d.mu.Lock()
	ready := d.node.Ready()
	d.mu.Unlock()
	if !ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}
