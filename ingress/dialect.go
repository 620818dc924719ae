package ingress

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/measure"
)

// Dialect reads and writes the headers of callers and of the local upstream. Daemons
// always use NativeDialect among themselves.
type Dialect struct {
	// Anonymous is true if callers do not name themselves. The caller of a request is
	// then derived, for example from where the request began, and may differ when
	// the same request is sent again.
	Anonymous bool
	// Keys is true if callers may send idempotency keys and request them. Otherwise the
	// header of the key is like any other.
	Keys bool
	// EndToEnd lists headers that are forwarded even if a Connection header names them.
	EndToEnd []string
	// Token returns the caller's ID for the request, or "" if there is none.
	Token func(h *fasthttp.RequestHeader) string
	// ParseRequest fills in the request from a caller's headers: the token, the
	// caller, the deadline and whatever else the dialect defines.
	ParseRequest func(h *fasthttp.RequestHeader, r *call.Request, now time.Time) error
	// WriteUpstreamHeaders sets the headers that the upstream reads.
	WriteUpstreamHeaders func(h *fasthttp.RequestHeader, r call.Request, now time.Time)
	// MatchesRequest reports whether a response of the upstream belongs to the
	// request; nil if responses do not identify their request.
	MatchesRequest func(req *fasthttp.Request, resp *fasthttp.Response) bool
	// Attributable reports whether a copy of the response cannot be taken for the
	// response to another request; nil if none can.
	Attributable func(resp *fasthttp.Response) bool
	// ParseResponse reads the headers of an upstream's response.
	ParseResponse func(resp *fasthttp.Response) UpstreamReport
	// SetRetryAfter adds to a refusal when the caller may retry; nil adds nothing.
	SetRetryAfter func(resp *fasthttp.Response, retryAfter time.Duration)
	// ParseProbe reads the response of the path at which an upstream reports its load.
	ParseProbe func(resp *fasthttp.Response) (measure.Reading, error)
}

// UpstreamReport is what the headers of an upstream's response report besides the
// status.
type UpstreamReport struct {
	// NotRun is true if the upstream reports that it did not run the request.
	NotRun bool
	// Replaced is true if another incarnation of the upstream has its address.
	Replaced bool
	// Reading is the load that the upstream reports, if HasReading is true.
	Reading    measure.Reading
	HasReading bool
}

// NativeDialect returns pomelodoor's native dialect.
func NativeDialect() Dialect {
	return Dialect{
		Keys:                 true,
		Token:                func(*fasthttp.RequestHeader) string { return "" },
		ParseRequest:         parseNative,
		WriteUpstreamHeaders: WriteCallHeaders,
		ParseResponse:        func(*fasthttp.Response) UpstreamReport { return UpstreamReport{} },
		ParseProbe: func(resp *fasthttp.Response) (measure.Reading, error) {
			if resp.StatusCode() != fasthttp.StatusOK {
				return measure.Reading{}, fmt.Errorf("%w: status %d", measure.ErrReading, resp.StatusCode())
			}
			return measure.ParseReading(resp.Body())
		},
	}
}

func parseNative(h *fasthttp.RequestHeader, r *call.Request, now time.Time) error {
	attempt, err := parseUintHeader(h, call.HeaderAttempt)
	if err != nil {
		return err
	}
	r.Attempt = int(min(attempt, maxAttempt))
	r.Caller = string(h.Peek(call.HeaderCaller))
	r.Deadline, err = parseDeadline(h, now)
	return err
}

// FormatMilliseconds formats the remaining time for a deadline header: at least one
// millisecond.
func FormatMilliseconds(left time.Duration) string {
	return strconv.FormatInt(max(left.Milliseconds(), 1), 10)
}
