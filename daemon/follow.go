package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/follow"
	"pomelodoor.example/pomelodoor/membership"
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
	documents := &documentFeed{d: d, seen: map[string]uint64{}}
	upstreams := &upstreamFeed{d: d, ports: d.ports(), read: map[string]readUpstream{}}
	feed := func(f *follow.Follower, now time.Time) {
		documents.feed(f)
		upstreams.feed(f, now)
	}
	f := follow.New(follow.Config{Rand: rand.Uint64, Gather: d.settings.gather()})
	reread := false
	for d.ctx.Err() == nil {
		now := time.Now()
		if d.following.takeAsked() {
			reread = true
			f.Hurry()
		}
		if f.Expire(now) {
			feed(f, now)
		}
		action := f.Next(now)
		if action.Kind == follow.Wait {
			d.following.wait(d.ctx, action.At.Sub(now))
			continue
		}
		if reread {
			action.For = 0
		}
		troubled := f.Troubled()
		changed, err := d.readStore(f, action)
		if changed {
			feed(f, time.Now())
		}
		if errors.Is(err, context.Canceled) {
			// A call that was ended here shows nothing of the store.
			continue
		}
		d.noteStore(troubled, f, err)
		if err == nil && reread && !d.following.pending() {
			reread = false
			d.update(node.StoreAnswered{})
		}
	}
}

// readStore makes one call and lets the follower take it in.
func (d *Daemon) readStore(f *follow.Follower, action follow.Action) (changed bool, err error) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	d.following.begin(cancel)
	if action.Kind == follow.List {
		page, err := d.store.List(ctx, platform.Everything, action.After)
		if err != nil {
			d.readFailed(ctx, f)
			return false, err
		}
		return f.Listed(page, time.Now()), nil
	}
	changes, asOf, err := d.store.Watch(ctx, platform.Everything, action.Revision, action.For)
	switch {
	case errors.Is(err, platform.ErrDropped):
		f.Dropped(time.Now())
		d.part("store").Info("The store has dropped its history, all is read again.", "revision", f.Revision())
		return false, nil
	case err != nil:
		d.readFailed(ctx, f)
		return false, err
	}
	return f.Watched(changes, asOf, time.Now()), nil
}

// readFailed counts a failure, unless the call was ended here.
func (d *Daemon) readFailed(ctx context.Context, f *follow.Follower) {
	if ctx.Err() == nil {
		f.Failed(time.Now())
	}
}

// noteStore tells the log when the store is lost and when it is back.
func (d *Daemon) noteStore(before bool, f *follow.Follower, err error) {
	switch after := f.Troubled(); {
	case after && !before:
		d.part("store").Warn("The store is lost.", "revision", f.Revision(), "error", err)
	case before && !after:
		d.part("store").Info("The store is back.", "revision", f.Revision())
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

// documentFeed passes on the documents that are newer than those seen.
type documentFeed struct {
	d    *Daemon
	seen map[string]uint64
}

func (feed *documentFeed) feed(f *follow.Follower) {
	for _, item := range f.Items() {
		if !strings.HasPrefix(item.Key, platform.Documents) || item.Revision <= feed.seen[item.Key] {
			continue
		}
		feed.seen[item.Key] = item.Revision
		key, body, ok, err := platform.ReadDocument(item)
		if !ok {
			feed.d.part("store").Warn("A key holds no document.", "key", item.Key, "storeRevision", item.Revision)
			continue
		}
		feed.d.update(node.DocumentRead{Key: key, Body: body, Err: err})
	}
	feed.d.update(node.DocumentsComplete{})
}

// upstreamFeed passes on the whole list after each change.
type upstreamFeed struct {
	d     *Daemon
	ports platform.Ports
	// read holds what each key was decoded into, as of its revision.
	read map[string]readUpstream
}

type readUpstream struct {
	revision uint64
	listing  membership.Listing
	ok       bool
}

func (feed *upstreamFeed) feed(f *follow.Follower, now time.Time) {
	items := f.Items()
	list := make([]membership.Listing, 0, len(items))
	for key := range feed.read {
		if _, there := items[key]; !there {
			delete(feed.read, key)
		}
	}
	for key, item := range items {
		if !strings.HasPrefix(key, platform.Upstreams) {
			continue
		}
		r, known := feed.read[key]
		if !known || r.revision != item.Revision {
			r = feed.decode(item, now)
			feed.read[key] = r
		}
		if r.ok {
			list = append(list, r.listing)
		}
	}
	feed.d.update(node.InstancesListed{List: list, Revision: f.Revision()})
}

func (feed *upstreamFeed) decode(item follow.Item, now time.Time) readUpstream {
	listing, err := platform.ReadUpstream(item, feed.ports, now)
	if err != nil {
		feed.d.part("store").Warn("An entry names no usable upstream.", "storeRevision", item.Revision, "error", err)
	}
	return readUpstream{revision: item.Revision, listing: listing, ok: err == nil}
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
