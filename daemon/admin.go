package daemon

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"pomelodoor.example/pomelodoor/node"
)

// serveAdmin serves the admin port: /status and /debug/vars.
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

// Status returns the daemon's status for operators.
func (d *Daemon) Status() node.Status {
	d.mu.Lock()
	status := d.node.Status(time.Now())
	d.mu.Unlock()
	if d.settings.direct() {
		status.Store = d.storeCopy.status(time.Now())
	}
	report := d.memoryReport()
	status.Memory = &report
	return status
}
