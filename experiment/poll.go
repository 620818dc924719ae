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

// pollTimeout bounds one reading of an upstream's load.
const pollTimeout = time.Second

// polls lets each daemon read the load of each upstream itself, as a policy
// that needs fresh load everywhere must.
type polls struct {
	fleet  *Fleet
	every  time.Duration
	ctx    context.Context
	stop   context.CancelFunc
	loops  sync.WaitGroup
	client fasthttp.Client

	// count and bytes are of the readings and of what they sent and received.
	count, bytes atomic.Int64

	mu   sync.Mutex
	read map[polled]reading
}

// polled is one daemon's knowledge of one upstream.
type polled struct {
	daemon int
	id     string
}

// reading is a load and when it came.
type reading struct {
	load standin.Load
	at   time.Time
}

func newPolls(f *Fleet) *polls {
	ctx, stop := context.WithCancel(context.Background())
	return &polls{
		fleet: f, every: f.cfg.Policy.Poll, ctx: ctx, stop: stop,
		read: map[polled]reading{},
	}
}

// start begins to read, if the policy wants it.
func (p *polls) start() {
	if p.every <= 0 {
		return
	}
	for daemon := range p.fleet.upstreams {
		for n, u := range p.fleet.upstreams {
			phase := p.every * time.Duration(n) / time.Duration(len(p.fleet.upstreams))
			p.loops.Go(func() { p.loop(daemon, u, phase) })
		}
	}
}

// loop reads one upstream for one daemon at its pace, never twice at once.
func (p *polls) loop(daemon int, u *upstream, phase time.Duration) {
	if wait(p.ctx, phase) != nil {
		return
	}
	for due := time.Now(); ; due = due.Add(p.every) {
		if wait(p.ctx, time.Until(due)) != nil && p.ctx.Err() != nil {
			return
		}
		load, err := p.poll(daemon, u)
		p.mu.Lock()
		key := polled{daemon, u.id}
		if err == nil {
			p.read[key] = reading{load: load, at: time.Now()}
		} else {
			delete(p.read, key)
		}
		p.mu.Unlock()
		if late := time.Now(); due.Before(late.Add(-p.every)) {
			due = late
		}
	}
}

// poll reads the load once, over the link where there is one.
func (p *polls) poll(daemon int, u *upstream) (standin.Load, error) {
	var load standin.Load
	from := p.fleet.upstreams[daemon].zone
	way, open := p.fleet.links.between(from, u.zone)
	p.count.Add(1)
	if !open {
		return load, fmt.Errorf("poll %s: %w", u.id, wait(p.ctx, pollTimeout))
	}
	_ = wait(p.ctx, way)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + u.worker.Addr() + "/load")
	if err := p.client.DoTimeout(req, resp, pollTimeout); err != nil {
		return load, fmt.Errorf("poll %s: %w", u.id, err)
	}
	_ = wait(p.ctx, way)
	p.bytes.Add(int64(len(req.Header.Header()) + len(resp.Header.Header()) + len(resp.Body())))
	if err := json.Unmarshal(resp.Body(), &load); err != nil {
		return load, fmt.Errorf("poll %s: %w", u.id, err)
	}
	return load, nil
}

// last returns what a daemon last read from an upstream, and when.
func (p *polls) last(daemon int, id string) (load standin.Load, at time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.read[polled{daemon, id}]
	return r.load, r.at, ok
}

func (p *polls) close() {
	p.stop()
	p.loops.Wait()
}
