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

// ErrNotReady is returned for a daemon that ended or was not ready in time.
var ErrNotReady = errors.New("daemon not ready")

// readyPoll is how often a starting daemon is asked whether it is ready.
const readyPoll = 50 * time.Millisecond

// maxDaemonLog bounds what is kept of a daemon's log.
const maxDaemonLog = 256 << 10

// DaemonConfig describes a pomelodoor daemon to start.
type DaemonConfig struct {
	// Path is the built program.
	Path string
	// Instance names the daemon. Empty addresses are given free ports.
	Instance Instance
	Admin    string
	Upstream string
	// Platforms are the addresses of the platform's service.
	Platforms []string
	LogLevel  string
}

// Daemon is a running pomelodoor daemon.
type Daemon struct {
	*Process
	cfg DaemonConfig
	log *tailBuffer
}

// StartDaemon starts a daemon as a process and does not wait until it is
// ready.
func StartDaemon(cfg DaemonConfig) (*Daemon, error) {
	if err := cfg.fillAddresses(); err != nil {
		return nil, fmt.Errorf("start daemon: %w", err)
	}
	log := &tailBuffer{max: maxDaemonLog}
	p, err := StartProcess(ProcessConfig{
		Name: cfg.Instance.ID, Path: cfg.Path, Args: cfg.args(), Stdout: log, Stderr: log,
	})
	if err != nil {
		return nil, err
	}
	return &Daemon{Process: p, cfg: cfg, log: log}, nil
}

// fillAddresses chooses free ports for the addresses left out.
func (c *DaemonConfig) fillAddresses() error {
	free, err := FreeAddrs(4)
	if err != nil {
		return err
	}
	for i, addr := range []*string{&c.Instance.Listen, &c.Instance.Peer, &c.Instance.Control, &c.Admin} {
		if *addr == "" {
			*addr = free[i]
		}
	}
	return nil
}

// args returns the daemon's command line.
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

// Config returns the configuration with the addresses that were chosen.
func (d *Daemon) Config() DaemonConfig { return d.cfg }

// Log returns the last part of what the daemon wrote.
func (d *Daemon) Log() string { return d.log.String() }

// Ready reports whether the daemon says that it is ready.
func (d *Daemon) Ready() bool {
	status, err := fetch(d.cfg.Admin, "/status", time.Second)
	if err != nil {
		return false
	}
	var answer struct {
		Ready bool `json:"ready"`
	}
	return json.Unmarshal(status, &answer) == nil && answer.Ready
}

// WaitReady waits until the daemon is ready.
func (d *Daemon) WaitReady(ctx context.Context) error {
	for !d.Ready() {
		select {
		case <-d.Done():
			return fmt.Errorf("%s ended with %s: %w\n%s", d.Name(), d.Ending(), ErrNotReady, d.Log())
		case <-ctx.Done():
			return fmt.Errorf("%s: %w\n%s", d.Name(), ErrNotReady, d.Log())
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// tailBuffer keeps the last bytes written to it.
type tailBuffer struct {
	mu  sync.Mutex
	max int
	buf bytes.Buffer
}

// Write appends p and drops the oldest bytes beyond the bound.
func (b *tailBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if over := b.buf.Len() + len(p) - b.max; over > 0 {
		b.buf.Next(over)
	}
	return b.buf.Write(p)
}

// String returns what is kept.
func (b *tailBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
