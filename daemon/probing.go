package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/exchange"
	"pomelodoor.example/pomelodoor/measure"
	"pomelodoor.example/pomelodoor/node"
)

// probeTimeout limits a probe that the node does not cancel earlier.
const probeTimeout = 2 * time.Second

// maxProbeBytes limits the body of a response to a probe.
const maxProbeBytes = 64 << 10

// prober runs probes of the local upstream, at most one at a time.
type prober struct {
	mu   sync.Mutex
	stop context.CancelFunc
}

// start probes the upstream once in the background and reports the result to the
// node.
func (p *prober) start(d *Daemon) {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	p.mu.Lock()
	p.stop = cancel
	p.mu.Unlock()
	go func() {
		defer cancel()
		reading, err := d.probeUpstream(ctx)
		d.update(node.ProbeEnded{Reading: reading, Err: err})
	}()
}

func (p *prober) cancel() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stop != nil {
		p.stop()
	}
}

// probePath returns the path at which the local upstream reports its load.
func (d *Daemon) probePath() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.ProbePath()
}

func (d *Daemon) probeUpstream(ctx context.Context) (measure.Reading, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetRequestURI(d.probePath())
	req.Header.SetHost(d.self.Service)
	if err := d.upstream.Do(ctx, req, resp); err != nil {
		return measure.Reading{}, fmt.Errorf("probe the upstream: %w", err)
	}
	if resp.IsBodyStream() {
		// A body without a length is streamed, however short it is.
		body, err := exchange.ReadBody(resp, maxProbeBytes)
		if err != nil {
			return measure.Reading{}, fmt.Errorf("probe the upstream: %w: %w", measure.ErrReading, err)
		}
		resp.SetBodyRaw(body)
	}
	reading, err := d.dialect.ParseProbe(resp)
	if err != nil {
		return reading, fmt.Errorf("probe the upstream: %w", err)
	}
	return reading, nil
}
