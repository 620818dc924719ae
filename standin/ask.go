package standin

import (
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
)

// askAny asks one target after the other, as often as requests are sent again.
func (c *Caller) askAny(first int, r *Request) (x Exchange, ok bool) {
	for turn := range c.cfg.Resend.Max + 1 {
		if x, ok = c.AskKey(c.target(first+turn), r); ok {
			break
		}
	}
	return x, ok
}

// AskKey asks a daemon for a key and sets it in the request. When it gets none
// it returns false and the exchange that shows why. A worker issues no keys, so
// a caller of workers makes its own.
func (c *Caller) AskKey(target string, r *Request) (Exchange, bool) {
	if c.cfg.Direct {
		r.Key = NewKey(time.Now())
		return Exchange{}, true
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	ask := Request{Token: r.Token, Method: fasthttp.MethodPost, Path: call.KeyPath, Deadline: r.Deadline}
	ask.fill(req, c.cfg.Service, c.cfg.Name, 0)
	x := Exchange{Token: r.Token, Method: ask.Method, Target: target, StartUs: time.Now().UnixMicro()}
	x.IntendedUs = x.StartUs
	err := c.client(target).DoTimeout(req, resp, r.wait())
	x.EndUs = time.Now().UnixMicro()
	if err != nil {
		x.lost(err)
		return x, false
	}
	x.Status = resp.StatusCode()
	x.Outcome = call.Outcome(resp.Header.Peek(call.HeaderOutcome))
	x.Reason = call.Reason(resp.Header.Peek(call.HeaderReason))
	if x.Outcome == call.Run && x.Status == fasthttp.StatusOK && len(resp.Body()) > 0 {
		r.Key = string(resp.Body())
		return x, true
	}
	x.Verdict, x.Fault = Refused, "ask for a key"
	return x, false
}
