package standin

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// handleAdmin serves requests from tests, which perform the actions of operators
// and of the platform itself.
func (p *Platform) handleAdmin(ctx *fasthttp.RequestCtx, path string) {
	kind, name, _ := strings.Cut(path, "/")
	switch string(ctx.Method()) + " " + kind {
	case "PUT values":
		p.replyError(ctx, p.Publish(name, ctx.PostBody()))
	case "PUT instances":
		in, err := parseInstance(name, ctx.PostBody())
		if err == nil {
			err = p.SetInstance(in)
		}
		p.replyError(ctx, err)
	case "DELETE instances":
		p.RemoveInstance(name)
	case "POST outage":
		p.SetOutage(parseOutage(string(ctx.QueryArgs().Peek("on"))))
	case "POST stale":
		p.SetStale(boolArg(ctx, "on"))
	case "POST mark":
		p.SaveState()
	case "POST behind":
		p.ServeSavedState(boolArg(ctx, "on"))
	case "POST lag":
		p.SetLag(time.Duration(ctx.QueryArgs().GetUintOrZero("lagMs")) * time.Millisecond)
	case "GET reads":
		writeJSON(ctx, p.Reads())
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

// replyError responds with status 400 if err is not nil.
func (p *Platform) replyError(ctx *fasthttp.RequestCtx, err error) {
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

// parseOutage parses a failure mode: "hang" means OutageHang, a value that means
// on is OutageRefuse, and any other is OutageOff.
func parseOutage(s string) Outage {
	switch {
	case s == string(OutageHang):
		return OutageHang
	case isOn(s):
		return OutageRefuse
	}
	return OutageOff
}

// boolArg reports whether a query argument has a value that means on.
func boolArg(ctx *fasthttp.RequestCtx, name string) bool {
	return isOn(string(ctx.QueryArgs().Peek(name)))
}

// isOn reports whether s is a value that means on.
func isOn(s string) bool {
	return s == "on" || s == "true" || s == "1" || s == "refuse"
}
