package ingress

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
)

// ErrReport means that an answer does not come from a daemon.
var ErrReport = errors.New("ingress: no report of a daemon")

// The fields of call.HeaderAnswer, beside those that it shares with
// call.HeaderForward.
const (
	fieldLoad    = "l"
	fieldSpentUs = "d"
	fieldWorkUs  = "m"
)

// Report is what a daemon adds to an answer for the daemon that sent it the
// request.
type Report struct {
	// From is the instance of the daemon.
	From string
	// Load is that of its upstream; HasLoad is false without one.
	Load    balance.Load
	HasLoad bool
	// Spent is how long the daemon took.
	Spent time.Duration
	// Work is how long the run took at the upstream's usual pace; 0 when there
	// was none.
	Work time.Duration
	// Revision is the store's revision that the daemon holds; 0 when it reads
	// none.
	Revision uint64
}

// WriteReport puts a report onto an answer.
func WriteReport(h *fasthttp.ResponseHeader, r Report) {
	w := fieldWriter{}
	w.text(fieldFrom, r.From)
	if r.HasLoad {
		w.text(fieldLoad, string(r.Load.Append(nil)))
	}
	w.number(fieldSpentUs, uint64(max(r.Spent.Microseconds(), 0)))
	w.number(fieldWorkUs, uint64(max(r.Work.Microseconds(), 0)))
	w.number(fieldRevision, r.Revision)
	h.SetBytesV(call.HeaderAnswer, w.line)
}

// ReadReport reads a report off an answer. Errors wrap ErrReport.
func ReadReport(h *fasthttp.ResponseHeader) (Report, error) {
	fields, err := url.ParseQuery(string(h.Peek(call.HeaderAnswer)))
	if err != nil || !fields.Has(fieldFrom) {
		return Report{}, fmt.Errorf("%w: %s", ErrReport, h.Peek(call.HeaderAnswer))
	}
	r := Report{From: fields.Get(fieldFrom)}
	if fields.Has(fieldLoad) {
		if r.Load, err = balance.ParseLoad([]byte(fields.Get(fieldLoad))); err != nil {
			return Report{}, fmt.Errorf("%w: %w", ErrReport, err)
		}
		r.HasLoad = true
	}
	if r.Spent, err = microseconds(fields, fieldSpentUs); err != nil {
		return Report{}, err
	}
	if r.Work, err = microseconds(fields, fieldWorkUs); err != nil {
		return Report{}, err
	}
	if r.Revision, err = whole(fields, fieldRevision); err != nil {
		return Report{}, fmt.Errorf("%w: %w", ErrReport, err)
	}
	return r, nil
}

func microseconds(fields url.Values, name string) (time.Duration, error) {
	text := fields.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrReport, err)
	}
	return time.Duration(n) * time.Microsecond, nil
}
