package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ErrNoAddress is returned for a stand-in that did not announce its address.
var ErrNoAddress = errors.New("stand-in announced no address")

// startTimeout limits how long a stand-in may take to announce its address.
const startTimeout = 10 * time.Second

// Announcement is the first line that a stand-in process writes to standard
// output, as JSON.
type Announcement struct {
	Listen string `json:"listen"`
	Admin  string `json:"admin,omitempty"`
}

// FleetConfig describes a fleet of local processes.
type FleetConfig struct {
	// Standin and Daemon are the paths of the binaries. If Daemon is empty, the
	// workers are started without daemons.
	Standin, Daemon string
	Services        []FleetService
	// Documents are published under their keys before any daemon starts.
	Documents map[string][]byte
	LogLevel  string
}

// FleetService is a service with a number of workers, each with its own daemon,
// spread across the availability zones a, b and c.
type FleetService struct {
	Name    string
	Workers int
}

// Member is a worker and its daemon.
type Member struct {
	Instance   Instance
	WorkerAddr string
	Worker     RemoteWorker
	// Daemon is nil if the fleet has no daemons.
	Daemon *Daemon
}

// Fleet is a set of processes: a platform, workers and daemons.
type Fleet struct {
	cfg      FleetConfig
	Platform RemotePlatform
	Members  []*Member

	mu        sync.Mutex
	closed    bool
	processes []*Process
}

// StartFleet starts a fleet and waits until its daemons are ready. On error it
// kills all processes that it started.
func StartFleet(ctx context.Context, cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{cfg: cfg}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	announced, err := f.startStandin(ctx, "platform", "platform")
	if err != nil {
		return err
	}
	f.Platform = RemotePlatform{Addr: announced.Listen}
	for key, body := range f.cfg.Documents {
		if err := f.Platform.Publish(key, body); err != nil {
			return err
		}
	}
	for _, s := range f.cfg.Services {
		for i := range s.Workers {
			if err := f.startMember(ctx, s.Name, i); err != nil {
				return err
			}
		}
	}
	return f.waitReady(ctx)
}

// startMember starts a worker and its daemon and registers the instance with the
// platform.
func (f *Fleet) startMember(ctx context.Context, service string, i int) error {
	id := service + "-" + strconv.Itoa(i+1)
	announced, err := f.startStandin(ctx, "worker "+id, "worker", "--id", id, "--seed", strconv.Itoa(i+1))
	if err != nil {
		return err
	}
	m := &Member{WorkerAddr: announced.Listen, Worker: RemoteWorker{Admin: announced.Admin}}
	m.Instance = Instance{
		ID: id, Service: service, AvailabilityZone: string(rune('a' + i%3)), Region: "north", State: "live",
	}
	f.Members = append(f.Members, m)
	if f.cfg.Daemon == "" {
		return nil
	}
	m.Daemon, err = StartDaemon(DaemonConfig{
		Path: f.cfg.Daemon, Instance: m.Instance, Upstream: announced.Listen,
		Platforms: []string{f.Platform.Addr}, LogLevel: f.cfg.LogLevel,
	})
	if err != nil {
		return err
	}
	if err := f.track(m.Daemon.Process); err != nil {
		return err
	}
	m.Instance = m.Daemon.Config().Instance
	return f.Platform.SetInstance(m.Instance)
}

// startStandin starts a stand-in process and waits for its announcement.
func (f *Fleet) startStandin(ctx context.Context, name string, args ...string) (Announcement, error) {
	var announced Announcement
	out := &firstLine{line: make(chan string, 1)}
	p, err := StartProcess(ProcessConfig{Name: name, Path: f.cfg.Standin, Args: args, Stdout: out, Stderr: io.Discard})
	if err != nil {
		return announced, err
	}
	if err := f.track(p); err != nil {
		return announced, err
	}
	t := time.NewTimer(startTimeout)
	defer t.Stop()
	select {
	case line := <-out.line:
		if err := json.Unmarshal([]byte(line), &announced); err != nil {
			return announced, fmt.Errorf("start %s: parse announcement %q: %w", name, line, err)
		}
		return announced, nil
	case <-p.Done():
		return announced, fmt.Errorf("start %s: process ended with %s: %w", name, p.ExitStatus(), ErrNoAddress)
	case <-t.C:
		return announced, fmt.Errorf("start %s: %w", name, ErrNoAddress)
	case <-ctx.Done():
		return announced, ctx.Err()
	}
}

// track adds a process to those that Close kills. If the fleet is already
// closed, it kills the process at once.
func (f *Fleet) track(p *Process) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		p.Kill()
		return context.Canceled
	}
	f.processes = append(f.processes, p)
	return nil
}

// waitReady waits until every daemon is ready.
func (f *Fleet) waitReady(ctx context.Context) error {
	for _, m := range f.Members {
		if m.Daemon == nil {
			continue
		}
		if err := m.Daemon.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Targets returns the addresses for callers of a service: its daemons, or its
// workers if the fleet has no daemons.
func (f *Fleet) Targets(service string) []string {
	var out []string
	for _, m := range f.Service(service) {
		if m.Daemon == nil {
			out = append(out, m.WorkerAddr)
		} else {
			out = append(out, m.Instance.Listen)
		}
	}
	return out
}

// Service returns the members of a service.
func (f *Fleet) Service(name string) []*Member {
	var out []*Member
	for _, m := range f.Members {
		if m.Instance.Service == name {
			out = append(out, m)
		}
	}
	return out
}

// Executions returns the executions of all workers.
func (f *Fleet) Executions() ([]Execution, error) {
	var out []Execution
	for _, m := range f.Members {
		got, err := m.Worker.Executions()
		if err != nil {
			return nil, fmt.Errorf("get executions of %s: %w", m.Instance.ID, err)
		}
		if got.Dropped > 0 {
			return nil, fmt.Errorf("get executions of %s: %d executions were not recorded", m.Instance.ID, got.Dropped)
		}
		out = append(out, got.Executions...)
	}
	return out, nil
}

// Shutdown stops all daemons concurrently, each with the given timeout, and
// returns their errors.
func (f *Fleet) Shutdown(timeout time.Duration) error {
	errs := make(chan error, len(f.Members))
	for _, m := range f.Members {
		if m.Daemon == nil {
			errs <- nil
			continue
		}
		go func() { errs <- m.Daemon.Stop(timeout) }()
	}
	var all []error
	for range f.Members {
		all = append(all, <-errs)
	}
	return errors.Join(all...)
}

// Close kills all processes of the fleet that are still running. It may be
// called more than once.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, p := range f.processes {
		p.Kill()
	}
}

// firstLine is a writer that sends the first line written to it to a channel and
// discards the rest.
type firstLine struct {
	line chan string
	buf  strings.Builder
	done bool
}

// Write buffers p until the first line is complete.
func (w *firstLine) Write(p []byte) (int, error) {
	if !w.done {
		w.buf.Write(p)
		if line, _, found := strings.Cut(w.buf.String(), "\n"); found {
			w.line <- line
			w.done = true
		}
	}
	return len(p), nil
}
