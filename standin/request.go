package standin

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
)

// Request is one logical request of a caller, which may send it several times.
type Request struct {
	// Token identifies the request end to end.
	Token string
	// Key is the Idempotency-Key, or empty.
	Key string
	// FetchKey makes the caller fetch the key from a daemon first.
	FetchKey bool
	Method   string
	Path     string
	// BodyBytes is the size of the request body, and ResponseBytes the number of
	// filler bytes in the response.
	BodyBytes, ResponseBytes int
	// BodyDuration is the duration over which the body is sent; 0 sends it without
	// delay.
	BodyDuration time.Duration
	// ServiceTime is the requested service time; 0 means the worker's default.
	ServiceTime time.Duration
	// Deadline is the time allowed for the request, as sent to the daemon.
	// AbandonAfter is the time after which the caller abandons the request; 0 means
	// shortly after the deadline.
	Deadline, AbandonAfter time.Duration
	// Crash makes the worker crash when it runs the request.
	Crash bool
}

// Idempotent reports whether the request may run more than once.
func (r Request) Idempotent() bool {
	return call.Request{Method: r.Method}.Idempotent()
}

// responseTimeout returns how long the caller waits for the response.
func (r Request) responseTimeout() time.Duration {
	if r.AbandonAfter > 0 {
		return r.AbandonAfter
	}
	return cmp.Or(r.Deadline, defaultDeadline) + responseGrace
}

// fill writes the request to req, addressed to service and sent as caller. send
// is the number of times it was sent before.
func (r Request) fill(req *fasthttp.Request, service, caller string, send int) {
	req.Header.SetMethod(r.Method)
	req.SetRequestURI("http://" + service + r.Path)
	h := &req.Header
	h.Set(call.HeaderCaller, caller)
	h.Set(headerToken, r.Token)
	h.Set(headerSend, strconv.Itoa(send))
	h.Set(headerAnswerBytes, strconv.Itoa(r.ResponseBytes))
	if r.Deadline > 0 {
		h.Set(call.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	if r.Key != "" {
		h.Set(call.HeaderKey, r.Key)
	}
	if r.ServiceTime > 0 {
		h.Set(headerWorkUs, strconv.FormatInt(r.ServiceTime.Microseconds(), 10))
	}
	if r.Crash {
		h.Set(headerCrash, "1")
	}
	if r.BodyBytes > 0 {
		req.SetBodyStream(r.body(), r.BodyBytes)
	}
}

// body returns a reader of the request body.
func (r Request) body() io.Reader {
	bytes := newFiller("body "+r.Token, r.BodyBytes)
	if r.BodyDuration <= 0 {
		return bytes
	}
	return &slowReader{src: bytes, pause: r.BodyDuration / slowBodySteps, step: max(1, r.BodyBytes/slowBodySteps)}
}

// bodySum returns the checksum of the request body.
func (r Request) bodySum() string {
	sum, _, _ := checksum(newFiller("body "+r.Token, r.BodyBytes))
	return sum
}

// slowBodySteps is the number of steps in which a slow body is sent.
const slowBodySteps = 50

// slowReader reads from src in steps, with a pause before each step.
type slowReader struct {
	src   io.Reader
	pause time.Duration
	step  int
	left  int
}

// Read waits at the start of each step, then reads the rest of it.
func (s *slowReader) Read(p []byte) (int, error) {
	if s.left == 0 {
		time.Sleep(s.pause)
		s.left = s.step
	}
	n, err := s.src.Read(p[:min(len(p), s.left)])
	s.left -= n
	return n, err
}

// newKey returns a version 7 UUID (RFC 9562), which contains its creation time in
// milliseconds. high and low are random bits.
func newKey(now time.Time, high, low uint64) string {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(now.UnixMilli())<<16|high&0x0fff|0x7000)
	binary.BigEndian.PutUint64(b[8:], low&0x3fffffffffffffff|0x8000000000000000)
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:])
}

// NewKey returns a new Idempotency-Key that contains its creation time.
func NewKey(now time.Time) string { return newKey(now, rand.Uint64(), rand.Uint64()) }
