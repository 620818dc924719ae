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

// Defaults and bounds of a caller.
const (
	defaultRate     = 100.0
	defaultDeadline = 2 * time.Second
	defaultInFlight = 2000
	maxRun          = 10 * time.Minute
	// answerGrace is how much longer than the deadline a caller listens, to
	// hear what became of the request.
	answerGrace = 300 * time.Millisecond
	// longestLatency is the largest latency that is told apart, in
	// microseconds.
	longestLatency = 120_000_000
	extraAnswer    = 64 << 10
)

// Errors of a caller's configuration.
var (
	ErrNoTarget  = errors.New("no target")
	ErrNoService = errors.New("no service")
)

// Resend says how often and how soon a request is sent again. A request that
// is told notRun, or found no connection, goes out again; one whose outcome is
// unknown only if it is idempotent or has a key. Each time it goes to the next
// target.
type Resend struct {
	Max  int
	Wait time.Duration
}

// CallerConfig configures a Caller. Zero values mean the defaults.
type CallerConfig struct {
	// Name is sent as Pomelodoor-Caller, and Service as Host.
	Name, Service string
	// Targets are the addresses called: daemons, or workers when Direct.
	Targets []string
	Direct  bool
	// Rate is in requests a second, for the time Duration.
	Rate     float64
	Duration time.Duration
	Mix      Mix
	Deadline time.Duration
	Resend   Resend
	// InFlight bounds the requests under way at once; those beyond are
	// counted, not sent.
	InFlight int
	// Seed makes the sequence of requests repeat.
	Seed uint64
}

// Caller offers load at a rate that does not wait for answers, checks each
// answer and keeps the history.
type Caller struct {
	cfg     CallerConfig
	clients map[string]*fasthttp.HostClient
}

// Result is what a caller saw.
type Result struct {
	History []Exchange
	// Latency counts microseconds from the moment at which a request should
	// have been sent to its verified answer, over all its sendings.
	Latency *hdrhistogram.Histogram
	// Answered counts requests with a whole answer of their own, and Skipped
	// those not sent since too many were under way.
	Answered, Sent, Skipped int
}

// NewCaller checks the configuration and returns a caller.
func NewCaller(cfg CallerConfig) (*Caller, error) {
	if len(cfg.Targets) == 0 {
		return nil, fmt.Errorf("new caller: %w", ErrNoTarget)
	}
	if cfg.Service == "" {
		return nil, fmt.Errorf("new caller: %w", ErrNoService)
	}
	cfg.Name = cmp.Or(cfg.Name, "standin")
	cfg.Rate = cmp.Or(cfg.Rate, defaultRate)
	cfg.Deadline = cmp.Or(cfg.Deadline, defaultDeadline)
	cfg.InFlight = cmp.Or(cfg.InFlight, defaultInFlight)
	cfg.Mix = cmp.Or(cfg.Mix, DefaultMix())
	cfg.Duration = min(cfg.Duration, maxRun)
	c := &Caller{cfg: cfg, clients: map[string]*fasthttp.HostClient{}}
	for _, addr := range cfg.Targets {
		if err := checkLoopback(addr); err != nil {
			return nil, fmt.Errorf("new caller: %w", err)
		}
		c.clients[addr] = newClient(addr, cfg.InFlight)
	}
	return c, nil
}

// newClient returns a client that keeps connections and never sends a request
// twice by itself, which would falsify the record.
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

// Close drops the idle connections.
func (c *Caller) Close() {
	for _, client := range c.clients {
		client.CloseIdleConnections()
	}
}

// Run offers the load until its time is over or ctx ends, and waits for the
// last answers.
func (c *Caller) Run(ctx context.Context) Result {
	rng := rand.New(rand.NewPCG(c.cfg.Seed, 1))
	prefix := fmt.Sprintf("%s-%x", c.cfg.Name, rng.Uint32())
	log := newResultLog()
	var under sync.WaitGroup
	var inFlight atomic.Int64
	start := time.Now()
	due := time.Duration(0)
	for n := 0; ; n++ {
		due += time.Duration(rng.ExpFloat64() / c.cfg.Rate * float64(time.Second))
		at := start.Add(due)
		if due > c.cfg.Duration || !sleepUntil(ctx, at) {
			break
		}
		r := c.cfg.Mix.draw(rng, prefix, n, time.Now())
		r.Deadline = c.cfg.Deadline
		if inFlight.Add(1) > int64(c.cfg.InFlight) {
			inFlight.Add(-1)
			log.skip()
			continue
		}
		under.Go(func() {
			defer inFlight.Add(-1)
			log.add(c.Order(ctx, r, n, at))
		})
	}
	under.Wait()
	return log.result()
}

// Order sends a request, the first time to the target with number first, and
// again as the policy says, until it has an answer.
func (c *Caller) Order(ctx context.Context, r Request, first int, intended time.Time) []Exchange {
	var history []Exchange
	if r.AskKey {
		if asked, ok := c.askAny(first, &r); !ok {
			asked.IntendedUs = intended.UnixMicro()
			return []Exchange{asked}
		}
	}
	for send := 0; ; send++ {
		target := c.target(first + send)
		x := c.Send(target, r, send)
		x.IntendedUs = intended.UnixMicro()
		history = append(history, x)
		if send >= c.cfg.Resend.Max || !mayResend(r, x) {
			return history
		}
		if !sleepUntil(ctx, time.Now().Add(c.cfg.Resend.Wait)) {
			return history
		}
	}
}

// Send sends a request once. send counts the times it was sent before.
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
	err := c.client(target).DoTimeout(req, resp, r.wait())
	x.EndUs = time.Now().UnixMicro()
	if err != nil {
		x.lost(err)
		return x
	}
	x.judge(r, resp, c.cfg.Direct)
	return x
}

// target returns the address that is called at a turn.
func (c *Caller) target(turn int) string {
	return c.cfg.Targets[turn%len(c.cfg.Targets)]
}

// client returns the client of a target.
func (c *Caller) client(target string) *fasthttp.HostClient {
	if client, ok := c.clients[target]; ok {
		return client
	}
	return newClient(target, 1)
}

// mayResend reports whether sending the request again is allowed and of use.
func mayResend(r Request, x Exchange) bool {
	switch {
	case x.Verdict == Fine || x.Verdict == Wrong || x.Verdict == Failed:
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

// resultLog gathers what the requests under way have seen.
type resultLog struct {
	mu  sync.Mutex
	out Result
}

func newResultLog() *resultLog {
	return &resultLog{out: Result{Latency: NewLatency()}}
}

// NewLatency returns an empty histogram of microseconds.
func NewLatency() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestLatency, 3) }

// add notes the exchanges of one request.
func (l *resultLog) add(history []Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := history[len(history)-1]
	l.out.History = append(l.out.History, history...)
	l.out.Sent++
	if last.Verdict == Fine {
		l.out.Answered++
		_ = l.out.Latency.RecordValue(last.EndUs - last.IntendedUs)
	}
}

// skip notes a request that was not sent.
func (l *resultLog) skip() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out.Skipped++
}

// result returns what was gathered.
func (l *resultLog) result() Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out
}

// sleepUntil waits for a moment and returns false when ctx ends before.
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
