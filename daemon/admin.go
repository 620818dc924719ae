package daemon

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"
)

// serveAdmin answers operators.
func (d *Daemon) serveAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/debug/vars":
		expvarhandler.ExpvarHandler(ctx)
	case "/status":
		d.mu.Lock()
		status := d.node.Status(time.Now())
		d.mu.Unlock()
		ctx.SetContentType("application/json")
		if err := json.NewEncoder(ctx).Encode(status); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		}
	default:
		ctx.Error("the pages are /status and /debug/vars", fasthttp.StatusNotFound)
	}
}
