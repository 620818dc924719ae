package standin

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// handleAdmin serves drivers: what operators and the platform itself would do.
func (p *Platform) handleAdmin(ctx *fasthttp.RequestCtx, path string) {
	kind, name, _ := strings.Cut(path, "/")
	switch string(ctx.Method()) + " " + kind {
	case "PUT values":
		p.answer(ctx, p.Publish(name, ctx.PostBody()))
	case "PUT instances":
		in, err := parseInstance(name, ctx.PostBody())
		if err == nil {
			err = p.SetInstance(in)
		}
		p.answer(ctx, err)
	case "DELETE instances":
		p.RemoveInstance(name)
	case "POST outage":
		p.SetOutage(outageOf(string(ctx.QueryArgs().Peek("on"))))
	case "POST stale":
		p.SetStale(isOn(ctx, "on"))
	case "POST mark":
		p.Mark()
	case "POST behind":
		p.SetBehind(isOn(ctx, "on"))
	case "POST lag":
		p.SetLag(time.Duration(ctx.QueryArgs().GetUintOrZero("lagMs")) * time.Millisecond)
	case "GET reads":
		writeJSON(ctx, p.Reads())
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

// answer turns an error into a status.
func (p *Platform) answer(ctx *fasthttp.RequestCtx, err error) {
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

// outageOf reads the wanted outage: hang, or any word for on or off.
func outageOf(s string) Outage {
	switch {
	case s == string(OutageHang):
		return OutageHang
	case isOnWord(s):
		return OutageRefuse
	}
	return OutageOff
}

// isOn reads a query argument that is on or off.
func isOn(ctx *fasthttp.RequestCtx, name string) bool {
	return isOnWord(string(ctx.QueryArgs().Peek(name)))
}

// isOnWord reports whether s is one of the words for on.
func isOnWord(s string) bool {
	return s == "on" || s == "true" || s == "1" || s == "refuse"
}
