package daemon

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"pomelodoor.example/pomelodoor/node"
)

// serveAdmin answers operators.
func (d *Daemon) serveAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/debug/vars":
		expvarhandler.ExpvarHandler(ctx)
	case "/status":
		ctx.SetContentType("application/json")
		if err := json.NewEncoder(ctx).Encode(d.Status()); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		}
	default:
		ctx.Error("the pages are /status and /debug/vars", fasthttp.StatusNotFound)
	}
}

// Status returns what this daemon tells operators of itself.
func (d *Daemon) Status() node.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Status(time.Now())
}
