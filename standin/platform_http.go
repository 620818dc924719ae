package standin

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// maxWatchTime limits how long a watch may wait.
const maxWatchTime = 60 * time.Second

// indexResponse is the response of /v1/index.
type indexResponse struct {
	Version uint64     `json:"version"`
	Keys    []indexKey `json:"keys"`
}

type indexKey struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// instancesResponse is the response of /v1/instances.
type instancesResponse struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// handle serves requests from readers and, under /admin/, from tests.
func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if rest, ok := strings.CutPrefix(path, "/admin/"); ok {
		p.handleAdmin(ctx, rest)
		return
	}
	rest, ok := strings.CutPrefix(path, "/v1/")
	if !ok || !ctx.IsGet() {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	kind, key, _ := strings.Cut(rest, "/")
	p.reads.add(kind, time.Now())
	time.Sleep(p.readTime)
	if !p.waitAvailable(ctx) {
		return
	}
	switch kind {
	case "index":
		p.watch(ctx, p.index)
	case "instances":
		p.watch(ctx, p.instances)
	case "values":
		p.value(ctx, key)
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

// waitAvailable returns true if there is no outage. During a hang it waits for
// the end of the outage. If it returns false, it has responded with an error or
// the platform is closed.
func (p *Platform) waitAvailable(ctx *fasthttp.RequestCtx) bool {
	timeout := time.NewTimer(maxWatchTime)
	defer timeout.Stop()
	for {
		p.mu.Lock()
		outage, changed := p.outage, p.changed
		p.mu.Unlock()
		switch outage {
		case OutageOff:
			return true
		case OutageRefuse:
			ctx.Error("outage", fasthttp.StatusServiceUnavailable)
			return false
		}
		select {
		case <-changed:
		case <-p.closed:
			return false
		case <-timeout.C:
			ctx.Error("outage", fasthttp.StatusGatewayTimeout)
			return false
		}
	}
}

// A watchFunc returns the response to a watch, its version, and the time until
// it changes without an update (0 if it does not). p.mu must be held.
type watchFunc func(after uint64, now time.Time) (response any, version uint64, due time.Duration)

// watch responds when the version of view is newer than the reader's version, or
// when the reader's wait time has passed.
func (p *Platform) watch(ctx *fasthttp.RequestCtx, view watchFunc) {
	after, err := strconv.ParseUint(cmp.Or(string(ctx.QueryArgs().Peek("after")), "0"), 10, 64)
	if err != nil {
		ctx.Error("after is not a version", fasthttp.StatusBadRequest)
		return
	}
	waitMs := min(ctx.QueryArgs().GetUintOrZero("waitMs"), int(maxWatchTime/time.Millisecond))
	deadline := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	p.reads.addWaiting(1)
	defer p.reads.addWaiting(-1)
	for {
		now := time.Now()
		p.mu.Lock()
		response, version, due := view(after, now)
		changed, outage := p.changed, p.outage
		p.mu.Unlock()
		if outage != OutageOff {
			if !p.waitAvailable(ctx) {
				return
			}
			continue
		}
		if version > after || !now.Before(deadline) {
			writeJSON(ctx, response)
			return
		}
		if !p.waitForChange(changed, due, deadline.Sub(now)) {
			return
		}
	}
}

// waitForChange waits for an update, at most until due (if not 0) or maxWait has
// passed. It returns false if the platform is closed.
func (p *Platform) waitForChange(changed chan struct{}, due, maxWait time.Duration) bool {
	if due > 0 {
		maxWait = min(maxWait, due)
	}
	t := time.NewTimer(maxWait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-p.closed:
		return false
	}
	return true
}

// index is the watchFunc for the versions of the documents.
func (p *Platform) index(after uint64, _ time.Time) (any, uint64, time.Duration) {
	values := p.visibleValues()
	keys := []indexKey{}
	for k, v := range values.byKey {
		if v.version > after {
			keys = append(keys, indexKey{Key: k, Version: v.version})
		}
	}
	slices.SortFunc(keys, func(a, b indexKey) int { return cmp.Compare(a.Key, b.Key) })
	return indexResponse{Version: values.version, Keys: keys}, values.version, 0
}

// instances is the watchFunc for the lagging instance list.
func (p *Platform) instances(_ uint64, now time.Time) (any, uint64, time.Duration) {
	list, due := p.visibleList(now)
	out := make([]Instance, 0, len(list.byID))
	for _, in := range list.byID {
		out = append(out, in)
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instancesResponse{Version: list.version, Instances: out}, list.version, due
}

// value responds with one document.
func (p *Platform) value(ctx *fasthttp.RequestCtx, key string) {
	p.mu.Lock()
	v, ok := p.visibleValues().byKey[key]
	p.mu.Unlock()
	if !ok {
		ctx.Error("no such key", fasthttp.StatusNotFound)
		return
	}
	ctx.Response.Header.Set("X-Version", strconv.FormatUint(v.version, 10))
	ctx.SetContentType("application/json")
	ctx.SetBody(v.body)
}

// writeJSON responds with v encoded as JSON.
func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
