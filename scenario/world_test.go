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

// Bounds of a script's steps.
const (
	readyTime = 15 * time.Second
	endTime   = 20 * time.Second
	// restartTime is how long a crashed worker stays away.
	restartTime = time.Second
)

var (
	errNoMember = errors.New("no such instance")
	errUsage    = errors.New("wrong use")
)

// worldKey finds the world in a script's values.
type worldKey struct{}

// world is everything around one script.
type world struct {
	platform *standin.Platform

	mu      sync.Mutex
	members map[string]*member
	order   []string
	// retired are workers whose instance was replaced; their record counts.
	retired  []*standin.Worker
	orders   map[string]*order
	history  []standin.Exchange
	last     standin.Result
	callers  int
	waiting  map[string]chan struct{}
	printed  map[string]string
	failures []error
}

// member is one instance: a worker, its daemon and the link between them.
type member struct {
	worker  *standin.Worker
	daemon  *standin.Daemon
	link    *standin.Relay
	drained time.Time
	failing time.Time
}

// order is a request that a script sends more than once.
type order struct {
	request standin.Request
	sends   int
}

func newWorld() (*world, error) {
	p, err := standin.NewPlatform(standin.PlatformConfig{})
	if err != nil {
		return nil, err
	}
	return &world{
		platform: p, members: map[string]*member{}, orders: map[string]*order{},
		waiting: map[string]chan struct{}{}, printed: map[string]string{},
	}, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, m := range w.members {
		if m.daemon != nil {
			m.daemon.Kill()
		}
		m.worker.Close()
		if m.link != nil {
			m.link.Close()
		}
	}
	for _, old := range w.retired {
		old.Close()
	}
	w.platform.Close()
}

// memberArg returns the member that the first argument names.
func (w *world) memberArg(args []string) (*member, error) {
	id, err := arg(args, 0)
	if err != nil {
		return nil, err
	}
	return w.member(id)
}

// member returns one instance by its id, or the one that issued a key by
// home:NAME.
func (w *world) member(id string) (*member, error) {
	if name, ok := strings.CutPrefix(id, "home:"); ok {
		if order, ok := w.orders[name]; ok {
			id = order.request.Key[strings.LastIndexByte(order.request.Key, '.')+1:]
		}
	}
	if m, ok := w.members[id]; ok {
		return m, nil
	}
	return nil, fmt.Errorf("%s: %w", id, errNoMember)
}

// start starts n instances of a service and waits until they are ready.
func (w *world) start(service string, n int, links bool) error {
	var started []*standin.Daemon
	for i := range n {
		id := fmt.Sprintf("%s-%d", service, i+1)
		m, err := w.startMember(standin.Instance{
			ID: id, Service: service, AvailabilityZone: string(rune('a' + i%3)), Region: "north", State: "live",
		}, links)
		if err != nil {
			return err
		}
		started = append(started, m.daemon)
	}
	return waitReady(started...)
}

// startMember starts one instance and lists it. Without links the daemon reaches
// its worker directly: a relay accepts connections for a worker that is down,
// and resets them, which looks like a crash at each of them.
func (w *world) startMember(in standin.Instance, links bool) (*member, error) {
	worker, err := standin.NewWorker(standin.WorkerConfig{
		ID: in.ID, Seed: uint64(len(w.order) + 1), Restart: restartTime,
	})
	if err != nil {
		return nil, err
	}
	m := &member{worker: worker}
	w.members[in.ID] = m
	w.order = append(w.order, in.ID)
	upstream := worker.Addr()
	if links {
		if m.link, err = standin.NewRelay(standin.RelayConfig{To: upstream}); err != nil {
			return nil, err
		}
		upstream = m.link.Addr()
	}
	m.daemon, err = standin.StartDaemon(standin.DaemonConfig{
		Path: daemonPath, Instance: in, Upstream: upstream,
		Platforms: []string{w.platform.Addr()}, LogLevel: "info",
	})
	if err != nil {
		return nil, err
	}
	return m, w.platform.SetInstance(m.daemon.Config().Instance)
}

// restart starts a new process with the settings of the one that ended.
func (w *world) restart(id string) error {
	m, err := w.member(id)
	if err != nil {
		return err
	}
	m.daemon.Kill()
	next, err := standin.StartDaemon(m.daemon.Config())
	if err != nil {
		return err
	}
	m.daemon = next
	return nil
}

// replace starts another instance on the addresses of one that ended.
func (w *world) replace(id, by string) error {
	m, err := w.member(id)
	if err != nil {
		return err
	}
	m.daemon.Kill()
	m.worker.Close()
	w.retired = append(w.retired, m.worker)
	delete(w.members, id)
	worker, err := standin.NewWorker(standin.WorkerConfig{ID: by, Listen: m.worker.Addr()})
	if err != nil {
		return err
	}
	cfg := m.daemon.Config()
	cfg.Instance.ID = by
	next, err := standin.StartDaemon(cfg)
	if err != nil {
		worker.Close()
		return err
	}
	w.members[by] = &member{worker: worker, link: m.link, daemon: next}
	w.platform.RemoveInstance(id)
	w.order = append(slices.DeleteFunc(w.order, func(o string) bool { return o == id }), by)
	return w.platform.SetInstance(cfg.Instance)
}

// targets returns the callers' addresses of the daemons named, or of all.
func (w *world) targets(ids []string) ([]string, error) {
	if len(ids) == 0 {
		ids = w.order
	}
	var out []string
	for _, id := range ids {
		m, err := w.member(id)
		if err != nil {
			return nil, err
		}
		out = append(out, m.daemon.Config().Instance.Listen)
	}
	return out, nil
}

// executions returns what all workers ran.
func (w *world) executions() []standin.Execution {
	var out []standin.Execution
	for _, m := range w.members {
		out = append(out, m.worker.Executions()...)
	}
	for _, old := range w.retired {
		out = append(out, old.Executions()...)
	}
	return out
}

// note keeps what a call saw.
func (w *world) note(history ...standin.Exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, history...)
}

// seen returns the history so far.
func (w *world) seen() []standin.Exchange {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]standin.Exchange(nil), w.history...)
}

// waitReady waits until daemons are ready.
func waitReady(daemons ...*standin.Daemon) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTime)
	defer cancel()
	for _, d := range daemons {
		if err := d.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}
