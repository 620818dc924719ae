package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/standin"
)

// pollTimeout limits one poll of an upstream's load.
const pollTimeout = time.Second

// loadPoller polls the load of every upstream on behalf of every daemon, for policies
// that need the current load of all upstreams.
type loadPoller struct {
	fleet    *Fleet
	interval time.Duration
	ctx      context.Context
	stop     context.CancelFunc
	loops    sync.WaitGroup
	client   fasthttp.Client

	// pollCount is the number of polls, and pollBytes the bytes that they sent and
	// received.
	pollCount, pollBytes atomic.Int64

	mu       sync.Mutex
	readings map[pollKey]loadReading
}

// pollKey identifies the polls of one upstream by one daemon.
type pollKey struct {
	daemon int
	id     string
}

// loadReading is the result of a poll, with the time at which it was received.
type loadReading struct {
	load standin.Load
	at   time.Time
}

func newLoadPoller(f *Fleet) *loadPoller {
	ctx, stop := context.WithCancel(context.Background())
	return &loadPoller{
		fleet: f, interval: f.cfg.Policy.PollInterval, ctx: ctx, stop: stop,
		readings: map[pollKey]loadReading{},
	}
}

// start starts the polling if the policy uses it. The polls of a daemon are spread
// evenly over the interval.
func (p *loadPoller) start() {
	if p.interval <= 0 {
		return
	}
	for daemon := range p.fleet.upstreams {
		for n, u := range p.fleet.upstreams {
			phase := p.interval * time.Duration(n) / time.Duration(len(p.fleet.upstreams))
			p.loops.Go(func() { p.loop(daemon, u, phase) })
		}
	}
}

// loop polls one upstream for one daemon at the configured interval, one poll at a
// time.
func (p *loadPoller) loop(daemon int, u *upstream, phase time.Duration) {
	if wait(p.ctx, phase) != nil {
		return
	}
	for due := time.Now(); ; due = due.Add(p.interval) {
		if wait(p.ctx, time.Until(due)) != nil && p.ctx.Err() != nil {
			return
		}
		load, err := p.poll(daemon, u)
		p.mu.Lock()
		key := pollKey{daemon, u.id}
		if err == nil {
			p.readings[key] = loadReading{load: load, at: time.Now()}
		} else {
			delete(p.readings, key)
		}
		p.mu.Unlock()
		if now := time.Now(); due.Before(now.Add(-p.interval)) {
			due = now
		}
	}
}

// poll reads the load once. Between zones it adds the delay of the link.
func (p *loadPoller) poll(daemon int, u *upstream) (standin.Load, error) {
	var load standin.Load
	from := p.fleet.upstreams[daemon].zone
	delay, connected := p.fleet.links.oneWayDelay(from, u.zone)
	p.pollCount.Add(1)
	if !connected {
		return load, fmt.Errorf("poll %s: %w", u.id, wait(p.ctx, pollTimeout))
	}
	_ = wait(p.ctx, delay)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + u.worker.Addr() + "/load")
	if err := p.client.DoTimeout(req, resp, pollTimeout); err != nil {
		return load, fmt.Errorf("poll %s: %w", u.id, err)
	}
	_ = wait(p.ctx, delay)
	p.pollBytes.Add(int64(len(req.Header.Header()) + len(resp.Header.Header()) + len(resp.Body())))
	if err := json.Unmarshal(resp.Body(), &load); err != nil {
		return load, fmt.Errorf("poll %s: %w", u.id, err)
	}
	return load, nil
}

// lastLoad returns the result of a daemon's last poll of an upstream, and the time at
// which it was received. ok is false if there is none or the last poll failed.
func (p *loadPoller) lastLoad(daemon int, id string) (load standin.Load, at time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.readings[pollKey{daemon, id}]
	return r.load, r.at, ok
}

func (p *loadPoller) close() {
	p.stop()
	p.loops.Wait()
}
