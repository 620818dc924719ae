package standin

import (
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
)

// fetchKeyFromAny tries the targets in turn until one issues a key, with as many
// retries as a request has resends.
func (c *Caller) fetchKeyFromAny(first int, r *Request) (x Exchange, ok bool) {
	for i := range c.cfg.Resend.MaxResends + 1 {
		if x, ok = c.FetchKey(c.target(first+i), r); ok {
			break
		}
	}
	return x, ok
}

// FetchKey fetches an idempotency key from a daemon and sets it in the request. On
// failure it returns false and the exchange with the cause. Workers issue no
// keys, so a direct caller generates its own.
func (c *Caller) FetchKey(target string, r *Request) (Exchange, bool) {
	if c.cfg.Direct {
		r.Key = NewKey(time.Now())
		return Exchange{}, true
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	keyRequest := Request{Token: r.Token, Method: fasthttp.MethodPost, Path: call.KeyPath, Deadline: r.Deadline}
	keyRequest.fill(req, c.cfg.Service, c.cfg.Name, 0)
	x := Exchange{Token: r.Token, Method: keyRequest.Method, Target: target, StartUs: time.Now().UnixMicro()}
	x.IntendedUs = x.StartUs
	err := c.client(target).DoTimeout(req, resp, r.responseTimeout())
	x.EndUs = time.Now().UnixMicro()
	if err != nil {
		x.setError(err)
		return x, false
	}
	x.Status = resp.StatusCode()
	x.Outcome = call.Outcome(resp.Header.Peek(call.HeaderOutcome))
	x.Reason = call.Reason(resp.Header.Peek(call.HeaderReason))
	if x.Outcome == call.Run && x.Status == fasthttp.StatusOK && len(resp.Body()) > 0 {
		r.Key = string(resp.Body())
		return x, true
	}
	x.Verdict, x.Fault = VerdictRefused, "no idempotency key issued"
	return x, false
}
