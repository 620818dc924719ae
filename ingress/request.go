package ingress

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
)

const (
	// maxDeadline bounds how long a caller may ask to wait.
	maxDeadline = 10 * time.Minute
	// maxNameBytes bounds the names of callers, services and keys.
	maxNameBytes = 256
)

// ErrRequest means that a header of the request cannot be accepted.
var ErrRequest = merry.Sentinel("ingress: bad request", merry.WithValue(reasonKey, call.BadRequest))

// Forwarded is a request that another daemon has sent on.
type Forwarded struct {
	Request call.Request
	// From is the instance of the daemon that sent it.
	From string
	// Target and Incarnation name the daemon that is meant; the incarnation is
	// 0 when the sender does not know it.
	Target      string
	Incarnation uint64
	// Revision is the store's revision that the sender holds; 0 when it reads
	// none.
	Revision uint64
}

// ParseCaller reads a caller's request in its dialect. The fields that need
// configuration or the body are left for the caller of this function to fill.
func ParseCaller(ctx *fasthttp.RequestCtx, dialect Dialect, now time.Time) (call.Request, error) {
	h := &ctx.Request.Header
	r := call.Request{
		Service: serviceName(string(h.Host())),
		Method:  string(h.Method()),
		Key:     strings.Trim(string(h.Peek(call.HeaderKey)), `"`),
	}
	r.Host, r.Path = r.Service, rawPath(h.RequestURI())
	if err := dialect.Parse(h, &r, now); err != nil {
		return r, err
	}
	r.Issue = r.Method == fasthttp.MethodPost && r.Path == call.KeyPath
	if r.Service == "" {
		return r, fmt.Errorf("%w: no service in the Host header", ErrRequest)
	}
	for _, name := range []string{r.Service, r.Caller, r.Key} {
		if len(name) > maxNameBytes {
			return r, fmt.Errorf("%w: a name is longer than %d bytes", ErrRequest, maxNameBytes)
		}
	}
	if len(h.PeekAll("Host")) > 1 || len(h.PeekAll(call.HeaderKey)) > 1 {
		return r, fmt.Errorf("%w: a header that must be single is repeated", ErrRequest)
	}
	return r, nil
}

// rawPath returns the path of a request target as it was sent.
func rawPath(target []byte) string {
	path, _, _ := strings.Cut(string(target), "?")
	return path
}

// maxAttempt caps the attempt number that is carried on.
const maxAttempt = 1000

// WriteOnward puts onto a request's headers what an upstream may pass on with
// calls of its own: the attempt, and what is left of the deadline.
func WriteOnward(h *fasthttp.RequestHeader, r call.Request, now time.Time) {
	h.Set(call.HeaderCall, r.ID)
	h.Set(call.HeaderCaller, r.Caller)
	h.Set(call.HeaderAttempt, strconv.Itoa(r.Attempt))
	h.Set(call.HeaderDeadline, Milliseconds(r.Deadline.Sub(now)))
}

// CopyHead starts a request to elsewhere from the one received: everything but
// the body, the headers of one connection, and what only daemons may say.
func CopyHead(from *fasthttp.RequestHeader, to *fasthttp.Request) {
	from.CopyTo(&to.Header)
	to.UseHostHeader = true
	stripHop(to.Header.Del)
	to.Header.Del("Expect")
	for _, name := range daemonHeaders {
		to.Header.Del(name)
	}
}

var daemonHeaders = []string{
	call.HeaderForward, call.HeaderAnswer, call.HeaderCall, call.HeaderOutcome, call.HeaderReason,
}

// serviceName takes the service from a Host header.
func serviceName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

func deadline(h *fasthttp.RequestHeader, now time.Time) (time.Time, error) {
	ms, err := number(h, call.HeaderDeadline)
	if err != nil || ms == 0 {
		return time.Time{}, err
	}
	wait := min(ms, uint64(maxDeadline.Milliseconds()))
	return now.Add(time.Duration(wait) * time.Millisecond), nil
}

// number reads a header that holds a whole number; 0 when it is absent.
func number(h *fasthttp.RequestHeader, name string) (uint64, error) {
	text := h.Peek(name)
	if len(text) == 0 {
		return 0, nil
	}
	n, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %s is not a whole number", ErrRequest, name)
	}
	return n, nil
}
