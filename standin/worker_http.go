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

// maxFillerBytes limits the filler bytes in a response.
const maxFillerBytes = 64 << 20

// maxBufferedBytes is the size of the largest response that is not streamed.
const maxBufferedBytes = 64 << 10

// ExecutionsResponse is the response of GET /admin/executions.
type ExecutionsResponse struct {
	Executions []Execution `json:"executions"`
	Dropped    int         `json:"lost"`
	Crashes    int         `json:"crashes"`
}

// handle serves requests from daemons and, under /admin/, from tests.
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

// handleAdminOnly serves admin requests on the address that stays open during a
// crash.
func (w *Worker) handleAdminOnly(ctx *fasthttp.RequestCtx) {
	w.handleAdmin(ctx, strings.TrimPrefix(string(ctx.Path()), "/admin/"))
}

// handleAdmin reports the executions and changes the behavior of the worker.
func (w *Worker) handleAdmin(ctx *fasthttp.RequestCtx, path string) {
	switch string(ctx.Method()) + " " + path {
	case "GET executions":
		executions, dropped := w.log.snapshot()
		writeJSON(ctx, ExecutionsResponse{Executions: executions, Dropped: dropped, Crashes: w.Crashes()})
	case "POST set":
		w.set(ctx)
	case "POST crash":
		w.Crash()
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

// set changes the settings given in the query and leaves the others unchanged.
func (w *Worker) set(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	if args.Has("factor") {
		f, err := args.GetUfloat("factor")
		if err != nil {
			ctx.Error("factor is not a number", fasthttp.StatusBadRequest)
			return
		}
		w.SetServiceTimeFactor(f)
	}
	for name, set := range map[string]func(bool){
		"failFast": w.SetFailFast, "drain": w.SetDrain, "cold": w.SetCold,
	} {
		if args.Has(name) {
			set(boolArg(ctx, name))
		}
	}
}

// run reads the whole request, holds a slot for its service time and responds.
func (w *Worker) run(ctx *fasthttp.RequestCtx) {
	w.inFlight.Add(1)
	defer w.inFlight.Add(-1)
	arrived := time.Now()
	e := w.receive(ctx)
	defer w.cfg.OnFinished(e.Token)
	e.StartUs = e.ArrivedUs
	if e.Truncated {
		w.log.end(w.log.start(e), fasthttp.StatusBadRequest, false, time.Now())
		ctx.Error("body cut short", fasthttp.StatusBadRequest)
		ctx.SetConnectionClose()
		return
	}
	incarnation := w.Crashes()
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	if w.Crashes() != incarnation {
		return
	}

	now := time.Now()
	e.StartUs = now.UnixMicro()
	index := w.log.start(e)
	if string(ctx.Request.Header.Peek(headerCrash)) == "1" {
		w.log.end(index, 0, true, now)
		w.Crash()
		return
	}
	factor, failFast := w.slowdown(now)
	if failFast {
		time.Sleep(failFastDelay)
		w.log.end(index, fasthttp.StatusInternalServerError, false, time.Now())
		ctx.Error("failing fast", fasthttp.StatusInternalServerError)
		ctx.Response.Header.Set(headerToken, e.Token)
		return
	}
	time.Sleep(w.workTime(ctx, factor))
	w.respond(ctx, e)
	now = time.Now()
	ctx.Response.Header.Set(headerHeldUs, strconv.FormatInt(now.Sub(arrived).Microseconds(), 10))
	w.log.end(index, fasthttp.StatusOK, false, now)
}

// receive reads the request body as a stream, with bounded memory, and returns a
// description of the request.
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
		e.Truncated = err != nil || declared >= 0 && n < int64(declared)
	}
	e.BodySum = hexSum(sum.Sum64())
	return e
}

// workTime returns a random service time for a request.
func (w *Worker) workTime(ctx *fasthttp.RequestCtx, factor float64) time.Duration {
	mean := w.cfg.ServiceTime
	if us, err := strconv.Atoi(string(ctx.Request.Header.Peek(headerWorkUs))); err == nil && us > 0 {
		mean = min(time.Duration(us)*time.Microsecond, time.Minute)
	}
	return time.Duration(factor * float64(w.jitter.duration(mean)))
}

// respond writes a response that the caller can verify.
func (w *Worker) respond(ctx *fasthttp.RequestCtx, e Execution) {
	n, err := strconv.Atoi(string(ctx.Request.Header.Peek(headerAnswerBytes)))
	if err != nil || n < 0 {
		n = 0
	}
	n = min(n, maxFillerBytes)
	sum, _, _ := checksum(responseBody(e.Token, e.BodySum, n))
	h := &ctx.Response.Header
	h.Set(headerToken, e.Token)
	h.Set(headerBodySum, e.BodySum)
	h.Set(headerAnswerSum, sum)
	h.Set(headerWorker, w.cfg.ID)
	ctx.SetContentType("application/octet-stream")
	body := responseBody(e.Token, e.BodySum, n)
	size := responseSize(e.Token, e.BodySum, n)
	if size > maxBufferedBytes {
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
