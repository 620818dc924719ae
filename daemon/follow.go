package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/follow"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/platform"
)

// follows are the parts of the users' store that this daemon follows.
type follows struct {
	mu sync.Mutex
	// cancel ends the calls under way, by part.
	cancel map[string]context.CancelFunc
	asked  map[string]bool
}

func newFollows() *follows {
	return &follows{cancel: map[string]context.CancelFunc{}, asked: map[string]bool{}}
}

// begin notes a call under way.
func (f *follows) begin(part string, cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel[part] = cancel
}

// restart ends all calls under way, so that the next ones show what is true now.
func (f *follows) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for part, cancel := range f.cancel {
		f.asked[part] = true
		cancel()
	}
}

// takeAsked reports whether restart was called since the last time.
func (f *follows) takeAsked(part string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked := f.asked[part]
	f.asked[part] = false
	return asked
}

// followStore starts to follow the documents and the upstreams.
func (d *Daemon) followStore() {
	documents := &documentFeed{d: d, seen: map[string]uint64{}}
	d.loop(func() { d.followPart(platform.Documents, documents.feed) })
	upstreams := &upstreamFeed{d: d, ports: d.ports(), read: map[string]readUpstream{}}
	d.loop(func() { d.followPart(platform.Upstreams, upstreams.feed) })
}

// followPart follows one part of the store until the daemon stops.
func (d *Daemon) followPart(part string, feed func(f *follow.Follower, now time.Time)) {
	f := follow.New(follow.Config{Prefix: part, Rand: rand.Uint64})
	reread := false
	for d.ctx.Err() == nil {
		now := time.Now()
		if f.Expire(now) {
			feed(f, now)
		}
		action := f.Next(now)
		if action.Kind == follow.Wait {
			d.sleep(action.At.Sub(now))
			continue
		}
		if reread {
			action.For = 0
		}
		troubled := f.Troubled()
		changed, err := d.readPart(part, f, action)
		now = time.Now()
		if d.follows.takeAsked(part) {
			reread = true
			continue
		}
		d.noteStore(part, troubled, f, err)
		if err == nil && reread {
			reread = false
			d.update(node.StoreAnswered{})
		}
		if changed {
			feed(f, now)
		}
	}
}

// readPart makes one call and lets the follower take it in.
func (d *Daemon) readPart(part string, f *follow.Follower, action follow.Action) (changed bool, err error) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	d.follows.begin(part, cancel)
	if action.Kind == follow.List {
		page, err := d.store.List(ctx, part, action.After)
		if err != nil {
			d.readFailed(f, ctx)
			return false, err
		}
		return f.Listed(page, time.Now()), nil
	}
	changes, asOf, err := d.store.Watch(ctx, part, action.Revision, action.For)
	switch {
	case errors.Is(err, platform.ErrDropped):
		f.Dropped(time.Now())
		d.part("store").Info("The store has dropped its history, all is read again.", "part", part)
		return false, nil
	case err != nil:
		d.readFailed(f, ctx)
		return false, err
	}
	return f.Watched(changes, asOf, time.Now()), nil
}

// readFailed counts a failure, unless the call was ended here.
func (d *Daemon) readFailed(f *follow.Follower, ctx context.Context) {
	if ctx.Err() == nil {
		f.Failed(time.Now())
	}
}

// noteStore tells the log when the store is lost and when it is back.
func (d *Daemon) noteStore(part string, before bool, f *follow.Follower, err error) {
	switch after := f.Troubled(); {
	case after && !before:
		d.part("store").Warn("The store is lost.", "part", part, "revision", f.Revision(), "error", err)
	case before && !after:
		d.part("store").Info("The store is back.", "part", part, "revision", f.Revision())
	}
}

// sleep waits, but not beyond the end of the daemon.
func (d *Daemon) sleep(wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-d.ctx.Done():
	}
}

// documentFeed passes on the documents that are newer than those seen.
type documentFeed struct {
	d    *Daemon
	seen map[string]uint64
}

func (feed *documentFeed) feed(f *follow.Follower, _ time.Time) {
	for _, item := range f.Items() {
		if item.Revision <= feed.seen[item.Key] {
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
