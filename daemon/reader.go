package daemon

import (
	"time"

	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/platform"
)

const (
	platformWait  = time.Second
	platformPause = 500 * time.Millisecond
)

// readPlatform keeps reading the platform's index and list.
func (d *Daemon) readPlatform() {
	d.loop(d.readIndex)
	var after uint64
	for d.ctx.Err() == nil {
		list, err := d.platform.Instances(d.ctx, after, platformWait)
		if err != nil {
			d.pause(platformPause)
			continue
		}
		after = list.Version
		d.update(node.InstancesRead{Entries: entries(list.Instances), Version: list.Version})
	}
}

func (d *Daemon) readIndex() {
	var after uint64
	for d.ctx.Err() == nil {
		index, err := d.platform.Index(d.ctx, after, platformWait)
		if err != nil {
			d.pause(platformPause)
			continue
		}
		after = index.Version
		for _, k := range index.Keys {
			if body, _, err := d.platform.Value(d.ctx, k.Key); err == nil {
				d.update(node.DocumentRead{Key: k.Key, Body: body})
			}
		}
	}
}

// pause waits, but not longer than the daemon runs.
func (d *Daemon) pause(wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-d.ctx.Done():
	}
}

// entries puts the platform's words into membership's.
func entries(list []platform.Entry) []membership.ListEntry {
	out := make([]membership.ListEntry, 0, len(list))
	for _, e := range list {
		out = append(out, membership.ListEntry{
			Instance: membership.Instance{
				ID: e.ID, Service: e.Service, AvailabilityZone: e.AvailabilityZone,
				Region: e.Region, Listen: e.Listen, Peer: e.Peer, Control: e.Control,
			},
			State: membership.State(e.State),
		})
	}
	return out
}
