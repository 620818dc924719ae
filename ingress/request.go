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
	// maxDeadline limits the time that a caller can set as its deadline.
	maxDeadline = 10 * time.Minute
	// maxNameBytes limits the names of callers, services and keys.
	maxNameBytes = 256
)

// ErrRequest means that a header of the request is invalid.
var ErrRequest = merry.Sentinel("ingress: bad request", merry.WithValue(reasonKey, call.BadRequest))

// Forwarded is a request that another daemon has forwarded.
type Forwarded struct {
	Request call.Request
	// From is the instance of the daemon that forwarded it.
	From string
	// Target and Incarnation identify the intended daemon. Incarnation is 0 if the
	// sender does not know it.
	Target      string
	Incarnation uint64
	// Era and Revision are the version of the sender's copy of the store; 0 without a copy.
	Era, Revision uint64
}

// ParseCaller parses a caller's request in its dialect. It leaves out the fields that
// need configuration or the body.
func ParseCaller(ctx *fasthttp.RequestCtx, dialect Dialect, now time.Time) (call.Request, error) {
	h := &ctx.Request.Header
	r := call.Request{Service: serviceName(string(h.Host())), Method: string(h.Method())}
	r.Host, r.Path = r.Service, rawPath(h.RequestURI())
	if err := dialect.ParseRequest(h, &r, now); err != nil {
		return r, err
	}
	if dialect.Keys {
		if err := parseKey(h, &r); err != nil {
			return r, err
		}
	}
	if r.Service == "" {
		return r, fmt.Errorf("%w: no service in the Host header", ErrRequest)
	}
	for _, name := range []string{r.Service, r.Caller, r.Key} {
		if len(name) > maxNameBytes {
			return r, fmt.Errorf("%w: a name is longer than %d bytes", ErrRequest, maxNameBytes)
		}
	}
	return r, nil
}

// parseKey reads the idempotency key of a request, or recognizes a request for a key.
func parseKey(h *fasthttp.RequestHeader, r *call.Request) error {
	if len(h.PeekAll(call.HeaderKey)) > 1 {
		return fmt.Errorf("%w: a header that must be single is repeated", ErrRequest)
	}
	r.Key = strings.Trim(string(h.Peek(call.HeaderKey)), `"`)
	r.KeyRequest = r.Method == fasthttp.MethodPost && r.Path == call.KeyPath
	return nil
}

// rawPath returns the undecoded path of a request target.
func rawPath(target []byte) string {
	path, _, _ := strings.Cut(string(target), "?")
	return path
}

// maxAttempt caps the attempt number and the number of hops of a request.
const maxAttempt = 1000

// WriteCallHeaders sets the headers of a call that an upstream may pass on with calls of
// its own, such as the attempt and the time left until the deadline.
func WriteCallHeaders(h *fasthttp.RequestHeader, r call.Request, now time.Time) {
	ReplaceHeader(h, call.HeaderCall, r.ID)
	ReplaceHeader(h, call.HeaderCaller, r.Caller)
	ReplaceHeader(h, call.HeaderAttempt, strconv.Itoa(r.Attempt))
	ReplaceHeader(h, call.HeaderDeadline, FormatMilliseconds(r.Deadline.Sub(now)))
}

// ReplaceHeader sets a header to one value, whatever number of lines it has. The method
// Set of fasthttp replaces only the first line.
func ReplaceHeader(h *fasthttp.RequestHeader, name, value string) {
	h.Del(name)
	h.Set(name, value)
}

// CopyHeaders copies the headers of a received request to an outgoing one, without the
// hop-by-hop headers and those reserved for daemons.
func CopyHeaders(from *fasthttp.RequestHeader, to *fasthttp.Request, dialect Dialect) {
	from.CopyTo(&to.Header)
	to.UseHostHeader = true
	to.Header.SetNoDefaultContentType(true)
	deleteHopByHopHeaders(&to.Header, dialect.EndToEnd)
	to.Header.Del("Expect")
	for _, name := range daemonHeaders {
		to.Header.Del(name)
	}
}

var daemonHeaders = []string{
	call.HeaderForward, call.HeaderAnswer, call.HeaderCall, call.HeaderOutcome, call.HeaderReason,
	call.HeaderCopy, call.HeaderPoll, call.HeaderEra,
}

// serviceName returns the service named by a Host header.
func serviceName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

func parseDeadline(h *fasthttp.RequestHeader, now time.Time) (time.Time, error) {
	ms, err := parseUintHeader(h, call.HeaderDeadline)
	if err != nil || ms == 0 {
		return time.Time{}, err
	}
	waitMs := min(ms, uint64(maxDeadline.Milliseconds()))
	return now.Add(time.Duration(waitMs) * time.Millisecond), nil
}

// parseUintHeader returns the value of an unsigned integer header, or 0 if it is absent.
func parseUintHeader(h *fasthttp.RequestHeader, name string) (uint64, error) {
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
