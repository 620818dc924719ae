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
	// outerNet and innerNet are the second bytes of the machines' addresses on
	// loopback.
	outerNet = 77
	innerNet = 78
	// readyWithin bounds the start of the fleet.
	readyWithin = 15 * time.Second
	readyPoll   = 50 * time.Millisecond
	// drainTime is how long an upstream serves on after it has said that it
	// leaves; new work must end sooner.
	drainTime = 3 * time.Second
	// stormChanges is how many changes a storm has, and stormGap the time between.
	stormChanges = 8
	stormGap     = 60 * time.Millisecond
)

// services are the services, machine by machine.
var services = []string{"lookups", "orders"}

// ErrNotReady is returned when the fleet did not serve in time.
var ErrNotReady = errors.New("soak: the fleet is not ready")

// fleet is the machines, the store, and what is known to be wrong.
type fleet struct {
	cfg      Config
	store    *platformtest.Store
	ports    ports
	subnet   int
	machines []*machine
	history  *history

	mu         sync.Mutex
	violations []Violation
	ended      bool
	version    int
	spells     []spell
	work       sync.WaitGroup
}

// spell is the time from the beginning of an event until all is as before.
type spell struct {
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

func (f *fleet) address(net, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", net, f.subnet, number+1)
}

// waitReady waits until every daemon takes callers.
func (f *fleet) waitReady(ctx context.Context) error {
	caller := platformtest.NewCaller()
	defer caller.Close()
	limit := time.Now().Add(readyWithin)
	for _, m := range f.machines {
		for !caller.Ready(at(m.inner, f.ports.ready)) {
			if time.Now().After(limit) || ctx.Err() != nil {
				return fmt.Errorf("%w: %s", ErrNotReady, m.name())
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func (f *fleet) note(v Violation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, v)
}

func (f *fleet) ending() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}

// close ends every process that this fleet started.
func (f *fleet) close() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	f.work.Wait()
	for _, m := range f.machines {
		m.close()
	}
}

// changeConfig publishes the next configuration. It moves the changing route from
// one service to the other.
func (f *fleet) changeConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	moved := services[f.version%len(services)]
	f.store.Configure(f.version, []platformtest.Route{
		{Name: "look", Prefix: lookPath, Safe: true, Service: services[0]},
		{Name: "order", Prefix: orderPath, Service: services[1]},
		{Name: "moving", Prefix: movingPath, Safe: true, Service: moved},
	})
	f.history.configured(moved, time.Now())
}

// befall lets an event happen and, in its time, end.
func (f *fleet) befall(e Event) {
	s := spell{event: e, from: time.Now()}
	f.work.Go(func() {
		f.carryOut(e)
		s.to = time.Now()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.spells = append(f.spells, s)
	})
}

func (f *fleet) carryOut(e Event) {
	switch e.Kind {
	case StoreForgets:
		f.store.Compact()
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
		f.history.switchedOff(time.Now())
	default:
		var each sync.WaitGroup
		for _, i := range e.Machines {
			each.Go(func() { f.machines[i].suffer(e) })
		}
		each.Wait()
	}
}

// suffer lets an event befall one machine, and returns when it is over there.
func (m *machine) suffer(e Event) {
	switch e.Kind {
	case LinkTrouble:
		m.setLinks(e.Link, m.peers...)
		time.Sleep(e.For)
		m.setLinks(standin.Link{}, m.peers...)
	case DaemonCut:
		m.cutOff(true)
		time.Sleep(e.For)
		m.cutOff(false)
	case CallerReset:
		m.setLinks(standin.Link{Cut: standin.CutReset}, m.callers)
		time.Sleep(e.For / 10)
		m.setLinks(standin.Link{}, m.callers)
	case StoreTrouble:
		m.door.Set(e.Store)
		time.Sleep(e.For)
		m.door.Set(platformtest.None)
	case DaemonStop:
		m.stop()
	case DaemonKill:
		m.signal(syscall.SIGKILL, true)
	case DaemonPause:
		m.signal(syscall.SIGSTOP, false)
		time.Sleep(e.For)
		m.signal(syscall.SIGCONT, false)
	case DaemonReload:
		m.signal(syscall.SIGHUP, false)
	case UpstreamIll, UpstreamCrash, UpstreamLeave:
		m.sufferUpstream(e)
	}
}

// cutOff cuts the links between this daemon and all others, or mends them.
func (m *machine) cutOff(cut bool) {
	link := standin.Link{}
	if cut {
		link.Cut = standin.CutBlackHole
	}
	m.setLinks(link, m.peers...)
	for _, other := range m.fleet.machines {
		if other == m {
			continue
		}
		for _, r := range other.peers {
			r.Isolate(m.inner, cut)
		}
	}
}

func (m *machine) setLinks(link standin.Link, relays ...*standin.Relay) {
	for _, r := range relays {
		r.Set(link)
	}
}

func (m *machine) sufferUpstream(e Event) {
	if e.Kind != UpstreamIll {
		m.replacing.Lock()
		defer m.replacing.Unlock()
	}
	w := m.upstream()
	if w == nil {
		return
	}
	key, draining := w.Entry(true)
	switch e.Kind {
	case UpstreamIll:
		w.Set(e.Illness)
		time.Sleep(e.For)
		w.Set(platformtest.Well)
		return
	case UpstreamLeave:
		m.fleet.store.Put(key, draining)
		m.fleet.history.left(w.ID(), time.Now())
		time.Sleep(drainTime)
	}
	m.replaceWorker(key, restartAfter)
}
