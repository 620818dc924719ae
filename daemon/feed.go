package daemon

import (
	"strings"
	"time"

	"pomelodoor.example/pomelodoor/follow"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/platform"
)

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
