package scenario

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"pomelodoor.example/pomelodoor/standin"
)

// Time limits of script commands.
const (
	readyTimeout = 15 * time.Second
	stepTimeout  = 20 * time.Second
	// workerRestartDelay is the downtime of a worker after a crash.
	workerRestartDelay = time.Second
)

var (
	errUnknownInstance = errors.New("unknown instance")
	errUsage           = errors.New("invalid use of command")
)

// testbedKey is the key of the testbed in the values of a script's environment.
type testbedKey struct{}

// testbed holds the processes, stand-ins and results of one script.
type testbed struct {
	platform *standin.Platform

	mu        sync.Mutex
	members   map[string]*member
	memberIDs []string
	// retired holds the workers of replaced instances. Checks include their
	// execution records.
	retired          []*standin.Worker
	requests         map[string]*scriptRequest
	history          []standin.Exchange
	lastMixed        standin.Result
	callCount        int
	background       map[string]chan struct{}
	backgroundOutput map[string]string
	backgroundErrors []error
}

// member is an instance: a worker, its daemon and, if started with links, the
// relay between them.
type member struct {
	worker       *standin.Worker
	daemon       *standin.Daemon
	link         *standin.Relay
	leavingSince time.Time
	failingSince time.Time
}

// scriptRequest is a request that a script can send more than once.
type scriptRequest struct {
	request standin.Request
	sends   int
}

func newTestbed() (*testbed, error) {
	p, err := standin.NewPlatform(standin.PlatformConfig{})
	if err != nil {
		return nil, err
	}
	return &testbed{
		platform: p, members: map[string]*member{}, requests: map[string]*scriptRequest{},
		background: map[string]chan struct{}{}, backgroundOutput: map[string]string{},
	}, nil
}

// close kills all daemons and closes all stand-ins.
func (b *testbed) close() {
	for _, m := range b.members {
		if m.daemon != nil {
			m.daemon.Kill()
		}
		m.worker.Close()
		if m.link != nil {
			m.link.Close()
		}
	}
	for _, old := range b.retired {
		old.Close()
	}
	b.platform.Close()
}

// memberFromArg returns the member named by the first argument.
func (b *testbed) memberFromArg(args []string) (*member, error) {
	id, err := requiredArg(args, 0)
	if err != nil {
		return nil, err
	}
	return b.findMember(id)
}

// findMember returns the member with the given ID. An ID of the form home:NAME
// means the member that issued the key NAME.
func (b *testbed) findMember(id string) (*member, error) {
	if name, ok := strings.CutPrefix(id, "home:"); ok {
		if req, ok := b.requests[name]; ok {
			id = req.request.Key[strings.LastIndexByte(req.request.Key, '.')+1:]
		}
	}
	if m, ok := b.members[id]; ok {
		return m, nil
	}
	return nil, fmt.Errorf("%s: %w", id, errUnknownInstance)
}

// startService starts n instances of a service and waits until they are ready.
func (b *testbed) startService(service string, n int, links bool) error {
	var started []*standin.Daemon
	for i := range n {
		id := fmt.Sprintf("%s-%d", service, i+1)
		m, err := b.startMember(standin.Instance{
			ID: id, Service: service, AvailabilityZone: string(rune('a' + i%3)), Region: "north", State: "live",
		}, links)
		if err != nil {
			return err
		}
		started = append(started, m.daemon)
	}
	return waitReady(started...)
}

// startMember starts an instance and adds it to the platform's list. Without links
// the daemon connects to its worker directly: a relay accepts and resets
// connections for a worker that is down, so each of them looks like a crash.
func (b *testbed) startMember(in standin.Instance, links bool) (*member, error) {
	worker, err := standin.NewWorker(standin.WorkerConfig{
		ID: in.ID, Seed: uint64(len(b.memberIDs) + 1), RestartDelay: workerRestartDelay,
	})
	if err != nil {
		return nil, err
	}
	m := &member{worker: worker}
	b.members[in.ID] = m
	b.memberIDs = append(b.memberIDs, in.ID)
	upstream := worker.Addr()
	if links {
		if m.link, err = standin.NewRelay(standin.RelayConfig{Target: upstream}); err != nil {
			return nil, err
		}
		upstream = m.link.Addr()
	}
	m.daemon, err = standin.StartDaemon(standin.DaemonConfig{
		Path: daemonPath, Instance: in, Upstream: upstream,
		Platforms: []string{b.platform.Addr()}, LogLevel: "info",
	})
	if err != nil {
		return nil, err
	}
	return m, b.platform.SetInstance(m.daemon.Config().Instance)
}

// restartDaemon kills a daemon and starts a new process with the same settings.
func (b *testbed) restartDaemon(id string) error {
	m, err := b.findMember(id)
	if err != nil {
		return err
	}
	m.daemon.Kill()
	daemon, err := standin.StartDaemon(m.daemon.Config())
	if err != nil {
		return err
	}
	m.daemon = daemon
	return nil
}

// replaceInstance stops an instance and starts a new one on its addresses.
func (b *testbed) replaceInstance(id, newID string) error {
	m, err := b.findMember(id)
	if err != nil {
		return err
	}
	m.daemon.Kill()
	m.worker.Close()
	b.retired = append(b.retired, m.worker)
	delete(b.members, id)
	worker, err := standin.NewWorker(standin.WorkerConfig{ID: newID, Listen: m.worker.Addr()})
	if err != nil {
		return err
	}
	cfg := m.daemon.Config()
	cfg.Instance.ID = newID
	daemon, err := standin.StartDaemon(cfg)
	if err != nil {
		worker.Close()
		return err
	}
	b.members[newID] = &member{worker: worker, link: m.link, daemon: daemon}
	b.platform.RemoveInstance(id)
	b.memberIDs = append(slices.DeleteFunc(b.memberIDs, func(o string) bool { return o == id }), newID)
	return b.platform.SetInstance(cfg.Instance)
}

// targets returns the listen addresses of the daemons with the given IDs, or of
// all daemons if there are none.
func (b *testbed) targets(ids []string) ([]string, error) {
	if len(ids) == 0 {
		ids = b.memberIDs
	}
	var out []string
	for _, id := range ids {
		m, err := b.findMember(id)
		if err != nil {
			return nil, err
		}
		out = append(out, m.daemon.Config().Instance.Listen)
	}
	return out, nil
}

// executions returns the executions of all workers, including retired ones.
func (b *testbed) executions() []standin.Execution {
	var out []standin.Execution
	for _, m := range b.members {
		out = append(out, m.worker.Executions()...)
	}
	for _, old := range b.retired {
		out = append(out, old.Executions()...)
	}
	return out
}

// recordExchanges appends the exchanges of a call to the history.
func (b *testbed) recordExchanges(history ...standin.Exchange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.history = append(b.history, history...)
}

// exchanges returns a copy of the history.
func (b *testbed) exchanges() []standin.Exchange {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]standin.Exchange(nil), b.history...)
}

// waitReady waits until daemons are ready.
func waitReady(daemons ...*standin.Daemon) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, d := range daemons {
		if err := d.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}
