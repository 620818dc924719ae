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

// maxWatch bounds how long a watch may wait.
const maxWatch = 60 * time.Second

// indexAnswer is the answer of /v1/index.
type indexAnswer struct {
	Version uint64     `json:"version"`
	Keys    []indexKey `json:"keys"`
}

type indexKey struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// listAnswer is the answer of /v1/instances.
type listAnswer struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// handle serves readers and drivers.
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
	time.Sleep(p.answerTime)
	if !p.available(ctx) {
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

// available answers a read during an outage and reports whether there is none.
func (p *Platform) available(ctx *fasthttp.RequestCtx) bool {
	give := time.NewTimer(maxWatch)
	defer give.Stop()
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
		case <-give.C:
			ctx.Error("outage", fasthttp.StatusGatewayTimeout)
			return false
		}
	}
}

// A view returns what a watch would answer, its version, and how long until
// that changes by itself (0 when it does not). p.mu is held.
type view func(after uint64, now time.Time) (answer any, version uint64, due time.Duration)

// watch answers when the view is newer than the version that the reader has,
// or when the reader's waiting time is over.
func (p *Platform) watch(ctx *fasthttp.RequestCtx, see view) {
	after, err := strconv.ParseUint(cmp.Or(string(ctx.QueryArgs().Peek("after")), "0"), 10, 64)
	if err != nil {
		ctx.Error("after is not a version", fasthttp.StatusBadRequest)
		return
	}
	waitMs := min(ctx.QueryArgs().GetUintOrZero("waitMs"), int(maxWatch/time.Millisecond))
	end := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	p.reads.wait(1)
	defer p.reads.wait(-1)
	for {
		now := time.Now()
		p.mu.Lock()
		answer, version, due := see(after, now)
		changed, outage := p.changed, p.outage
		p.mu.Unlock()
		if outage != OutageOff {
			if !p.available(ctx) {
				return
			}
			continue
		}
		if version > after || !now.Before(end) {
			writeJSON(ctx, answer)
			return
		}
		if !p.waitChange(changed, due, end.Sub(now)) {
			return
		}
	}
}

// waitChange waits for a change, for the next due view or for the end of the
// watch. It returns false when the platform closes.
func (p *Platform) waitChange(changed chan struct{}, due, left time.Duration) bool {
	if due > 0 {
		left = min(left, due)
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-p.closed:
		return false
	}
	return true
}

// index is the view of the documents' versions.
func (p *Platform) index(after uint64, _ time.Time) (any, uint64, time.Duration) {
	values := p.visibleValues()
	keys := []indexKey{}
	for k, v := range values.byKey {
		if v.version > after {
			keys = append(keys, indexKey{Key: k, Version: v.version})
		}
	}
	slices.SortFunc(keys, func(a, b indexKey) int { return cmp.Compare(a.Key, b.Key) })
	return indexAnswer{Version: values.version, Keys: keys}, values.version, 0
}

// instances is the view of the lagging list.
func (p *Platform) instances(_ uint64, now time.Time) (any, uint64, time.Duration) {
	list, due := p.visibleList(now)
	out := make([]Instance, 0, len(list.byID))
	for _, in := range list.byID {
		out = append(out, in)
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return listAnswer{Version: list.version, Instances: out}, list.version, due
}

// value answers one document.
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

// writeJSON answers with a JSON document.
func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
