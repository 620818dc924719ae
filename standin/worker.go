package standin

import (
	"cmp"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Defaults of a worker, taken from the users' description of their workers.
const (
	defaultSlots       = 12
	defaultMaxConns    = 240
	defaultServiceTime = 2 * time.Millisecond
	defaultProbeTime   = time.Millisecond
	defaultOpenDelay   = time.Millisecond
	defaultColdTime    = 5 * time.Second
	coldFactor         = 10.0
	failFastDelay      = 200 * time.Microsecond
)

// LoadState is the state reported by a worker.
type LoadState string

// The states of a worker.
const (
	Serving  LoadState = "serving"
	Draining LoadState = "draining"
	Cold     LoadState = "cold"
)

// Load is the response of GET /load.
type Load struct {
	State    LoadState `json:"state"`
	InFlight int       `json:"inFlight"`
	Slots    int       `json:"slots"`
}

// WorkerConfig configures a Worker. Zero values mean the defaults.
type WorkerConfig struct {
	// ID identifies the worker in its executions.
	ID string
	// Listen and Admin are loopback addresses; empty selects a free port. The
	// admin address keeps responding while the worker is crashed.
	Listen, Admin string
	// Slots is the number of requests that run concurrently; further ones are
	// queued in order.
	Slots int
	// MaxConns is the number of connections that the worker serves concurrently.
	MaxConns int
	// ServiceTime is the mean time that a request holds a slot.
	ServiceTime time.Duration
	// ProbeTime is the duration of GET /load.
	ProbeTime time.Duration
	// LoadLag is the age of the load reported by GET /load.
	LoadLag time.Duration
	// OpenDelay delays the first read of a new connection.
	OpenDelay time.Duration
	// ColdTime is the duration of a cold start.
	ColdTime time.Duration
	// RestartDelay is the time until a crashed worker restarts; 0 means never.
	RestartDelay time.Duration
	// Seed makes the jitter of the service time reproducible.
	Seed uint64
	// OnFinished, if not nil, is called with the token of each finished request,
	// just before its response is sent.
	OnFinished func(token string)
}

// Worker is a stand-in for an upstream instance.
type Worker struct {
	cfg    WorkerConfig
	slots  chan struct{}
	admin  *Listener
	log    executionLog
	loads  loadHistory
	jitter *jitter
	// inFlight counts running and queued requests.
	inFlight atomic.Int64
	closed   chan struct{}

	mu                sync.Mutex
	listener          *Listener
	serviceTimeFactor float64
	failFast          bool
	draining          bool
	coldUntil         time.Time
	crashes           int
	isClosed          bool
}

// NewWorker starts a worker.
func NewWorker(cfg WorkerConfig) (*Worker, error) {
	cfg = cfg.withDefaults()
	w := &Worker{
		cfg:               cfg,
		slots:             make(chan struct{}, cfg.Slots),
		jitter:            newJitter(cfg.Seed),
		closed:            make(chan struct{}),
		serviceTimeFactor: 1,
	}
	admin, err := Listen(cfg.Admin, 0)
	if err != nil {
		return nil, fmt.Errorf("start worker: %w", err)
	}
	w.admin = admin
	if err := w.serve(cfg.Listen); err != nil {
		admin.Kill()
		return nil, fmt.Errorf("start worker: %w", err)
	}
	w.cfg.Listen = w.listener.Addr().String()
	go func() { _ = newWorkerServer(w.handleAdminOnly, 0).Serve(admin) }()
	go w.sampleLoad()
	return w, nil
}

// withDefaults returns the configuration with defaults for zero values.
func (c WorkerConfig) withDefaults() WorkerConfig {
	c.Slots = cmp.Or(c.Slots, defaultSlots)
	c.MaxConns = cmp.Or(c.MaxConns, defaultMaxConns)
	c.ServiceTime = cmp.Or(c.ServiceTime, defaultServiceTime)
	c.ProbeTime = cmp.Or(c.ProbeTime, defaultProbeTime)
	c.OpenDelay = cmp.Or(c.OpenDelay, defaultOpenDelay)
	c.ColdTime = cmp.Or(c.ColdTime, defaultColdTime)
	if c.OnFinished == nil {
		c.OnFinished = func(string) {}
	}
	return c
}

// serve listens on addr and serves requests.
func (w *Worker) serve(addr string) error {
	l, err := Listen(addr, w.cfg.OpenDelay)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isClosed {
		l.Kill()
		return nil
	}
	w.listener = l
	go func() { _ = newWorkerServer(w.handle, w.cfg.MaxConns).Serve(l) }()
	return nil
}

// newWorkerServer returns a server that streams request bodies.
func newWorkerServer(handle fasthttp.RequestHandler, conns int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      handle,
		Concurrency:                  conns,
		StreamRequestBody:            true,
		MaxRequestBodySize:           64 << 10,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		Logger:                       discardLogger{},
	}
}

// ID returns the worker's ID.
func (w *Worker) ID() string { return w.cfg.ID }

// Addr returns the address on which the worker serves requests.
func (w *Worker) Addr() string { return w.cfg.Listen }

// AdminAddr returns the address for admin requests from tests.
func (w *Worker) AdminAddr() string { return w.admin.Addr().String() }

// Executions returns the executions recorded so far.
func (w *Worker) Executions() []Execution {
	executions, _ := w.log.snapshot()
	return executions
}

// SetServiceTimeFactor sets the factor by which the service time is multiplied.
func (w *Worker) SetServiceTimeFactor(f float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serviceTimeFactor = f
}

// SetFailFast makes the worker respond with status 500 after failFastDelay, or
// ends that.
func (w *Worker) SetFailFast(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failFast = on
}

// SetDrain makes the worker report that it is draining, or ends that. It keeps
// serving requests, so that its executions show new work.
func (w *Worker) SetDrain(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = on
}

// SetCold makes the worker slow at first and gradually faster, as after a cold
// start, or ends that.
func (w *Worker) SetCold(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldUntil = time.Time{}
	if on {
		w.coldUntil = time.Now().Add(w.cfg.ColdTime)
	}
}

// Crash closes the listener and resets all its connections, as the end of a
// process would. The executions are kept.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.crashes++
	l := w.listener
	w.mu.Unlock()
	l.Kill()
	if w.cfg.RestartDelay > 0 {
		go w.restart()
	}
}

// Crashes returns the number of times that the worker crashed.
func (w *Worker) Crashes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes
}

// restart makes the worker listen again after RestartDelay, with a cold
// start.
func (w *Worker) restart() {
	if !w.sleep(w.cfg.RestartDelay) {
		return
	}
	if w.serve(w.cfg.Listen) == nil {
		w.SetCold(true)
	}
}

// Close stops the worker and keeps its executions. It may be called more than
// once.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isClosed {
		return
	}
	w.isClosed = true
	close(w.closed)
	w.admin.Kill()
	w.listener.Kill()
}

// sleep waits for d. It returns false if the worker is closed earlier.
func (w *Worker) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.closed:
		return false
	}
}

// slowdown returns the factor by which the service time is currently multiplied,
// and whether the worker fails fast.
func (w *Worker) slowdown(now time.Time) (factor float64, failFast bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	factor = w.serviceTimeFactor
	if left := w.coldUntil.Sub(now); left > 0 {
		factor *= 1 + (coldFactor-1)*float64(left)/float64(w.cfg.ColdTime)
	}
	return factor, w.failFast
}

// state returns the state reported by the worker.
func (w *Worker) state(now time.Time) LoadState {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.draining:
		return Draining
	case now.Before(w.coldUntil):
		return Cold
	}
	return Serving
}
