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
	// restartDelay is the pause before a daemon that ended is restarted, or an upstream
	// that an event ended is replaced.
	restartDelay = 200 * time.Millisecond
	// crashRestartDelay is the pause before an upstream that a request crashed is
	// replaced.
	crashRestartDelay = time.Second
	// seedCount is the number of daemons whose addresses each daemon gets as seeds at
	// its start.
	seedCount = 3
	// stopTimeout is how long after SIGTERM a daemon that is still running is killed.
	stopTimeout = 6 * time.Second
	// workerSlots is the number of requests that an upstream runs at once, and
	// workerServiceTime how long each takes.
	workerSlots       = 12
	workerServiceTime = 20 * time.Millisecond
	// workerColdTime is how long an upstream is cold after its start, and
	// workerColdPerSecond the requests per second that it accepts then.
	workerColdTime      = 1500 * time.Millisecond
	workerColdPerSecond = 13
)

// ports holds the port numbers, which are the same on all machines.
type ports struct{ listen, peer, control, admin, ready, worker int }

// machine simulates the host of one upstream and its daemon. Other daemons and callers
// connect to publicIP, where relays listen; the daemon itself listens on bindIP.
type machine struct {
	fleet            *fleet
	number           int
	service          string
	zone             string
	publicIP, bindIP string
	storeEndpoint    *platformtest.Endpoint
	peerRelays       []*standin.Relay
	callerRelay      *standin.Relay

	mu sync.Mutex
	// process is the daemon, or nil while none is running. endExpected is set once it
	// has been signalled to end.
	process      *standin.Process
	endExpected  bool
	worker       *platformtest.Worker
	incarnations int
	pastWorkers  []*platformtest.Worker
	// replacing is held while the upstream is being replaced.
	replacing sync.Mutex
	log       *os.File
}

// zoneCount is the number of availability zones, to which the machines are assigned in turn.
const zoneCount = 3

func zoneName(number int) string { return string(rune('a' + number)) }

func (f *fleet) newMachine(number int) (*machine, error) {
	m := &machine{
		fleet: f, number: number, service: services[number%len(services)], zone: zoneName(number % zoneCount),
		publicIP: f.address(publicOctet, number), bindIP: f.address(bindOctet, number),
	}
	var err error
	if m.log, err = os.Create(filepath.Join(f.cfg.Logs, m.name()+".log")); err != nil {
		return nil, fmt.Errorf("create the daemon log: %w", err)
	}
	if m.storeEndpoint, err = f.store.Open(""); err != nil {
		return nil, err
	}
	for _, port := range []int{f.ports.peer, f.ports.control} {
		relay, err := m.newRelay(port)
		if err != nil {
			return nil, err
		}
		m.peerRelays = append(m.peerRelays, relay)
	}
	if m.callerRelay, err = m.newRelay(f.ports.listen); err != nil {
		return nil, err
	}
	return m, m.startWorker()
}

func (m *machine) newRelay(port int) (*standin.Relay, error) {
	return standin.NewRelay(standin.RelayConfig{
		Listen: hostPort(m.publicIP, port), Target: hostPort(m.bindIP, port), Seed: m.fleet.cfg.Seed,
	})
}

func hostPort(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }

func (m *machine) name() string { return m.service + "-" + strconv.Itoa(m.number) }

// startWorker starts a new incarnation of the upstream and lists it in the store.
func (m *machine) startWorker() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnations++
	cold := workerColdTime
	if m.fleet.cfg.NoCold {
		cold = 0
	}
	w, err := platformtest.StartWorker(platformtest.WorkerConfig{
		Cold: cold, ID: fmt.Sprintf("i-%d-%d", m.number, m.incarnations), Service: m.service, Zone: m.zone,
		Listen: hostPort(m.publicIP, m.fleet.ports.worker), Slots: workerSlots, Work: workerServiceTime, Crash: m.handleCrash,
	})
	if err != nil {
		return err
	}
	m.worker = w
	m.fleet.history.addWorker(w.ID(), m.zone)
	m.fleet.store.Put(w.Entry(false))
	return nil
}

// handleCrash replaces an upstream that a request crashed, unless it is already being
// replaced.
func (m *machine) handleCrash(w *platformtest.Worker) {
	m.fleet.tasks.Go(func() {
		if !m.replacing.TryLock() {
			return
		}
		defer m.replacing.Unlock()
		if m.currentWorker() != w {
			return
		}
		key, _ := w.Entry(false)
		m.replaceWorker(key, crashRestartDelay)
	})
}

// replaceWorker ends the upstream, removes its key from the store, and starts a new
// upstream after the downtime.
func (m *machine) replaceWorker(key string, downtime time.Duration) {
	m.endWorker()
	m.fleet.store.Remove(key)
	time.Sleep(downtime)
	if err := m.startWorker(); err != nil {
		m.fleet.addViolation(Violation{Promise: StaysUp, Detail: err.Error()})
	}
}

// endWorker ends the upstream abruptly, as in a crash.
func (m *machine) endWorker() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.worker != nil {
		m.worker.Close()
		m.pastWorkers = append(m.pastWorkers, m.worker)
		m.worker = nil
	}
}

// currentWorker returns the running upstream, or nil if there is none.
func (m *machine) currentWorker() *platformtest.Worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.worker
}

// workers returns all incarnations of the upstream.
func (m *machine) workers() []*platformtest.Worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := append([]*platformtest.Worker(nil), m.pastWorkers...)
	if m.worker != nil {
		all = append(all, m.worker)
	}
	return all
}

// startDaemon starts the daemon, which is restarted whenever it ends until the fleet is
// closed.
func (m *machine) startDaemon() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fleet.isClosing() {
		return nil
	}
	p, err := standin.StartProcess(standin.ProcessConfig{
		Name: m.name(), Path: m.fleet.cfg.Daemon, Args: m.daemonArgs(), Stdout: m.log, Stderr: m.log,
	})
	if err != nil {
		return err
	}
	m.process, m.endExpected = p, false
	go m.supervise(p)
	return nil
}

// supervise restarts the daemon after its end, and records an unexpected end as a
// violation.
func (m *machine) supervise(p *standin.Process) {
	<-p.Done()
	m.mu.Lock()
	expected := m.endExpected
	m.process = nil
	m.mu.Unlock()
	if !expected && !m.fleet.isClosing() {
		m.fleet.addViolation(Violation{Promise: StaysUp, Detail: m.name() + " ended unexpectedly: " + p.ExitStatus()})
	}
	time.Sleep(restartDelay)
	if err := m.startDaemon(); err != nil {
		m.fleet.addViolation(Violation{Promise: StaysUp, Detail: m.name() + ": " + err.Error()})
	}
}

func (m *machine) daemonArgs() []string {
	p, f := m.fleet.ports, m.fleet
	args := []string{
		"run", "--instance", m.name(), "--service", m.service, "--availability-zone", m.zone, "--region", "north",
		"--listen", hostPort(m.publicIP, p.listen), "--peer", hostPort(m.publicIP, p.peer), "--control", hostPort(m.publicIP, p.control),
		"--admin", hostPort(m.publicIP, p.admin), "--ready", hostPort(m.publicIP, p.ready), "--bind", m.bindIP,
		"--upstream", hostPort(m.publicIP, p.worker), "--store", m.storeEndpoint.Addr(), "--bounds", platformtest.Bounds,
		"--assume", "retry", "eject", "spillOver", "handOn", "shed", "slowStart", "quarantine", "loadAware", "probe",
		"--log-format", "json", "--drain-seconds", "1", "--memory-mb", strconv.Itoa(daemonMemoryMB), "--fleet-size", strconv.Itoa(f.cfg.Machines), "--seeds",
	}
	for _, seed := range f.machines[:min(seedCount, len(f.machines))] {
		args = append(args, hostPort(seed.publicIP, p.control))
	}
	return args
}

// signal sends a signal to the daemon, if one is running, and returns the process.
// ends is true for a signal that ends the daemon.
func (m *machine) signal(s syscall.Signal, ends bool) *standin.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return nil
	}
	m.endExpected = m.endExpected || ends
	if err := m.process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		m.fleet.addViolation(Violation{Promise: StaysUp, Detail: err.Error()})
	}
	return m.process
}

// stop sends SIGTERM to the daemon, and kills it if it does not end within stopTimeout.
func (m *machine) stop() {
	p := m.signal(syscall.SIGTERM, true)
	if p == nil {
		return
	}
	select {
	case <-p.Done():
	case <-time.After(stopTimeout):
		m.fleet.addViolation(Violation{Promise: StopsInTime, Detail: m.name() + " did not stop in time and was killed"})
		p.Kill()
	}
}

// close ends the daemon and the upstream, and closes the relays and the store endpoint.
func (m *machine) close() {
	m.signal(syscall.SIGCONT, true)
	if p := m.signal(syscall.SIGKILL, true); p != nil {
		<-p.Done()
	}
	for _, r := range append(m.peerRelays, m.callerRelay) {
		if r != nil {
			r.Close()
		}
	}
	m.endWorker()
	if m.storeEndpoint != nil {
		m.storeEndpoint.Close()
	}
	_ = m.log.Close()
}
