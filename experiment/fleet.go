package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/daemon"
	"pomelodoor.example/pomelodoor/node"
	"pomelodoor.example/pomelodoor/standin"
)

const (
	region = "north"
	// startTimeout limits the wait for all daemons to be ready, and
	// readyPollInterval is how often each is polled.
	startTimeout      = time.Minute
	readyPollInterval = 20 * time.Millisecond
	// attemptTTL is how long FleetState keeps an attempt whose end is never reported.
	attemptTTL = callDeadline + 200*time.Millisecond
	// maxStopSeconds limits how long a daemon waits for open calls when it stops.
	maxStopSeconds = 2
)

// ErrNotReady is returned when a daemon did not become ready in time.
var ErrNotReady = errors.New("fleet not ready")

// upstream is a worker with its daemon.
type upstream struct {
	id, service, zone string
	listen, admin     string
	worker            *standin.Worker
	daemon            *daemon.Daemon
	addresses         []string
}

// Fleet is a platform, its workers and their daemons, all in this process.
type Fleet struct {
	size      Size
	cfg       RunConfig
	platform  *standin.Platform
	links     *Links
	state     *FleetState
	poller    *loadPoller
	upstreams []*upstream
}

// Start starts a fleet and returns it once all daemons are ready. Several fleets may
// be started concurrently.
func Start(ctx context.Context, cfg RunConfig) (*Fleet, error) {
	for try := 1; ; try++ {
		f, err := newFleet(cfg)
		if err != nil {
			f.Close()
			if errors.Is(err, syscall.EADDRINUSE) && try < maxOpenTries {
				continue
			}
			return nil, fmt.Errorf("start fleet: %w", err)
		}
		if err := f.waitReady(ctx); err != nil {
			f.Close()
			return nil, fmt.Errorf("start fleet: %w", err)
		}
		return f, nil
	}
}

// maxOpenTries is the maximum number of tries to open a fleet when another process
// takes one of its ports.
const maxOpenTries = 5

// openMutex prevents fleets of this process from choosing the same ports.
var openMutex sync.Mutex

// newFleet starts the platform, the workers and the daemons. On an error it also
// returns the partially started fleet, which the caller must close.
func newFleet(cfg RunConfig) (f *Fleet, err error) {
	openMutex.Lock()
	defer openMutex.Unlock()
	f = &Fleet{
		size: cfg.Size, cfg: cfg,
		links: NewLinks(cfg.Size.Link, cfg.Seed<<16),
		state: newFleetState(attemptTTL),
	}
	f.poller = newLoadPoller(f)
	if f.platform, err = standin.NewPlatform(standin.PlatformConfig{}); err != nil {
		return f, fmt.Errorf("platform: %w", err)
	}
	if err := f.publish(); err != nil {
		return f, fmt.Errorf("publish documents: %w", err)
	}
	if err := f.addWorkers(); err != nil {
		return f, fmt.Errorf("start workers: %w", err)
	}
	for i := range f.upstreams {
		if err := f.addDaemon(i); err != nil {
			return f, fmt.Errorf("start daemons: %w", err)
		}
	}
	return f, nil
}

// publish publishes the switches and the service documents on the platform.
func (f *Fleet) publish() error {
	switches, err := json.Marshal(map[string]any{"kind": "switches", "revision": 1, "allow": append([]config.Action{}, f.cfg.Policy.Allow...)})
	if err != nil {
		return fmt.Errorf("switches: %w", err)
	}
	if err := f.platform.Publish("switches", switches); err != nil {
		return fmt.Errorf("switches: %w", err)
	}
	for _, service := range f.size.Services {
		text := fmt.Sprintf(`{"kind":"service","revision":1,"service":%q,"selectors":[{"name":"all","callers":["*"]}],
			"limits":{"slots":%d,"queue":%d,"connections":%d,"timeoutMs":%d},"budgets":{"probesPerSecond":%g}}`,
			service.Name, f.size.Slots, f.size.Queue, f.size.Conns, callDeadline.Milliseconds(), f.size.ProbesPerSecond)
		if err := f.platform.Publish("services/"+service.Name, []byte(text)); err != nil {
			return fmt.Errorf("service %s: %w", service.Name, err)
		}
	}
	return nil
}

// portsPerDaemon is the number of ports that a daemon listens on.
const portsPerDaemon = 4

// addWorkers starts the workers of all services.
func (f *Fleet) addWorkers() error {
	free, err := standin.FreeAddrs(portsPerDaemon * f.size.upstreamCount())
	if err != nil {
		return err
	}
	for _, service := range f.size.Services {
		for i := range service.Upstreams {
			if err := f.addWorker(service.Name, i, free[:portsPerDaemon]); err != nil {
				return err
			}
			free = free[portsPerDaemon:]
		}
	}
	return nil
}

// addWorker starts a worker and registers its instance on the platform, with the
// addresses that its daemon will listen on.
func (f *Fleet) addWorker(service string, i int, addresses []string) error {
	n := len(f.upstreams)
	zone := f.size.Zones[n%len(f.size.Zones)]
	u := &upstream{id: service + "-" + strconv.Itoa(i+1), service: service, zone: zone}
	cfg := standin.WorkerConfig{
		ID: u.id, Slots: f.size.Slots, MaxConns: f.size.Conns,
		ServiceTime: f.cfg.ServiceTime, ProbeTime: f.size.ProbeTime, ColdTime: coldStartTime,
		Seed:       f.cfg.Seed<<8 + uint64(n),
		OnFinished: func(token string) { f.callEnded(n, token) },
	}
	if f.cfg.Case == Lagging {
		cfg.LoadLag = loadLag
	}
	var err error
	if u.worker, err = standin.NewWorker(cfg); err != nil {
		return err
	}
	f.upstreams = append(f.upstreams, u)
	f.state.add(u.id, zone)
	u.addresses = addresses
	u.listen, u.admin = addresses[0], addresses[3]
	f.links.Add(u.addresses[1], zone)
	return f.platform.SetInstance(standin.Instance{
		ID: u.id, Service: service, AvailabilityZone: zone, Region: region,
		Listen: u.addresses[0], Peer: u.addresses[1], Control: u.addresses[2], State: "live",
	})
}

// callEnded records that an upstream finished a call. The token contains the index of
// the daemon that the caller sent it to and the time of sending.
func (f *Fleet) callEnded(upstream int, token string) {
	parts := strings.Split(token, "-")
	if len(parts) != tokenParts {
		return
	}
	daemon, err1 := strconv.Atoi(parts[1])
	sent, err2 := strconv.ParseInt(parts[2], 10, 64)
	if err1 == nil && err2 == nil {
		f.state.removeAttempt(daemon, upstream, time.Unix(0, sent))
	}
}

// addDaemon starts the daemon of a worker.
func (f *Fleet) addDaemon(n int) error {
	u := f.upstreams[n]
	overrides := daemon.Overrides{Dial: f.links.Dial(u.zone)}
	if f.cfg.Policy.Chooser != nil {
		overrides.Choose = f.chooser(n)
	}
	d, err := daemon.Start(daemon.Settings{
		Instance: u.id, Service: u.service, AvailabilityZone: u.zone, Region: region,
		Listen: u.addresses[0], Peer: u.addresses[1], Control: u.addresses[2], Admin: u.addresses[3],
		Upstream: u.worker.Addr(), Platform: []string{f.platform.Addr()},
		LogLevel: "error", LogFormat: "text", MaxStopSeconds: maxStopSeconds, DrainSeconds: 0, FleetSize: f.size.upstreamCount(),
	}, log.New(io.Discard), overrides)
	u.daemon = d
	return err
}

// chooser returns the policy's choose function for one daemon, which also records each
// attempt in the fleet's state.
func (f *Fleet) chooser(n int) node.Choose {
	src := rand.New(rand.NewPCG(f.cfg.Seed, uint64(n)))
	view := View{
		Daemon: n, Zone: f.upstreams[n].zone, Size: f.size, ServiceTime: f.cfg.ServiceTime,
		FleetState: f.state, Rand: src.Uint64,
		LastLoad: func(id string) (standin.Load, time.Time, bool) { return f.poller.lastLoad(n, id) },
	}
	choose := f.cfg.Policy.Chooser(view)
	return func(candidates []balance.Candidate, avoid []string, now time.Time) (int, bool) {
		i, ok := choose(candidates, avoid, now)
		if ok {
			f.state.AddAttempt(n, candidates[i].ID, now)
		}
		return i, ok
	}
}

// waitReady waits until every daemon reports that it is ready.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, u := range f.upstreams {
		for !isReady(u.admin) {
			if wait(ctx, readyPollInterval) != nil {
				return fmt.Errorf("%s: %w", u.id, ErrNotReady)
			}
		}
	}
	return nil
}

func isReady(admin string) bool {
	code, body, err := fasthttp.Get(nil, "http://"+admin+"/status")
	var s node.Status
	return err == nil && code == fasthttp.StatusOK && json.Unmarshal(body, &s) == nil && s.Ready
}

// Close stops all daemons and workers and the platform.
func (f *Fleet) Close() {
	f.poller.close()
	f.links.IsolateZone("")
	var all sync.WaitGroup
	for _, u := range f.upstreams {
		if u.daemon != nil {
			all.Go(func() { _ = u.daemon.Shutdown() })
		}
	}
	all.Wait()
	for _, u := range f.upstreams {
		u.worker.Close()
	}
	f.links.Close()
	if f.platform != nil {
		f.platform.Close()
	}
}
