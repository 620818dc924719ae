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

// Request is one request that a caller wants answered, however often it has to
// send it.
type Request struct {
	// Token names the request from end to end.
	Token string
	// Key is the Idempotency-Key, or empty.
	Key string
	// AskKey has the caller ask a daemon for the key first.
	AskKey bool
	Method string
	Path   string
	// Body is the number of bytes sent, and Answer that of filler bytes wanted.
	Body, Answer int
	// BodyTime spreads the sending of the body; 0 sends as fast as it goes.
	BodyTime time.Duration
	// Work is the service time wanted; 0 means the worker's own.
	Work time.Duration
	// Deadline is how long the request may take, as the caller tells the
	// daemon. GiveUp is when the caller leaves before that; 0 means it stays.
	Deadline, GiveUp time.Duration
	// Crash makes the worker that runs the request crash.
	Crash bool
}

// Idempotent reports whether the request may run twice.
func (r Request) Idempotent() bool {
	return call.Request{Method: r.Method}.Idempotent()
}

// wait is how long the caller listens for the answer.
func (r Request) wait() time.Duration {
	if r.GiveUp > 0 {
		return r.GiveUp
	}
	return cmp.Or(r.Deadline, defaultDeadline) + answerGrace
}

// fill writes the request into req, for one service as one caller. send counts
// the times it was sent before.
func (r Request) fill(req *fasthttp.Request, service, caller string, send int) {
	req.Header.SetMethod(r.Method)
	req.SetRequestURI("http://" + service + r.Path)
	h := &req.Header
	h.Set(call.HeaderCaller, caller)
	h.Set(headerToken, r.Token)
	h.Set(headerSend, strconv.Itoa(send))
	h.Set(headerAnswerBytes, strconv.Itoa(r.Answer))
	if r.Deadline > 0 {
		h.Set(call.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	if r.Key != "" {
		h.Set(call.HeaderKey, r.Key)
	}
	if r.Work > 0 {
		h.Set(headerWork, strconv.FormatInt(r.Work.Microseconds(), 10))
	}
	if r.Crash {
		h.Set(headerCrash, "1")
	}
	if r.Body > 0 {
		req.SetBodyStream(r.body(), r.Body)
	}
}

// body returns the bytes that the request carries.
func (r Request) body() io.Reader {
	bytes := newFiller("body "+r.Token, r.Body)
	if r.BodyTime <= 0 {
		return bytes
	}
	return &slowReader{from: bytes, pause: r.BodyTime / slowSteps, step: max(1, r.Body/slowSteps)}
}

// bodySum returns the checksum of the bytes that the request carries.
func (r Request) bodySum() string {
	sum, _, _ := sumOf(newFiller("body "+r.Token, r.Body))
	return sum
}

// slowSteps is the number of pieces that a slow body is sent in.
const slowSteps = 50

// slowReader gives its bytes in steps with a pause before each.
type slowReader struct {
	from  io.Reader
	pause time.Duration
	step  int
	left  int
}

// Read waits at the start of each step, then reads what is left of it.
func (s *slowReader) Read(p []byte) (int, error) {
	if s.left == 0 {
		time.Sleep(s.pause)
		s.left = s.step
	}
	n, err := s.from.Read(p[:min(len(p), s.left)])
	s.left -= n
	return n, err
}

// newKey returns a UUID of version 7 (RFC 9562), which carries the time of its
// making in milliseconds.
func newKey(now time.Time, high, low uint64) string {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(now.UnixMilli())<<16|high&0x0fff|0x7000)
	binary.BigEndian.PutUint64(b[8:], low&0x3fffffffffffffff|0x8000000000000000)
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:])
}

// NewKey returns a new Idempotency-Key that carries the time of its making.
func NewKey(now time.Time) string { return newKey(now, rand.Uint64(), rand.Uint64()) }
