package ingress

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
)

// The fields of call.HeaderForward. Their names are short because traffic between
// availability zones is expensive. Fields with zero values are omitted.
const (
	fieldSender          = "f"
	fieldTargetDaemon    = "t"
	fieldIncarnation     = "i"
	fieldFingerprint     = "x"
	fieldService         = "s"
	fieldPriority        = "p"
	fieldHops            = "h"
	fieldRepeat          = "r"
	fieldUpstream        = "u"
	fieldRoute           = "n"
	fieldLatencyTargetMs = "g"
	fieldWaitWhenSlow    = "w"
	fieldKeyGranted      = "k"
	fieldRevision        = "v"
	fieldNested          = "c"
	fieldEra             = "ve"
)

// ParseForwarded reads a request that another daemon has forwarded. dialect is that of
// the caller, whose own headers are forwarded with the request.
func ParseForwarded(ctx *fasthttp.RequestCtx, dialect Dialect, now time.Time) (Forwarded, error) {
	native := NativeDialect()
	native.Keys = dialect.Keys
	r, err := ParseCaller(ctx, native, now)
	if err != nil {
		return Forwarded{}, err
	}
	h := &ctx.Request.Header
	r.ID = string(h.Peek(call.HeaderCall))
	if r.ID == "" {
		return Forwarded{}, fmt.Errorf("%w: no call id", ErrRequest)
	}
	r.Token = dialect.Token(h)
	fields, err := url.ParseQuery(string(h.Peek(call.HeaderForward)))
	if err != nil {
		return Forwarded{}, fmt.Errorf("%w: %s: %w", ErrRequest, call.HeaderForward, err)
	}
	f := Forwarded{Request: r, From: fields.Get(fieldSender), Target: fields.Get(fieldTargetDaemon)}
	return f, f.parseFields(fields, now)
}

// parseFields fills in the fields that the sending daemon has set.
func (f *Forwarded) parseFields(fields url.Values, now time.Time) error {
	r := &f.Request
	if service := fields.Get(fieldService); service != "" {
		r.Service = service
	}
	r.Priority = call.Priority(fields.Get(fieldPriority))
	r.Repeat = call.Repeat(fields.Get(fieldRepeat))
	r.UpstreamIncarnation = fields.Get(fieldUpstream)
	r.Route = fields.Get(fieldRoute)
	r.WaitWhenSlow = fields.Has(fieldWaitWhenSlow)
	r.KeyGranted = fields.Has(fieldKeyGranted)
	r.Nested = fields.Has(fieldNested)
	if fields.Has(fieldLatencyTargetMs) {
		ms, err := strconv.ParseInt(fields.Get(fieldLatencyTargetMs), 10, 64)
		if err != nil {
			return fmt.Errorf("%w: goal: %w", ErrRequest, err)
		}
		r.Target = now.Add(time.Duration(ms) * time.Millisecond)
	}
	var hops uint64
	for _, n := range []struct {
		name  string
		value *uint64
	}{
		{fieldHops, &hops}, {fieldIncarnation, &f.Incarnation}, {fieldFingerprint, &r.Fingerprint},
		{fieldRevision, &f.Revision}, {fieldEra, &f.Era},
	} {
		var err error
		if *n.value, err = parseUintField(fields, n.name); err != nil {
			return fmt.Errorf("%w: %s: %w", ErrRequest, call.HeaderForward, err)
		}
	}
	r.Hops = int(min(hops, maxAttempt))
	return nil
}

// parseUintField returns the value of an unsigned integer field, or 0 if it is absent.
func parseUintField(fields url.Values, name string) (uint64, error) {
	text := fields.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("field %s: %w", name, err)
	}
	return n, nil
}

// WriteForwarded sets the headers that ParseForwarded reads.
func WriteForwarded(h *fasthttp.RequestHeader, f Forwarded, now time.Time) {
	r := f.Request
	w := fieldWriter{}
	w.text(fieldSender, f.From)
	w.text(fieldTargetDaemon, f.Target)
	w.number(fieldIncarnation, f.Incarnation)
	w.number(fieldFingerprint, r.Fingerprint)
	if r.Service != serviceName(string(h.Host())) {
		w.text(fieldService, r.Service)
	}
	w.text(fieldPriority, string(r.Priority))
	w.number(fieldHops, uint64(r.Hops))
	w.text(fieldRepeat, string(r.Repeat))
	w.text(fieldUpstream, r.UpstreamIncarnation)
	w.text(fieldRoute, r.Route)
	if !r.Target.IsZero() {
		w.text(fieldLatencyTargetMs, strconv.FormatInt(r.Target.Sub(now).Milliseconds(), 10))
	}
	w.flag(fieldWaitWhenSlow, r.WaitWhenSlow)
	w.flag(fieldKeyGranted, r.KeyGranted)
	w.flag(fieldNested, r.Nested)
	w.number(fieldRevision, f.Revision)
	w.number(fieldEra, f.Era)
	ReplaceHeader(h, call.HeaderForward, string(w.query))
	WriteCallHeaders(h, r, now)
	if r.Attempt == 0 {
		h.Del(call.HeaderAttempt)
	}
}

// fieldWriter encodes fields as a URL query.
type fieldWriter struct{ query []byte }

func (w *fieldWriter) text(name, value string) {
	if value == "" {
		return
	}
	if len(w.query) > 0 {
		w.query = append(w.query, '&')
	}
	w.query = append(w.query, name...)
	w.query = append(w.query, '=')
	w.query = append(w.query, url.QueryEscape(value)...)
}

func (w *fieldWriter) number(name string, value uint64) {
	if value != 0 {
		w.text(name, strconv.FormatUint(value, 10))
	}
}

func (w *fieldWriter) flag(name string, value bool) {
	if value {
		w.text(name, "1")
	}
}
