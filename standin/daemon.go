package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

// ErrNotReady is returned for a daemon that exited or was not ready in time.
var ErrNotReady = errors.New("daemon not ready")

// readyPollInterval is the interval between readiness checks of a starting
// daemon.
const readyPollInterval = 50 * time.Millisecond

// maxDaemonLogBytes limits how much of a daemon's log is kept.
const maxDaemonLogBytes = 256 << 10

// DaemonConfig describes a pomelodoor daemon to start.
type DaemonConfig struct {
	// Path is the path of the daemon binary.
	Path string
	// Instance identifies the daemon. Empty addresses are replaced by free
	// ones.
	Instance Instance
	Admin    string
	Upstream string
	// Platforms are the addresses of the platform service.
	Platforms []string
	LogLevel  string
}

// Daemon is a running pomelodoor daemon.
type Daemon struct {
	*Process
	cfg DaemonConfig
	log *tailBuffer
}

// StartDaemon starts a daemon process without waiting until it is ready.
func StartDaemon(cfg DaemonConfig) (*Daemon, error) {
	if err := cfg.fillAddresses(); err != nil {
		return nil, fmt.Errorf("start daemon: %w", err)
	}
	log := &tailBuffer{maxBytes: maxDaemonLogBytes}
	p, err := StartProcess(ProcessConfig{
		Name: cfg.Instance.ID, Path: cfg.Path, Args: cfg.args(), Stdout: log, Stderr: log,
	})
	if err != nil {
		return nil, err
	}
	return &Daemon{Process: p, cfg: cfg, log: log}, nil
}

// fillAddresses sets empty addresses to free ones.
func (c *DaemonConfig) fillAddresses() error {
	addrs, err := FreeAddrs(4)
	if err != nil {
		return err
	}
	for i, addr := range []*string{&c.Instance.Listen, &c.Instance.Peer, &c.Instance.Control, &c.Admin} {
		if *addr == "" {
			*addr = addrs[i]
		}
	}
	return nil
}

// args returns the command line arguments of the daemon.
func (c *DaemonConfig) args() []string {
	in := c.Instance
	args := []string{
		"run", "--instance", in.ID, "--service", in.Service,
		"--availability-zone", in.AvailabilityZone, "--region", in.Region,
		"--listen", in.Listen, "--peer", in.Peer, "--control", in.Control,
		"--admin", c.Admin, "--upstream", c.Upstream,
	}
	for _, p := range c.Platforms {
		args = append(args, "--platform", p)
	}
	if c.LogLevel != "" {
		args = append(args, "--log-level", c.LogLevel)
	}
	return args
}

// Config returns the configuration, including the chosen addresses.
func (d *Daemon) Config() DaemonConfig { return d.cfg }

// Log returns the tail of the daemon's output.
func (d *Daemon) Log() string { return d.log.String() }

// Ready reports whether the daemon's status is ready.
func (d *Daemon) Ready() bool {
	status, err := fetch(d.cfg.Admin, "/status", time.Second)
	if err != nil {
		return false
	}
	var response struct {
		Ready bool `json:"ready"`
	}
	return json.Unmarshal(status, &response) == nil && response.Ready
}

// WaitReady waits until the daemon is ready.
func (d *Daemon) WaitReady(ctx context.Context) error {
	for !d.Ready() {
		select {
		case <-d.Done():
			return fmt.Errorf("wait for %s: process ended with %s: %w\n%s", d.Name(), d.ExitStatus(), ErrNotReady, d.Log())
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w\n%s", d.Name(), ErrNotReady, d.Log())
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// tailBuffer keeps the most recent bytes written to it.
type tailBuffer struct {
	mu       sync.Mutex
	maxBytes int
	buf      bytes.Buffer
}

// Write appends p and discards the oldest bytes beyond maxBytes.
func (b *tailBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if excess := b.buf.Len() + len(p) - b.maxBytes; excess > 0 {
		b.buf.Next(excess)
	}
	return b.buf.Write(p)
}

// String returns the buffered bytes.
func (b *tailBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
