package standin

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
)

// maxAnswerBytes bounds the filler that a request can ask for.
const maxAnswerBytes = 64 << 20

// bufferedAnswer is the largest answer that is not streamed.
const bufferedAnswer = 64 << 10

// ExecutionsAnswer is the answer of GET /admin/executions.
type ExecutionsAnswer struct {
	Executions []Execution `json:"executions"`
	Lost       int         `json:"lost"`
	Crashes    int         `json:"crashes"`
}

// handle serves the daemon and, on /admin, drivers.
func (w *Worker) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/load" && ctx.IsGet():
		time.Sleep(w.cfg.ProbeTime)
		writeJSON(ctx, w.reportedLoad(time.Now()))
	case strings.HasPrefix(path, "/admin/"):
		w.handleAdmin(ctx, strings.TrimPrefix(path, "/admin/"))
	default:
		w.run(ctx)
	}
}

// handleAdminOnly serves drivers on the address that outlives a crash.
func (w *Worker) handleAdminOnly(ctx *fasthttp.RequestCtx) {
	w.handleAdmin(ctx, strings.TrimPrefix(string(ctx.Path()), "/admin/"))
}

// handleAdmin reports the record and changes how the worker behaves.
func (w *Worker) handleAdmin(ctx *fasthttp.RequestCtx, path string) {
	switch string(ctx.Method()) + " " + path {
	case "GET executions":
		all, lost := w.record.copy()
		writeJSON(ctx, ExecutionsAnswer{Executions: all, Lost: lost, Crashes: w.Crashes()})
	case "POST set":
		w.set(ctx)
	case "POST crash":
		w.Crash()
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

// set changes what the query names and leaves the rest as it is.
func (w *Worker) set(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	if args.Has("factor") {
		f, err := args.GetUfloat("factor")
		if err != nil {
			ctx.Error("factor is not a number", fasthttp.StatusBadRequest)
			return
		}
		w.SetFactor(f)
	}
	for name, set := range map[string]func(bool){
		"failFast": w.SetFailFast, "drain": w.SetDrain, "cold": w.SetCold,
	} {
		if args.Has(name) {
			set(isOn(ctx, name))
		}
	}
}

// run reads the whole request, holds a slot for its service time and answers.
func (w *Worker) run(ctx *fasthttp.RequestCtx) {
	w.inFlight.Add(1)
	defer w.inFlight.Add(-1)
	arrived := time.Now()
	e := w.receive(ctx)
	defer w.cfg.Ended(e.Token)
	e.StartUs = e.ArrivedUs
	if e.Short {
		w.record.end(w.record.start(e), fasthttp.StatusBadRequest, false, time.Now())
		ctx.Error("body cut short", fasthttp.StatusBadRequest)
		ctx.SetConnectionClose()
		return
	}
	life := w.Crashes()
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	if w.Crashes() != life {
		return
	}

	now := time.Now()
	e.StartUs = now.UnixMicro()
	place := w.record.start(e)
	if string(ctx.Request.Header.Peek(headerCrash)) == "1" {
		w.record.end(place, 0, true, now)
		w.Crash()
		return
	}
	factor, failFast := w.slowness(now)
	if failFast {
		time.Sleep(failFastTime)
		w.record.end(place, fasthttp.StatusInternalServerError, false, time.Now())
		ctx.Error("failing fast", fasthttp.StatusInternalServerError)
		ctx.Response.Header.Set(headerToken, e.Token)
		return
	}
	time.Sleep(w.workTime(ctx, factor))
	w.respond(ctx, e)
	now = time.Now()
	ctx.Response.Header.Set(headerHeld, strconv.FormatInt(now.Sub(arrived).Microseconds(), 10))
	w.record.end(place, fasthttp.StatusOK, false, now)
}

// receive reads the request's body in bounded memory and describes the request.
func (w *Worker) receive(ctx *fasthttp.RequestCtx) Execution {
	h := &ctx.Request.Header
	e := Execution{
		Worker:    w.cfg.ID,
		Call:      string(h.Peek(call.HeaderCall)),
		Key:       string(h.Peek(call.HeaderKey)),
		Token:     string(h.Peek(headerToken)),
		Send:      string(h.Peek(headerSend)),
		Attempt:   string(h.Peek(call.HeaderAttempt)),
		Method:    string(ctx.Method()),
		ArrivedUs: time.Now().UnixMicro(),
	}
	sum := xxhash.New()
	if body := ctx.RequestBodyStream(); body != nil {
		n, err := io.Copy(sum, body)
		e.Bytes = n
		declared := h.ContentLength()
		e.Short = err != nil || declared >= 0 && n < int64(declared)
	}
	e.BodySum = hexSum(sum.Sum64())
	return e
}

// workTime returns how long a request holds its slot.
func (w *Worker) workTime(ctx *fasthttp.RequestCtx, factor float64) time.Duration {
	mean := w.cfg.ServiceTime
	if us, err := strconv.Atoi(string(ctx.Request.Header.Peek(headerWork))); err == nil && us > 0 {
		mean = min(time.Duration(us)*time.Microsecond, time.Minute)
	}
	return time.Duration(factor * float64(w.rand.around(mean)))
}

// respond writes the answer that the caller can verify.
func (w *Worker) respond(ctx *fasthttp.RequestCtx, e Execution) {
	n, err := strconv.Atoi(string(ctx.Request.Header.Peek(headerAnswerBytes)))
	if err != nil || n < 0 {
		n = 0
	}
	n = min(n, maxAnswerBytes)
	sum, _, _ := sumOf(answerBody(e.Token, e.BodySum, n))
	h := &ctx.Response.Header
	h.Set(headerToken, e.Token)
	h.Set(headerBodySum, e.BodySum)
	h.Set(headerAnswerSum, sum)
	h.Set(headerWorker, w.cfg.ID)
	ctx.SetContentType("application/octet-stream")
	body := answerBody(e.Token, e.BodySum, n)
	size := answerSize(e.Token, e.BodySum, n)
	if size > bufferedAnswer {
		ctx.SetBodyStream(body, size)
		return
	}
	raw := make([]byte, size)
	if _, err := io.ReadFull(body, raw); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(raw)
}
