package standin

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
)

// ErrForeignToken is the fault of an answer whose token is another request's.
var ErrForeignToken = errors.New("token of another request")

// Verdict is what a caller makes of one exchange.
type Verdict string

// The verdicts.
const (
	// Fine is a whole answer to the request that was sent.
	Fine Verdict = "fine"
	// Wrong is an answer that is damaged, cut short or somebody else's.
	Wrong Verdict = "wrong"
	// Failed is an error that the upstream answered with.
	Failed Verdict = "failed"
	// Refused is an answer of a daemon in place of the upstream.
	Refused Verdict = "refused"
	// Lost is no answer.
	Lost Verdict = "lost"
)

// Exchange is one sending of a request and what came back. Times are
// microseconds of Unix time.
type Exchange struct {
	Token   string       `json:"token"`
	Send    int          `json:"send"`
	Key     string       `json:"key,omitempty"`
	Method  string       `json:"method"`
	Target  string       `json:"target"`
	Call    string       `json:"call,omitempty"`
	Worker  string       `json:"worker,omitempty"`
	Status  int          `json:"status"`
	Outcome call.Outcome `json:"outcome,omitempty"`
	Reason  call.Reason  `json:"reason,omitempty"`
	Verdict Verdict      `json:"verdict"`
	Fault   string       `json:"fault,omitempty"`
	// NotSent is true when no connection could be opened, so that no byte left
	// the caller.
	NotSent    bool  `json:"notSent,omitempty"`
	IntendedUs int64 `json:"intendedUs"`
	StartUs    int64 `json:"startUs"`
	EndUs      int64 `json:"endUs"`
	// HeldUs is how long the worker had the request.
	HeldUs int64 `json:"heldUs,omitempty"`
}

// Idempotent reports whether the request may run twice.
func (x Exchange) Idempotent() bool {
	return Request{Method: x.Method}.Idempotent()
}

// lost fills in that there was no answer.
func (x *Exchange) lost(err error) {
	var dial *fasthttp.ErrDialWithUpstream
	x.Verdict, x.Fault, x.NotSent = Lost, err.Error(), errors.As(err, &dial)
}

// judge fills in the answer and the verdict on it. direct is true when the
// caller spoke to a worker, which sends no outcome.
func (x *Exchange) judge(r Request, resp *fasthttp.Response, direct bool) {
	h := &resp.Header
	x.Status = resp.StatusCode()
	x.Call = string(h.Peek(call.HeaderCall))
	x.Worker = string(h.Peek(headerWorker))
	x.Outcome = call.Outcome(h.Peek(call.HeaderOutcome))
	x.Reason = call.Reason(h.Peek(call.HeaderReason))
	x.HeldUs, _ = strconv.ParseInt(string(h.Peek(headerHeld)), 10, 64)
	token := string(h.Peek(headerToken))
	switch {
	case token != "" && token != r.Token:
		x.Verdict, x.Fault = Wrong, fmt.Sprintf("%q: %v", token, ErrForeignToken)
	case !direct && x.Outcome != call.Run:
		x.Verdict = Refused
	case token == "" && x.Status != fasthttp.StatusOK:
		x.Verdict = Refused
	case x.Status != fasthttp.StatusOK:
		x.Verdict = Failed
	default:
		x.Verdict = Fine
		if err := checkWhole(r, resp); err != nil {
			x.Verdict, x.Fault = Wrong, err.Error()
		}
	}
}

// checkWhole verifies the answer to a request down to its last byte. An answer
// to HEAD has headers only.
func checkWhole(r Request, resp *fasthttp.Response) error {
	sum := string(resp.Header.Peek(headerAnswerSum))
	if sum == "" && string(resp.Header.Peek(call.HeaderReason)) == string(call.Replayed) {
		// A kept answer may come without the worker's headers; the body still
		// has to be the one that the request asked for.
		sum = hexSum(xxhash.Sum64(resp.Body()))
	}
	bodySum := r.bodySum()
	if r.Method != fasthttp.MethodHead {
		return checkAnswer(resp.Body(), sum, r.Token, bodySum, r.Answer)
	}
	want, size, err := sumOf(answerBody(r.Token, bodySum, r.Answer))
	switch {
	case err != nil:
		return fmt.Errorf("checksum: %w", err)
	case string(resp.Header.Peek(headerToken)) != r.Token:
		return fmt.Errorf("head: %w", ErrForeignToken)
	case want != sum:
		return fmt.Errorf("head: checksum: %w", ErrBrokenAnswer)
	case resp.Header.ContentLength() != int(size):
		return fmt.Errorf("head: length %d, want %d: %w", resp.Header.ContentLength(), size, ErrBrokenAnswer)
	}
	return nil
}
