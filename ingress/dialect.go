package ingress

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/measure"
)

// Dialect is how callers and the own upstream spell what a daemon needs to
// know. Daemons always speak to each other as Own does.
type Dialect struct {
	// Anonymous is true where callers do not say who they are. What stands for
	// the caller, such as the place where a request began, may then be another
	// when the same request comes again.
	Anonymous bool
	// Token returns the name that the caller gave the request, or "".
	Token func(h *fasthttp.RequestHeader) string
	// Parse fills in what a caller's headers say: the token, the caller, the
	// deadline and the rest that the dialect knows.
	Parse func(h *fasthttp.RequestHeader, r *call.Request, now time.Time) error
	// Onward puts onto a request's headers what the upstream reads.
	Onward func(h *fasthttp.RequestHeader, r call.Request, now time.Time)
	// Mine reports whether an answer of the upstream belongs to the request;
	// nil when answers do not tell.
	Mine func(req *fasthttp.Request, resp *fasthttp.Response) bool
	// Answer reads what the head of an upstream's answer says beside its status.
	Answer func(resp *fasthttp.Response) Answer
	// Refuse adds to a refusal when the caller may come back; nil adds nothing.
	Refuse func(resp *fasthttp.Response, comeBack time.Duration)
	// Probe reads the answer of the path at which an upstream tells its load.
	Probe func(resp *fasthttp.Response) (measure.Reading, error)
}

// Answer is what an upstream's answer says beside its status and body.
type Answer struct {
	// NotRun is true when the upstream says that it did not run the request.
	NotRun bool
	// Replaced is true when another life of the upstream has its address.
	Replaced bool
	// Reading is the upstream's own account; HasReading is false without one.
	Reading    measure.Reading
	HasReading bool
}

// Own returns the product's own dialect.
func Own() Dialect {
	return Dialect{
		Token:  func(*fasthttp.RequestHeader) string { return "" },
		Parse:  parseOwn,
		Onward: WriteOnward,
		Answer: func(*fasthttp.Response) Answer { return Answer{} },
		Probe: func(resp *fasthttp.Response) (measure.Reading, error) {
			if resp.StatusCode() != fasthttp.StatusOK {
				return measure.Reading{}, fmt.Errorf("%w: status %d", measure.ErrReading, resp.StatusCode())
			}
			return measure.ParseReading(resp.Body())
		},
	}
}

func parseOwn(h *fasthttp.RequestHeader, r *call.Request, now time.Time) error {
	attempt, err := number(h, call.HeaderAttempt)
	if err != nil {
		return err
	}
	r.Attempt = int(min(attempt, maxAttempt))
	r.Caller = string(h.Peek(call.HeaderCaller))
	r.Deadline, err = deadline(h, now)
	return err
}

// Milliseconds returns the time left as callers and upstreams are told it: at
// least one millisecond.
func Milliseconds(left time.Duration) string {
	return strconv.FormatInt(max(left.Milliseconds(), 1), 10)
}
