package soak

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"pomelodoor.example/pomelodoor/platform/platformtest"
	"pomelodoor.example/pomelodoor/standin"
)

const (
	// restartAfter is how long after its end a daemon is started again.
	restartAfter = 200 * time.Millisecond
	// crashedFor is how long an upstream that crashed stays away.
	crashedFor = time.Second
	// seedMachines is how many daemons every daemon is told of at its start.
	seedMachines = 3
	// stopWithin is when a daemon that was told to stop is killed.
	stopWithin = 6 * time.Second
	// workerSlots is how many requests an upstream runs at once, and workerTime
	// how long each takes.
	workerSlots = 12
	workerTime  = 20 * time.Millisecond
)

// ports are the ports of a machine, the same on all.
type ports struct{ listen, peer, control, admin, ready, worker int }

// machine is a place for one upstream and its daemon. Other daemons and callers
// come to it by its outer address, where relays stand; the daemon itself opens
// its ports at the inner one.
type machine struct {
	fleet        *fleet
	number       int
	service      string
	zone         string
	outer, inner string
	door         *platformtest.Door
	peers        []*standin.Relay
	callers      *standin.Relay

	mu sync.Mutex
	// process is the daemon, nil while there is none. expected is set when its
	// end was asked for.
	process  *standin.Process
	expected bool
	worker   *platformtest.Worker
	lives    int
	past     []*platformtest.Worker
	// replacing is held while another upstream takes the place of one.
	replacing sync.Mutex
	log       *os.File
}

func (f *fleet) newMachine(number int) (*machine, error) {
	m := &machine{
		fleet: f, number: number, service: services[number%len(services)], zone: string(rune('a' + number%3)),
		outer: f.address(outerNet, number), inner: f.address(innerNet, number),
	}
	var err error
	if m.log, err = os.Create(filepath.Join(f.cfg.Logs, m.name()+".log")); err != nil {
		return nil, fmt.Errorf("open a log: %w", err)
	}
	if m.door, err = f.store.Open(""); err != nil {
		return nil, err
	}
	for _, port := range []int{f.ports.peer, f.ports.control} {
		relay, err := m.relay(port)
		if err != nil {
			return nil, err
		}
		m.peers = append(m.peers, relay)
	}
	if m.callers, err = m.relay(f.ports.listen); err != nil {
		return nil, err
	}
	return m, m.startWorker()
}

func (m *machine) relay(port int) (*standin.Relay, error) {
	return standin.NewRelay(standin.RelayConfig{
		Listen: at(m.outer, port), To: at(m.inner, port), Seed: m.fleet.cfg.Seed,
	})
}

func at(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }

func (m *machine) name() string { return m.service + "-" + strconv.Itoa(m.number) }

// startWorker starts an upstream of a new life and lists it.
func (m *machine) startWorker() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lives++
	w, err := platformtest.StartWorker(platformtest.WorkerConfig{
		ID: fmt.Sprintf("i-%d-%d", m.number, m.lives), Service: m.service, Zone: m.zone,
		Listen: at(m.outer, m.fleet.ports.worker), Slots: workerSlots, Work: workerTime, Crash: m.crashed,
	})
	if err != nil {
		return err
	}
	m.worker = w
	m.fleet.store.Put(w.Entry(false))
	return nil
}

// crashed ends an upstream that a request has crashed, and starts another after a
// while, unless something else is already ending it.
func (m *machine) crashed(w *platformtest.Worker) {
	m.fleet.work.Go(func() {
		if !m.replacing.TryLock() {
			return
		}
		defer m.replacing.Unlock()
		if m.upstream() != w {
			return
		}
		key, _ := w.Entry(false)
		m.replaceWorker(key, crashedFor)
	})
}

// replaceWorker ends the upstream and starts another after a while.
func (m *machine) replaceWorker(key string, away time.Duration) {
	m.endWorker()
	m.fleet.store.Remove(key)
	time.Sleep(away)
	if err := m.startWorker(); err != nil {
		m.fleet.note(Violation{Promise: StaysUp, Detail: err.Error()})
	}
}

// endWorker ends the upstream as a crash would.
func (m *machine) endWorker() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.worker != nil {
		m.worker.Close()
		m.past = append(m.past, m.worker)
		m.worker = nil
	}
}

// upstream returns the present upstream, or nil.
func (m *machine) upstream() *platformtest.Worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.worker
}

// workers returns the upstreams of all lives.
func (m *machine) workers() []*platformtest.Worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := append([]*platformtest.Worker(nil), m.past...)
	if m.worker != nil {
		all = append(all, m.worker)
	}
	return all
}

// startDaemon starts the daemon and keeps it running until the run ends.
func (m *machine) startDaemon() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fleet.ending() {
		return nil
	}
	p, err := standin.StartProcess(standin.ProcessConfig{
		Name: m.name(), Path: m.fleet.cfg.Daemon, Args: m.args(), Stdout: m.log, Stderr: m.log,
	})
	if err != nil {
		return err
	}
	m.process, m.expected = p, false
	go m.follow(p)
	return nil
}

// follow starts the daemon again after its end, and notes an end that nobody
// asked for.
func (m *machine) follow(p *standin.Process) {
	<-p.Done()
	m.mu.Lock()
	expected := m.expected
	m.process = nil
	m.mu.Unlock()
	if !expected && !m.fleet.ending() {
		m.fleet.note(Violation{Promise: StaysUp, Detail: m.name() + " ended by itself: " + p.Ending()})
	}
	time.Sleep(restartAfter)
	if err := m.startDaemon(); err != nil {
		m.fleet.note(Violation{Promise: StaysUp, Detail: m.name() + ": " + err.Error()})
	}
}

func (m *machine) args() []string {
	p, f := m.fleet.ports, m.fleet
	args := []string{
		"run", "--instance", m.name(), "--service", m.service, "--availability-zone", m.zone, "--region", "north",
		"--listen", at(m.outer, p.listen), "--peer", at(m.outer, p.peer), "--control", at(m.outer, p.control),
		"--admin", at(m.outer, p.admin), "--ready", at(m.outer, p.ready), "--bind", m.inner,
		"--upstream", at(m.outer, p.worker), "--store", m.door.Addr(), "--bounds", platformtest.Bounds,
		"--assume", "retry", "eject", "spillOver", "handOn", "shed", "slowStart", "quarantine", "loadAware", "probe",
		"--log-format", "json", "--drain-seconds", "1", "--fleet-size", strconv.Itoa(f.cfg.Machines), "--seeds",
	}
	for _, seed := range f.machines[:min(seedMachines, len(f.machines))] {
		args = append(args, at(seed.outer, p.control))
	}
	return args
}

// signal sends a signal to the daemon, if there is one. end is true for a signal
// that ends it.
func (m *machine) signal(s syscall.Signal, end bool) *standin.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return nil
	}
	m.expected = m.expected || end
	if err := m.process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		m.fleet.note(Violation{Promise: StaysUp, Detail: err.Error()})
	}
	return m.process
}

// stop asks the daemon to end, and kills it when it takes too long.
func (m *machine) stop() {
	p := m.signal(syscall.SIGTERM, true)
	if p == nil {
		return
	}
	select {
	case <-p.Done():
	case <-time.After(stopWithin):
		m.fleet.note(Violation{Promise: StopsInTime, Detail: m.name() + " had to be killed"})
		p.Kill()
	}
}

// close ends all that the machine has.
func (m *machine) close() {
	m.signal(syscall.SIGCONT, true)
	if p := m.signal(syscall.SIGKILL, true); p != nil {
		<-p.Done()
	}
	for _, r := range append(m.peers, m.callers) {
		if r != nil {
			r.Close()
		}
	}
	m.endWorker()
	if m.door != nil {
		m.door.Close()
	}
	_ = m.log.Close()
}
