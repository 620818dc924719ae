package standin

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
)

// Defaults and limits of a caller.
const (
	defaultRatePerSecond = 100.0
	defaultDeadline      = 2 * time.Second
	defaultMaxInFlight   = 2000
	maxRunTime           = 10 * time.Minute
	// responseGrace is how long a caller waits beyond the deadline, to receive
	// the outcome of the request.
	responseGrace = 300 * time.Millisecond
	// maxLatencyUs is the largest latency that histograms track, in
	// microseconds.
	maxLatencyUs = 120_000_000
	extraAnswer  = 64 << 10
)

// Errors of a caller's configuration.
var (
	ErrNoTarget  = errors.New("no target")
	ErrNoService = errors.New("no service")
)

// ResendPolicy configures resends: at most MaxResends of them, each after Delay. A
// request is resent if its connection failed or if its outcome is notRun with
// status 503; when the outcome is unknown, only if it is idempotent or has a
// key. Each resend goes to the next target.
type ResendPolicy struct {
	MaxResends int
	Delay      time.Duration
}

// CallerConfig configures a Caller. Zero values mean the defaults.
type CallerConfig struct {
	// Name is sent as Pomelodoor-Caller, Service as Host.
	Name, Service string
	// Targets are the addresses of daemons, or of workers if Direct is set.
	Targets []string
	Direct  bool
	// RatePerSecond is the number of requests per second, sent for Duration.
	RatePerSecond float64
	Duration      time.Duration
	Mix           Mix
	Deadline      time.Duration
	Resend        ResendPolicy
	// MaxInFlight limits the concurrent requests. Requests beyond it are
	// skipped and counted.
	MaxInFlight int
	// Seed makes the sequence of requests reproducible.
	Seed uint64
}

// Caller generates open-loop load, checks each response and keeps the history.
type Caller struct {
	cfg     CallerConfig
	clients map[string]*fasthttp.HostClient
}

// Result holds the observations of a caller.
type Result struct {
	History []Exchange
	// Latency is the time in microseconds from the intended send time of a
	// request to its verified response, including all resends.
	Latency *hdrhistogram.Histogram
	// Succeeded counts the requests with a complete and correct response, and
	// Skipped those not sent because too many were in flight.
	Succeeded, Sent, Skipped int
}

// NewCaller validates the configuration and returns a caller.
func NewCaller(cfg CallerConfig) (*Caller, error) {
	if len(cfg.Targets) == 0 {
		return nil, fmt.Errorf("new caller: %w", ErrNoTarget)
	}
	if cfg.Service == "" {
		return nil, fmt.Errorf("new caller: %w", ErrNoService)
	}
	cfg.Name = cmp.Or(cfg.Name, "standin")
	cfg.RatePerSecond = cmp.Or(cfg.RatePerSecond, defaultRatePerSecond)
	cfg.Deadline = cmp.Or(cfg.Deadline, defaultDeadline)
	cfg.MaxInFlight = cmp.Or(cfg.MaxInFlight, defaultMaxInFlight)
	cfg.Mix = cmp.Or(cfg.Mix, DefaultMix())
	cfg.Duration = min(cfg.Duration, maxRunTime)
	c := &Caller{cfg: cfg, clients: map[string]*fasthttp.HostClient{}}
	for _, addr := range cfg.Targets {
		if err := checkLoopback(addr); err != nil {
			return nil, fmt.Errorf("new caller: %w", err)
		}
		c.clients[addr] = newClient(addr, cfg.MaxInFlight)
	}
	return c, nil
}

// newClient returns a client that reuses connections and never retries a
// request by itself, since hidden retries would falsify the history.
func newClient(addr string, conns int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		MaxConns:                  conns,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
}

// Close closes the idle connections.
func (c *Caller) Close() {
	for _, client := range c.clients {
		client.CloseIdleConnections()
	}
}

// Run generates load until its duration has passed or ctx is done, and waits
// for the outstanding responses.
func (c *Caller) Run(ctx context.Context) Result {
	rng := rand.New(rand.NewPCG(c.cfg.Seed, 1))
	prefix := fmt.Sprintf("%s-%x", c.cfg.Name, rng.Uint32())
	results := newResultCollector()
	var pending sync.WaitGroup
	var inFlight atomic.Int64
	start := time.Now()
	due := time.Duration(0)
	for n := 0; ; n++ {
		due += time.Duration(rng.ExpFloat64() / c.cfg.RatePerSecond * float64(time.Second))
		at := start.Add(due)
		if due > c.cfg.Duration || !sleepUntil(ctx, at) {
			break
		}
		r := c.cfg.Mix.draw(rng, prefix, n, time.Now())
		r.Deadline = c.cfg.Deadline
		if inFlight.Add(1) > int64(c.cfg.MaxInFlight) {
			inFlight.Add(-1)
			results.skip()
			continue
		}
		pending.Go(func() {
			defer inFlight.Add(-1)
			results.add(c.SendWithResends(ctx, r, n, at))
		})
	}
	pending.Wait()
	return results.result()
}

// SendWithResends sends a request to the target with index first and resends it
// as CallerConfig.Resend allows. It returns all exchanges of the request.
func (c *Caller) SendWithResends(ctx context.Context, r Request, first int, intended time.Time) []Exchange {
	var history []Exchange
	if r.FetchKey {
		if keyExchange, ok := c.fetchKeyFromAny(first, &r); !ok {
			keyExchange.IntendedUs = intended.UnixMicro()
			return []Exchange{keyExchange}
		}
	}
	for send := 0; ; send++ {
		target := c.target(first + send)
		x := c.Send(target, r, send)
		x.IntendedUs = intended.UnixMicro()
		history = append(history, x)
		if send >= c.cfg.Resend.MaxResends || !shouldResend(r, x) {
			return history
		}
		if !sleepUntil(ctx, time.Now().Add(c.cfg.Resend.Delay)) {
			return history
		}
	}
}

// Send sends a request once. send is the number of times it was sent before.
func (c *Caller) Send(target string, r Request, send int) Exchange {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r.fill(req, c.cfg.Service, c.cfg.Name, send)
	resp.SkipBody = r.Method == fasthttp.MethodHead
	x := Exchange{
		Token: r.Token, Send: send, Key: r.Key, Method: r.Method, Target: target,
		StartUs: time.Now().UnixMicro(),
	}
	x.IntendedUs = x.StartUs
	err := c.client(target).DoTimeout(req, resp, r.responseTimeout())
	x.EndUs = time.Now().UnixMicro()
	if err != nil {
		x.setError(err)
		return x
	}
	x.setResponse(r, resp, c.cfg.Direct)
	return x
}

// target returns the address for the nth send, in round-robin order.
func (c *Caller) target(n int) string {
	return c.cfg.Targets[n%len(c.cfg.Targets)]
}

// client returns the client for a target.
func (c *Caller) client(target string) *fasthttp.HostClient {
	if client, ok := c.clients[target]; ok {
		return client
	}
	return newClient(target, 1)
}

// shouldResend reports whether resending the request is allowed and useful.
func shouldResend(r Request, x Exchange) bool {
	switch {
	case x.Verdict == VerdictOK || x.Verdict == VerdictInvalid || x.Verdict == VerdictUpstreamError:
		return false
	case x.Outcome == call.Run:
		return false
	case x.Outcome == call.NotRun:
		return x.Status == fasthttp.StatusServiceUnavailable
	case x.NotSent:
		return true
	}
	return r.Idempotent() || r.Key != ""
}

// resultCollector collects the results of concurrent requests.
type resultCollector struct {
	mu  sync.Mutex
	out Result
}

func newResultCollector() *resultCollector {
	return &resultCollector{out: Result{Latency: NewLatencyHistogram()}}
}

// NewLatencyHistogram returns an empty histogram of latencies in microseconds.
func NewLatencyHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyUs, 3) }

// add records the exchanges of one request.
func (c *resultCollector) add(history []Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := history[len(history)-1]
	c.out.History = append(c.out.History, history...)
	c.out.Sent++
	if last.Verdict == VerdictOK {
		c.out.Succeeded++
		_ = c.out.Latency.RecordValue(last.EndUs - last.IntendedUs)
	}
}

// skip counts a request that was not sent.
func (c *resultCollector) skip() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out.Skipped++
}

// result returns the collected results.
func (c *resultCollector) result() Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out
}

// sleepUntil waits until a point in time. It returns false if ctx is done
// earlier.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
