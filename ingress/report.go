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

// ErrReport means that a response has no valid report of a daemon.
var ErrReport = errors.New("ingress: invalid or missing daemon report")

// The fields of call.HeaderAnswer, in addition to those shared with
// call.HeaderForward.
const (
	fieldLoad      = "l"
	fieldElapsedUs = "d"
	fieldWorkUs    = "m"
)

// Report is what a daemon adds to a response for the daemon that forwarded the request.
type Report struct {
	// From is the instance of the reporting daemon.
	From string
	// Load is the load of its local upstream; HasLoad is false if there is none.
	Load    balance.Load
	HasLoad bool
	// Elapsed is how long the daemon took to serve the request.
	Elapsed time.Duration
	// Work is the duration of the run, converted to the upstream's nominal pace; 0
	// without a run.
	Work time.Duration
	// Era and Revision are the version of the daemon's copy of the store; 0 without a copy.
	Era, Revision uint64
}

// WriteReport sets the report header of a response.
func WriteReport(h *fasthttp.ResponseHeader, r Report) {
	w := fieldWriter{}
	w.text(fieldSender, r.From)
	if r.HasLoad {
		w.text(fieldLoad, string(r.Load.Append(nil)))
	}
	w.number(fieldElapsedUs, uint64(max(r.Elapsed.Microseconds(), 0)))
	w.number(fieldWorkUs, uint64(max(r.Work.Microseconds(), 0)))
	w.number(fieldRevision, r.Revision)
	w.number(fieldEra, r.Era)
	h.SetBytesV(call.HeaderAnswer, w.query)
}

// ReadReport reads the report header of a response. Errors wrap ErrReport.
func ReadReport(h *fasthttp.ResponseHeader) (Report, error) {
	fields, err := url.ParseQuery(string(h.Peek(call.HeaderAnswer)))
	if err != nil || !fields.Has(fieldSender) {
		return Report{}, fmt.Errorf("%w: %s", ErrReport, h.Peek(call.HeaderAnswer))
	}
	r := Report{From: fields.Get(fieldSender)}
	if fields.Has(fieldLoad) {
		if r.Load, err = balance.ParseLoad([]byte(fields.Get(fieldLoad))); err != nil {
			return Report{}, fmt.Errorf("%w: %w", ErrReport, err)
		}
		r.HasLoad = true
	}
	if r.Elapsed, err = parseMicrosecondsField(fields, fieldElapsedUs); err != nil {
		return Report{}, err
	}
	if r.Work, err = parseMicrosecondsField(fields, fieldWorkUs); err != nil {
		return Report{}, err
	}
	if r.Revision, err = parseUintField(fields, fieldRevision); err != nil {
		return Report{}, fmt.Errorf("%w: %w", ErrReport, err)
	}
	if r.Era, err = parseUintField(fields, fieldEra); err != nil {
		return Report{}, fmt.Errorf("%w: %w", ErrReport, err)
	}
	return r, nil
}

func parseMicrosecondsField(fields url.Values, name string) (time.Duration, error) {
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
