package daemon

import (
	"slices"
	"strings"

	"pomelodoor.example/pomelodoor/follow"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/platform"
)

// evacuationFeed sends the node the complete list of the zones that the store evacuates when
// it has changed.
type evacuationFeed struct {
	d    *Daemon
	sent []string
	// reported holds the versions of the invalid keys that have been logged.
	reported map[string]follow.Version
}

func (feed *evacuationFeed) feed(f *follow.Follower) {
	var zones []string
	for key, item := range f.Items() {
		if !strings.HasPrefix(key, platform.EvacuationsPrefix) {
			continue
		}
		zone, err := platform.DecodeEvacuation(item)
		if err != nil {
			feed.report(item, err)
			continue
		}
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	if slices.Equal(zones, feed.sent) {
		return
	}
	feed.sent = zones
	feed.d.update(node.ZonesEvacuated{Zones: zones, Revision: f.Revision()})
}

func (feed *evacuationFeed) report(item follow.Item, err error) {
	if !item.Version().After(feed.reported[item.Key]) {
		return
	}
	feed.reported[item.Key] = item.Version()
	feed.d.logFor("store").Warn("Ignored a store key that names no availability zone to evacuate.", "storeRevision", item.Revision, "error", err)
}

// evacuated reports whether the zone of the local upstream is evacuated. It is asked again
// before a request is sent, as its body may arrive long after the decision to run it.
func (d *Daemon) evacuated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Evacuated()
}

// evacuationReport is the state of evacuations in the metrics.
func (d *Daemon) evacuationReport() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]any{
		"zones": slices.Clone(d.node.EvacuatedZones()), "own": d.node.Evacuated(), "refused": d.metrics.evacuated.Value(),
	}
}
