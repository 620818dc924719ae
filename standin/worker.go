package standin

import (
	"cmp"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Defaults of a worker, from the users' description of theirs.
const (
	defaultSlots       = 12
	defaultConns       = 240
	defaultServiceTime = 2 * time.Millisecond
	defaultProbeTime   = time.Millisecond
	defaultOpenTime    = time.Millisecond
	defaultColdTime    = 5 * time.Second
	coldFactor         = 10.0
	failFastTime       = 200 * time.Microsecond
)

// LoadState is the state that a worker reports.
type LoadState string

// The states of a worker.
const (
	Serving  LoadState = "serving"
	Draining LoadState = "draining"
	Cold     LoadState = "cold"
)

// Load is the answer of GET /load.
type Load struct {
	State    LoadState `json:"state"`
	InFlight int       `json:"inFlight"`
	Slots    int       `json:"slots"`
}

// WorkerConfig configures a Worker. Zero values mean the defaults.
type WorkerConfig struct {
	// ID names the worker in its record.
	ID string
	// Listen and Admin are loopback addresses; empty means any free port. The
	// admin address goes on answering while the worker is crashed.
	Listen, Admin string
	// Slots is how many requests run at once; further ones wait in order.
	Slots int
	// Conns is how many connections the worker serves at once.
	Conns int
	// ServiceTime is the mean time that a request holds a slot.
	ServiceTime time.Duration
	// ProbeTime is how long GET /load takes.
	ProbeTime time.Duration
	// LoadLag is the age of what GET /load reports.
	LoadLag time.Duration
	// OpenTime is how long a new connection takes.
	OpenTime time.Duration
	// ColdTime is how long a cold start lasts.
	ColdTime time.Duration
	// Restart is how long a crashed worker stays away; 0 means for good.
	Restart time.Duration
	// Seed makes the jitter of the service time repeat.
	Seed uint64
	// Ended is told the token of each request that the worker is done with,
	// just before its answer leaves; nil tells nobody.
	Ended func(token string)
}

// Worker stands in for an upstream instance.
type Worker struct {
	cfg    WorkerConfig
	slots  chan struct{}
	admin  *Listener
	record record
	load   lagged
	rand   *jitter
	// inFlight counts running and waiting requests.
	inFlight atomic.Int64
	closed   chan struct{}

	mu       sync.Mutex
	serving  *Listener
	factor   float64
	failFast bool
	draining bool
	coldEnd  time.Time
	crashes  int
	isClosed bool
}

// NewWorker starts a worker.
func NewWorker(cfg WorkerConfig) (*Worker, error) {
	cfg = cfg.withDefaults()
	w := &Worker{
		cfg:    cfg,
		slots:  make(chan struct{}, cfg.Slots),
		rand:   newJitter(cfg.Seed),
		closed: make(chan struct{}),
		factor: 1,
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
	w.cfg.Listen = w.serving.Addr().String()
	go func() { _ = newWorkerServer(w.handleAdminOnly, 0).Serve(admin) }()
	go w.sampleLoad()
	return w, nil
}

// withDefaults fills in what was left out.
func (c WorkerConfig) withDefaults() WorkerConfig {
	c.Slots = cmp.Or(c.Slots, defaultSlots)
	c.Conns = cmp.Or(c.Conns, defaultConns)
	c.ServiceTime = cmp.Or(c.ServiceTime, defaultServiceTime)
	c.ProbeTime = cmp.Or(c.ProbeTime, defaultProbeTime)
	c.OpenTime = cmp.Or(c.OpenTime, defaultOpenTime)
	c.ColdTime = cmp.Or(c.ColdTime, defaultColdTime)
	if c.Ended == nil {
		c.Ended = func(string) {}
	}
	return c
}

// serve opens the worker's address.
func (w *Worker) serve(addr string) error {
	l, err := Listen(addr, w.cfg.OpenTime)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isClosed {
		l.Kill()
		return nil
	}
	w.serving = l
	go func() { _ = newWorkerServer(w.handle, w.cfg.Conns).Serve(l) }()
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
		Logger:                       quiet{},
	}
}

// ID returns the worker's name.
func (w *Worker) ID() string { return w.cfg.ID }

// Addr returns the address that the worker serves.
func (w *Worker) Addr() string { return w.cfg.Listen }

// AdminAddr returns the address that drivers use.
func (w *Worker) AdminAddr() string { return w.admin.Addr().String() }

// Executions returns the record so far.
func (w *Worker) Executions() []Execution {
	all, _ := w.record.copy()
	return all
}

// SetFactor multiplies the service time from now on.
func (w *Worker) SetFactor(f float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.factor = f
}

// SetFailFast makes the worker answer 500 at once, or ends that.
func (w *Worker) SetFailFast(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failFast = on
}

// SetDrain makes the worker report that it drains, or ends that. It goes on
// serving what it gets, so that its record shows new work.
func (w *Worker) SetDrain(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = on
}

// SetCold makes the worker slow now and faster from then on, as after a start,
// or ends that.
func (w *Worker) SetCold(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldEnd = time.Time{}
	if on {
		w.coldEnd = time.Now().Add(w.cfg.ColdTime)
	}
}

// Crash closes the worker's address and every connection, as a process that
// dies. The record stays.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.crashes++
	l := w.serving
	w.mu.Unlock()
	l.Kill()
	if w.cfg.Restart > 0 {
		go w.restart()
	}
}

// Crashes returns how many times the worker crashed.
func (w *Worker) Crashes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes
}

// restart opens the worker's address again after its time away.
func (w *Worker) restart() {
	if !w.sleep(w.cfg.Restart) {
		return
	}
	if w.serve(w.cfg.Listen) == nil {
		w.SetCold(true)
	}
}

// Close ends the worker. Its record stays. It may be called again.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isClosed {
		return
	}
	w.isClosed = true
	close(w.closed)
	w.admin.Kill()
	w.serving.Kill()
}

// sleep waits for d and returns false when the worker closes before.
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

// slowness returns what the service time is multiplied with now, and whether
// the worker fails fast.
func (w *Worker) slowness(now time.Time) (factor float64, failFast bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	factor = w.factor
	if left := w.coldEnd.Sub(now); left > 0 {
		factor *= 1 + (coldFactor-1)*float64(left)/float64(w.cfg.ColdTime)
	}
	return factor, w.failFast
}

// state returns the state that the worker reports.
func (w *Worker) state(now time.Time) LoadState {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.draining:
		return Draining
	case now.Before(w.coldEnd):
		return Cold
	}
	return Serving
}
