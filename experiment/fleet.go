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
	// startTime bounds the start of a fleet, and readyPoll is how often a
	// daemon is asked whether it is ready.
	startTime = time.Minute
	readyPoll = 20 * time.Millisecond
	// attemptLife is how long the ledger keeps an attempt that never ends.
	attemptLife = callDeadline + 200*time.Millisecond
	// maxStop bounds the wait for calls at the end of a run, in seconds.
	maxStop = 2
)

// ErrNotReady is returned for a fleet that did not start in time.
var ErrNotReady = errors.New("fleet not ready")

// upstream is one worker with its daemon.
type upstream struct {
	id, service, zone string
	listen, admin     string
	worker            *standin.Worker
	daemon            *daemon.Daemon
	addresses         []string
}

// Fleet is a platform, workers and daemons in this process.
type Fleet struct {
	size      Size
	cfg       RunConfig
	platform  *standin.Platform
	links     *Links
	ledger    *Ledger
	polls     *polls
	upstreams []*upstream
}

// Start returns a fleet whose daemons are all ready. Several fleets may start
// at once.
func Start(ctx context.Context, cfg RunConfig) (*Fleet, error) {
	for try := 1; ; try++ {
		f, err := open(cfg)
		if err != nil {
			f.Close()
			if errors.Is(err, syscall.EADDRINUSE) && try < openTries {
				continue
			}
			return nil, fmt.Errorf("start fleet: %w", err)
		}
		if err := f.awaitReady(ctx); err != nil {
			f.Close()
			return nil, fmt.Errorf("start fleet: %w", err)
		}
		return f, nil
	}
}

// openTries is how often a fleet is opened when another process takes one of
// its ports.
const openTries = 5

// opening keeps fleets of this process from choosing the same ports.
var opening sync.Mutex

// open starts the platform, the workers and the daemons. It returns what has
// been started also with an error.
func open(cfg RunConfig) (f *Fleet, err error) {
	opening.Lock()
	defer opening.Unlock()
	f = &Fleet{
		size: cfg.Size, cfg: cfg,
		links:  NewLinks(cfg.Size.Link, cfg.Seed<<16),
		ledger: newLedger(attemptLife),
	}
	f.polls = newPolls(f)
	if f.platform, err = standin.NewPlatform(standin.PlatformConfig{}); err != nil {
		return f, fmt.Errorf("platform: %w", err)
	}
	if err := f.publish(); err != nil {
		return f, fmt.Errorf("documents: %w", err)
	}
	if err := f.addWorkers(); err != nil {
		return f, fmt.Errorf("worker: %w", err)
	}
	for i := range f.upstreams {
		if err := f.addDaemon(i); err != nil {
			return f, fmt.Errorf("daemon: %w", err)
		}
	}
	return f, nil
}

// publish puts the documents into force.
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

// portsEach is the number of ports of a daemon.
const portsEach = 4

// addWorkers starts the workers of all services.
func (f *Fleet) addWorkers() error {
	free, err := standin.FreeAddrs(portsEach * f.size.upstreams())
	if err != nil {
		return err
	}
	for _, service := range f.size.Services {
		for i := range service.Upstreams {
			if err := f.addWorker(service.Name, i, free[:portsEach]); err != nil {
				return err
			}
			free = free[portsEach:]
		}
	}
	return nil
}

// addWorker starts a worker and puts its instance on the platform's list, with
// the addresses of the daemon to come.
func (f *Fleet) addWorker(service string, i int, addresses []string) error {
	n := len(f.upstreams)
	zone := f.size.Zones[n%len(f.size.Zones)]
	u := &upstream{id: service + "-" + strconv.Itoa(i+1), service: service, zone: zone}
	cfg := standin.WorkerConfig{
		ID: u.id, Slots: f.size.Slots, Conns: f.size.Conns,
		ServiceTime: f.cfg.ServiceTime, ProbeTime: f.size.ProbeTime, ColdTime: coldTime,
		Seed:  f.cfg.Seed<<8 + uint64(n),
		Ended: func(token string) { f.ended(n, token) },
	}
	if f.cfg.Case == Lagging {
		cfg.LoadLag = loadLag
	}
	var err error
	if u.worker, err = standin.NewWorker(cfg); err != nil {
		return err
	}
	f.upstreams = append(f.upstreams, u)
	f.ledger.add(u.id, zone)
	u.addresses = addresses
	u.listen, u.admin = addresses[0], addresses[3]
	f.links.Add(u.addresses[1], zone)
	return f.platform.SetInstance(standin.Instance{
		ID: u.id, Service: service, AvailabilityZone: zone, Region: region,
		Listen: u.addresses[0], Peer: u.addresses[1], Control: u.addresses[2], State: "live",
	})
}

// ended notes that an upstream is done with a call. The token names the daemon
// that the caller sent it to and the time.
func (f *Fleet) ended(upstream int, token string) {
	parts := strings.Split(token, "-")
	if len(parts) != tokenParts {
		return
	}
	daemon, err1 := strconv.Atoi(parts[1])
	sent, err2 := strconv.ParseInt(parts[2], 10, 64)
	if err1 == nil && err2 == nil {
		f.ledger.ended(daemon, upstream, time.Unix(0, sent))
	}
}

// addDaemon starts the daemon beside a worker.
func (f *Fleet) addDaemon(n int) error {
	u := f.upstreams[n]
	seams := daemon.Seams{Dial: f.links.Dial(u.zone)}
	if f.cfg.Policy.Chooser != nil {
		seams.Choose = f.chooser(n)
	}
	d, err := daemon.Start(daemon.Settings{
		Instance: u.id, Service: u.service, AvailabilityZone: u.zone, Region: region,
		Listen: u.addresses[0], Peer: u.addresses[1], Control: u.addresses[2], Admin: u.addresses[3],
		Upstream: u.worker.Addr(), Platform: []string{f.platform.Addr()},
		LogLevel: "error", LogFormat: "text", MaxStopSeconds: maxStop, DrainSeconds: 0, FleetSize: f.size.upstreams(),
	}, log.New(io.Discard), seams)
	u.daemon = d
	return err
}

// chooser returns the policy's choice for one daemon, and has the ledger count
// each attempt.
func (f *Fleet) chooser(n int) node.Choose {
	src := rand.New(rand.NewPCG(f.cfg.Seed, uint64(n)))
	view := View{
		Daemon: n, Zone: f.upstreams[n].zone, Size: f.size, ServiceTime: f.cfg.ServiceTime,
		Ledger: f.ledger, Rand: src.Uint64,
		Polled: func(id string) (standin.Load, time.Time, bool) { return f.polls.last(n, id) },
	}
	choose := f.cfg.Policy.Chooser(view)
	return func(candidates []balance.Candidate, avoid []string, now time.Time) (int, bool) {
		i, ok := choose(candidates, avoid, now)
		if ok {
			f.ledger.Began(n, candidates[i].ID, now)
		}
		return i, ok
	}
}

// awaitReady waits until every daemon says that it is ready.
func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, u := range f.upstreams {
		for !ready(u.admin) {
			if wait(ctx, readyPoll) != nil {
				return fmt.Errorf("%s: %w", u.id, ErrNotReady)
			}
		}
	}
	return nil
}

func ready(admin string) bool {
	code, body, err := fasthttp.Get(nil, "http://"+admin+"/status")
	var s node.Status
	return err == nil && code == fasthttp.StatusOK && json.Unmarshal(body, &s) == nil && s.Ready
}

// Close ends the fleet.
func (f *Fleet) Close() {
	f.polls.close()
	f.links.Cut("")
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
