package ingress

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
)

// The fields of call.HeaderForward, short because links between availability
// zones are dear. A field with its zero value is left out.
const (
	fieldFrom        = "f"
	fieldTarget      = "t"
	fieldIncarnation = "i"
	fieldFingerprint = "x"
	fieldService     = "s"
	fieldPriority    = "p"
	fieldHops        = "h"
	fieldRepeat      = "r"
	fieldUpstream    = "u"
	fieldRoute       = "n"
	fieldGoalMs      = "g"
	fieldPatient     = "w"
	fieldGranted     = "k"
	fieldRevision    = "v"
)

// ParseForwarded reads a request that another daemon has sent on. dialect is
// that of the caller, whose own headers travel with the request.
func ParseForwarded(ctx *fasthttp.RequestCtx, dialect Dialect, now time.Time) (Forwarded, error) {
	r, err := ParseCaller(ctx, Own(), now)
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
	f := Forwarded{Request: r, From: fields.Get(fieldFrom), Target: fields.Get(fieldTarget)}
	return f, f.readFields(fields, now)
}

// readFields fills in what the sending daemon has worked out.
func (f *Forwarded) readFields(fields url.Values, now time.Time) error {
	r := &f.Request
	if service := fields.Get(fieldService); service != "" {
		r.Service = service
	}
	r.Priority = call.Priority(fields.Get(fieldPriority))
	r.Repeat = call.Repeat(fields.Get(fieldRepeat))
	r.Upstream = fields.Get(fieldUpstream)
	r.Route = fields.Get(fieldRoute)
	r.Patient = fields.Has(fieldPatient)
	r.Granted = fields.Has(fieldGranted)
	if fields.Has(fieldGoalMs) {
		ms, err := strconv.ParseInt(fields.Get(fieldGoalMs), 10, 64)
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
		{fieldHops, &hops}, {fieldIncarnation, &f.Incarnation}, {fieldFingerprint, &r.Fingerprint}, {fieldRevision, &f.Revision},
	} {
		var err error
		if *n.value, err = whole(fields, n.name); err != nil {
			return fmt.Errorf("%w: %s: %w", ErrRequest, call.HeaderForward, err)
		}
	}
	r.Hops = int(min(hops, maxAttempt))
	return nil
}

// whole reads a whole number; 0 when it is left out.
func whole(fields url.Values, name string) (uint64, error) {
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

// WriteForwarded puts onto a request's headers what ParseForwarded reads.
func WriteForwarded(h *fasthttp.RequestHeader, f Forwarded, now time.Time) {
	r := f.Request
	w := fieldWriter{}
	w.text(fieldFrom, f.From)
	w.text(fieldTarget, f.Target)
	w.number(fieldIncarnation, f.Incarnation)
	w.number(fieldFingerprint, r.Fingerprint)
	if r.Service != serviceName(string(h.Host())) {
		w.text(fieldService, r.Service)
	}
	w.text(fieldPriority, string(r.Priority))
	w.number(fieldHops, uint64(r.Hops))
	w.text(fieldRepeat, string(r.Repeat))
	w.text(fieldUpstream, r.Upstream)
	w.text(fieldRoute, r.Route)
	if !r.Target.IsZero() {
		w.text(fieldGoalMs, strconv.FormatInt(r.Target.Sub(now).Milliseconds(), 10))
	}
	w.flag(fieldPatient, r.Patient)
	w.flag(fieldGranted, r.Granted)
	w.number(fieldRevision, f.Revision)
	h.SetBytesV(call.HeaderForward, w.line)
	h.Set(call.HeaderCall, r.ID)
	WriteOnward(h, r, now)
	if r.Attempt == 0 {
		h.Del(call.HeaderAttempt)
	}
}

// fieldWriter writes fields in the form of a query.
type fieldWriter struct{ line []byte }

func (w *fieldWriter) text(name, value string) {
	if value == "" {
		return
	}
	if len(w.line) > 0 {
		w.line = append(w.line, '&')
	}
	w.line = append(w.line, name...)
	w.line = append(w.line, '=')
	w.line = append(w.line, url.QueryEscape(value)...)
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
