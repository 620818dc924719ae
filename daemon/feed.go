package daemon

import (
	"strings"
	"time"

	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/follow"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/platform"
)

// documentFeed sends the node the documents that are newer than those it has
// sent before.
type documentFeed struct {
	d *Daemon
	// seen holds the version of each key that was sent.
	seen map[string]follow.Version
}

func (feed *documentFeed) feed(f *follow.Follower) {
	for _, item := range f.Items() {
		if !strings.HasPrefix(item.Key, platform.DocumentsPrefix) || strings.HasPrefix(item.Key, platform.EvacuationsPrefix) ||
			!item.Version().After(feed.seen[item.Key]) {
			continue
		}
		feed.seen[item.Key] = item.Version()
		key, body, ok, err := platform.DecodeDocument(item)
		if !ok {
			feed.d.logFor("store").Warn("Ignored a store key that is not a document key.", "key", item.Key, "storeRevision", item.Revision)
			continue
		}
		read := node.DocumentRead{Key: key, Err: err}
		if err == nil {
			read.Document, read.Err = config.ParseKey("store:"+key, key, body)
		}
		feed.d.update(read)
	}
}

// upstreamFeed sends the node the whole list of upstreams after each change.
type upstreamFeed struct {
	d     *Daemon
	ports platform.Ports
	// decoded caches the decoded value of each key and its version.
	decoded map[string]decodedUpstream
}

type decodedUpstream struct {
	version follow.Version
	entry   membership.StoreEntry
	ok      bool
}

func (feed *upstreamFeed) feed(f *follow.Follower, now time.Time) {
	items := f.Items()
	list := make([]membership.StoreEntry, 0, len(items))
	for key := range feed.decoded {
		if _, present := items[key]; !present {
			delete(feed.decoded, key)
		}
	}
	for key, item := range items {
		if !strings.HasPrefix(key, platform.UpstreamsPrefix) {
			continue
		}
		decoded, known := feed.decoded[key]
		if !known || decoded.version != item.Version() {
			decoded = feed.decode(item, now)
			feed.decoded[key] = decoded
		}
		if decoded.ok {
			list = append(list, decoded.entry)
		}
	}
	feed.d.update(node.InstancesListed{List: list, Era: f.Version().Era, Revision: f.Revision()})
}

func (feed *upstreamFeed) decode(item follow.Item, now time.Time) decodedUpstream {
	entry, err := platform.DecodeUpstream(item, feed.ports, now)
	if err != nil {
		feed.d.logFor("store").Warn("Ignored a store entry that does not describe a usable upstream.", "storeRevision", item.Revision, "error", err)
	}
	// The store names no regions.
	entry.Region = feed.d.settings.regionOf(entry.AvailabilityZone)
	entry.Revision = item.Revision
	return decodedUpstream{version: item.Version(), entry: entry, ok: err == nil}
}

// logOddItem logs an item of the store that cannot be used.
func (d *Daemon) logOddItem(err error) {
	d.logFor("store").Warn("An item of the store cannot be used.", "error", err)
}
