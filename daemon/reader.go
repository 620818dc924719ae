package daemon

import (
	"context"
	"fmt"

	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/spread"
)

// readPlatform reads from the platform once and sends the result to the node.
func (d *Daemon) readPlatform(read spread.Read) {
	message, err := d.readOnce(d.ctx, read)
	if err != nil {
		d.logFor("registry").Debug("Reading from the platform failed.", "kind", read.Kind, "error", err)
		message = node.ReadFailed{Read: read}
	}
	d.update(message)
}

func (d *Daemon) readOnce(ctx context.Context, read spread.Read) (node.Message, error) {
	switch read.Kind {
	case spread.ReadIndex:
		index, err := d.registry.Index(ctx, read.After, read.Wait)
		if err != nil {
			return nil, fmt.Errorf("watch the platform's index: %w", err)
		}
		return node.IndexRead{Version: index.Version, Keys: index.Keys}, nil
	case spread.ReadInstances:
		list, err := d.registry.Instances(ctx, read.After, read.Wait)
		if err != nil {
			return nil, fmt.Errorf("watch the platform's instances: %w", err)
		}
		return node.InstancesRead{Entries: list.Instances, Version: list.Version}, nil
	}
	body, version, err := d.registry.Value(ctx, read.Key)
	if err != nil {
		return nil, fmt.Errorf("read a document from the platform: %w", err)
	}
	return node.ValueRead{Key: read.Key, Version: version, Body: body}, nil
}
