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

// ErrNoAddress is returned for a stand-in that did not tell its address.
var ErrNoAddress = errors.New("stand-in told no address")

// startTime bounds how long a stand-in may take to tell its address.
const startTime = 10 * time.Second

// Announcement is the first line that a stand-in in its own process writes.
type Announcement struct {
	Listen string `json:"listen"`
	Admin  string `json:"admin,omitempty"`
}

// FleetConfig describes a fleet of processes on this machine.
type FleetConfig struct {
	// Standin and Daemon are the built programs. An empty Daemon starts the
	// workers alone.
	Standin, Daemon string
	Services        []FleetService
	// Documents are published by key before any daemon starts.
	Documents map[string][]byte
	LogLevel  string
}

// FleetService is a service with a number of workers, each with its daemon,
// spread over the availability zones a, b and c.
type FleetService struct {
	Name    string
	Workers int
}

// Member is one worker and its daemon.
type Member struct {
	Instance   Instance
	WorkerAddr string
	Worker     RemoteWorker
	// Daemon is nil in a fleet without daemons.
	Daemon *Daemon
}

// Fleet is a platform, workers and daemons as processes.
type Fleet struct {
	cfg      FleetConfig
	Platform RemotePlatform
	Members  []*Member

	mu        sync.Mutex
	closed    bool
	processes []*Process
}

// StartFleet starts a fleet and waits until its daemons are ready. On an error
// nothing is left running.
func StartFleet(ctx context.Context, cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{cfg: cfg}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	told, err := f.standin(ctx, "platform", "platform")
	if err != nil {
		return err
	}
	f.Platform = RemotePlatform{Addr: told.Listen}
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

// startMember starts one worker and its daemon, and lists it.
func (f *Fleet) startMember(ctx context.Context, service string, i int) error {
	id := service + "-" + strconv.Itoa(i+1)
	told, err := f.standin(ctx, "worker "+id, "worker", "--id", id, "--seed", strconv.Itoa(i+1))
	if err != nil {
		return err
	}
	m := &Member{WorkerAddr: told.Listen, Worker: RemoteWorker{Admin: told.Admin}}
	m.Instance = Instance{
		ID: id, Service: service, AvailabilityZone: string(rune('a' + i%3)), Region: "north", State: "live",
	}
	f.Members = append(f.Members, m)
	if f.cfg.Daemon == "" {
		return nil
	}
	m.Daemon, err = StartDaemon(DaemonConfig{
		Path: f.cfg.Daemon, Instance: m.Instance, Upstream: told.Listen,
		Platforms: []string{f.Platform.Addr}, LogLevel: f.cfg.LogLevel,
	})
	if err != nil {
		return err
	}
	if err := f.keep(m.Daemon.Process); err != nil {
		return err
	}
	m.Instance = m.Daemon.Config().Instance
	return f.Platform.SetInstance(m.Instance)
}

// standin starts a stand-in as a process and waits for its address.
func (f *Fleet) standin(ctx context.Context, name string, args ...string) (Announcement, error) {
	var told Announcement
	out := &firstLine{line: make(chan string, 1)}
	p, err := StartProcess(ProcessConfig{Name: name, Path: f.cfg.Standin, Args: args, Stdout: out, Stderr: io.Discard})
	if err != nil {
		return told, err
	}
	if err := f.keep(p); err != nil {
		return told, err
	}
	t := time.NewTimer(startTime)
	defer t.Stop()
	select {
	case line := <-out.line:
		if err := json.Unmarshal([]byte(line), &told); err != nil {
			return told, fmt.Errorf("%s wrote %q: %w", name, line, err)
		}
		return told, nil
	case <-p.Done():
		return told, fmt.Errorf("%s ended with %s: %w", name, p.Ending(), ErrNoAddress)
	case <-t.C:
		return told, fmt.Errorf("%s: %w", name, ErrNoAddress)
	case <-ctx.Done():
		return told, ctx.Err()
	}
}

// keep notes a process to be ended with the fleet. A fleet that was closed
// meanwhile kills it.
func (f *Fleet) keep(p *Process) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		p.Kill()
		return context.Canceled
	}
	f.processes = append(f.processes, p)
	return nil
}

// waitReady waits until every daemon says that it is ready.
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

// Targets returns the addresses that callers of a service use: its daemons, or
// its workers in a fleet without.
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

// Executions returns what all workers ran.
func (f *Fleet) Executions() ([]Execution, error) {
	var out []Execution
	for _, m := range f.Members {
		got, err := m.Worker.Executions()
		if err != nil {
			return nil, fmt.Errorf("executions of %s: %w", m.Instance.ID, err)
		}
		if got.Lost > 0 {
			return nil, fmt.Errorf("%s: %d executions not recorded", m.Instance.ID, got.Lost)
		}
		out = append(out, got.Executions...)
	}
	return out, nil
}

// Shutdown asks all daemons to end, waits for that and returns what went wrong.
func (f *Fleet) Shutdown(wait time.Duration) error {
	errs := make(chan error, len(f.Members))
	for _, m := range f.Members {
		if m.Daemon == nil {
			errs <- nil
			continue
		}
		go func() { errs <- m.Daemon.Stop(wait) }()
	}
	var all []error
	for range f.Members {
		all = append(all, <-errs)
	}
	return errors.Join(all...)
}

// Close kills every process of the fleet that still runs. It may be called
// again.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, p := range f.processes {
		p.Kill()
	}
}

// firstLine passes on the first line written to it and drops the rest.
type firstLine struct {
	line  chan string
	start strings.Builder
	over  bool
}

// Write looks for the end of the first line.
func (w *firstLine) Write(p []byte) (int, error) {
	if !w.over {
		w.start.Write(p)
		if line, _, found := strings.Cut(w.start.String(), "\n"); found {
			w.line <- line
			w.over = true
		}
	}
	return len(p), nil
}
