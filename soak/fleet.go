package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"pomelodoor.example/pomelodoor/platform/platformtest"
	"pomelodoor.example/pomelodoor/standin"
)

const (
	// publicOctet and bindOctet are the second octets of the machines' loopback
	// addresses.
	publicOctet = 77
	bindOctet   = 78
	// readyTimeout bounds the wait until the whole fleet is ready.
	readyTimeout      = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// drainTime is how long an upstream keeps serving after it was listed as
	// draining. It is longer than drainNoticeTime, after which the upstream must get
	// no new work.
	drainTime = 3 * time.Second
	// stormChanges is the number of changes in a ConfigStorm, and stormGap the pause
	// after each.
	stormChanges = 8
	// rewriteDelay is the time after a StoreReturn until what was lost is written again.
	rewriteDelay = 500 * time.Millisecond
	stormGap     = 60 * time.Millisecond
	// evacuationPrefix is the prefix of the keys of evacuated zones in the store.
	evacuationPrefix = "op/evacuate/"
)

// services lists the services, which are assigned to the machines in turn.
var services = []string{"lookups", "orders"}

// ErrNotReady is returned when a daemon did not become ready in time.
var ErrNotReady = errors.New("soak: the fleet is not ready")

// fleet holds the machines, the store, and the violations seen so far.
type fleet struct {
	cfg      Config
	store    *platformtest.Store
	ports    ports
	subnet   int
	machines []*machine
	history  *history

	mu            sync.Mutex
	violations    []Violation
	closing       bool
	configVersion int
	periods       []period
	tasks         sync.WaitGroup
}

// period is the time from the start of an event until its end.
type period struct {
	event    Event
	from, to time.Time
}

func newFleet(cfg Config, h *history) (*fleet, error) {
	base := 20_000 + rand.IntN(10_000)
	f := &fleet{
		cfg: cfg, store: platformtest.NewStore(), history: h, subnet: 1 + rand.IntN(250),
		ports: ports{listen: base, peer: base + 1, control: base + 2, admin: base + 3, ready: base + 4, worker: base + 5},
	}
	f.changeConfig()
	for i := range cfg.Machines {
		m, err := f.newMachine(i)
		if m != nil {
			f.machines = append(f.machines, m)
		}
		if err != nil {
			return f, err
		}
	}
	for _, m := range f.machines {
		if err := m.startDaemon(); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) address(octet, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", octet, f.subnet, number+1)
}

// waitReady waits until every daemon reports that it is ready.
func (f *fleet) waitReady(ctx context.Context) error {
	caller := platformtest.NewCaller()
	defer caller.Close()
	deadline := time.Now().Add(readyTimeout)
	for _, m := range f.machines {
		for !caller.Ready(hostPort(m.bindIP, f.ports.ready)) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("%w: %s", ErrNotReady, m.name())
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

func (f *fleet) addViolation(v Violation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, v)
}

func (f *fleet) isClosing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closing
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	f.mu.Lock()
	f.closing = true
	f.mu.Unlock()
	f.tasks.Wait()
	for _, m := range f.machines {
		m.close()
	}
}

// changeConfig publishes the next configuration, which assigns the moving route to the
// other service.
func (f *fleet) changeConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configVersion++
	moved := services[f.configVersion%len(services)]
	routes := []platformtest.Route{
		{Name: "look", Prefix: lookupPath, Safe: true, Service: services[0]},
		{Name: "order", Prefix: orderPath, Service: services[1]},
		{Name: "moving", Prefix: movingPath, Safe: true, Service: moved},
	}
	for i := range routes {
		if !f.cfg.NoCold {
			routes[i].Cold, routes[i].ColdPerSecond = workerColdTime, workerColdPerSecond
		}
	}
	f.store.Configure(f.configVersion, routes)
	f.history.addConfig(moved, time.Now())
}

// startEvent runs an event in the background and records when it began and ended.
func (f *fleet) startEvent(e Event) {
	p := period{event: e, from: time.Now()}
	f.tasks.Go(func() {
		f.runEvent(e)
		p.to = time.Now()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.periods = append(f.periods, p)
	})
}

func (f *fleet) runEvent(e Event) {
	switch e.Kind {
	case StoreCompaction:
		f.store.Compact()
	case StoreReturn:
		copied := f.store.Snapshot()
		time.Sleep(e.Duration)
		lost := f.store.ReturnFrom(copied)
		time.Sleep(rewriteDelay)
		f.store.WriteAgain(lost)
	case ConfigChange:
		f.changeConfig()
	case ConfigStorm:
		for range stormChanges {
			f.changeConfig()
			time.Sleep(stormGap)
		}
	case CrashingRequest:
		f.sendCrashing(e)
	case SwitchesOff:
		f.store.Publish("switches", []byte(`{"kind":"switches","revision":1,"allOff":true}`))
		f.history.setSwitchedOff(time.Now())
	case Evacuation:
		f.store.Put(evacuationPrefix+e.Zone, []byte("{}"))
		time.Sleep(e.Duration)
		f.store.Remove(evacuationPrefix + e.Zone)
	default:
		var each sync.WaitGroup
		for _, i := range e.Machines {
			each.Go(func() { f.machines[i].applyEvent(e) })
		}
		each.Wait()
	}
}

// applyEvent applies an event to the machine, and returns when the event has ended
// there.
func (m *machine) applyEvent(e Event) {
	switch e.Kind {
	case LinkFault:
		m.setLinks(e.Link, m.peerRelays...)
		time.Sleep(e.Duration)
		m.setLinks(standin.Link{}, m.peerRelays...)
	case DaemonPartition:
		m.setPartition(true)
		time.Sleep(e.Duration)
		m.setPartition(false)
	case CallerReset:
		m.setLinks(standin.Link{Cut: standin.LinkFaultReset}, m.callerRelay)
		time.Sleep(e.Duration / 10)
		m.setLinks(standin.Link{}, m.callerRelay)
	case StoreFault:
		m.storeEndpoint.Set(e.StoreFault)
		time.Sleep(e.Duration)
		m.storeEndpoint.Set(platformtest.None)
	case Crowd:
		m.receiveCrowd(e)
	case DaemonStop:
		m.stop()
	case DaemonKill:
		m.signal(syscall.SIGKILL, true)
	case DaemonPause:
		m.signal(syscall.SIGSTOP, false)
		time.Sleep(e.Duration)
		m.signal(syscall.SIGCONT, false)
	case DaemonReload:
		m.signal(syscall.SIGHUP, false)
	case UpstreamUnhealthy, UpstreamCrash, UpstreamDrain:
		m.applyUpstreamEvent(e)
	}
}

// setPartition cuts the links between this daemon and all others, or restores them.
func (m *machine) setPartition(cut bool) {
	link := standin.Link{}
	if cut {
		link.Cut = standin.LinkFaultBlackHole
	}
	m.setLinks(link, m.peerRelays...)
	for _, other := range m.fleet.machines {
		if other == m {
			continue
		}
		for _, r := range other.peerRelays {
			r.Isolate(m.bindIP, cut)
		}
	}
}

func (m *machine) setLinks(link standin.Link, relays ...*standin.Relay) {
	for _, r := range relays {
		r.Set(link)
	}
}

func (m *machine) applyUpstreamEvent(e Event) {
	if e.Kind != UpstreamUnhealthy {
		m.replacing.Lock()
		defer m.replacing.Unlock()
	}
	w := m.currentWorker()
	if w == nil {
		return
	}
	key, draining := w.Entry(true)
	switch e.Kind {
	case UpstreamUnhealthy:
		w.Set(e.WorkerFault)
		time.Sleep(e.Duration)
		w.Set(platformtest.Healthy)
		if !m.fleet.cfg.NoCold {
			w.MakeCold(workerColdTime)
		}
		return
	case UpstreamDrain:
		m.fleet.store.Put(key, draining)
		m.fleet.history.addDrain(w.ID(), time.Now())
		time.Sleep(drainTime)
	}
	m.replaceWorker(key, restartDelay)
}
