package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/measure"
	"pomelodoor.example/pomelodoor/node"
)

// probeTimeout bounds a probe when the node does not cancel it first.
const probeTimeout = 2 * time.Second

// probing is the one probe of the own upstream that may be under way.
type probing struct {
	mu   sync.Mutex
	stop context.CancelFunc
}

// start reads the upstream's load once, and tells the node.
func (p *probing) start(d *Daemon) {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	p.mu.Lock()
	p.stop = cancel
	p.mu.Unlock()
	go func() {
		defer cancel()
		reading, err := d.readLoad(ctx)
		d.update(node.ProbeEnded{Reading: reading, Err: err})
	}()
}

func (p *probing) cancel() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stop != nil {
		p.stop()
	}
}

// probePath is the path at which the own upstream tells its load.
func (d *Daemon) probePath() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.ProbePath()
}

func (d *Daemon) readLoad(ctx context.Context) (measure.Reading, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetRequestURI(d.probePath())
	req.Header.SetHost(d.self.Service)
	if err := d.upstream.Do(ctx, req, resp); err != nil {
		return measure.Reading{}, fmt.Errorf("probe the upstream: %w", err)
	}
	if resp.IsBodyStream() {
		_ = resp.CloseBodyStream()
		return measure.Reading{}, fmt.Errorf("probe the upstream: %w: long answer", measure.ErrReading)
	}
	reading, err := d.dialect.Probe(resp)
	if err != nil {
		return reading, fmt.Errorf("probe the upstream: %w", err)
	}
	return reading, nil
}
