package daemon

import (
	"bufio"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/node"
)

// serveAdmin serves the admin port: /status, /documents and /debug/vars.
func (d *Daemon) serveAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/debug/vars":
		expvarhandler.ExpvarHandler(ctx)
	case "/status":
		ctx.SetContentType("application/json")
		if err := json.NewEncoder(ctx).Encode(d.Status()); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		}
	case "/documents":
		documents := d.documents()
		ctx.SetContentType("application/json")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { writeDocuments(w, documents) })
	default:
		ctx.Error("the pages are /status, /documents and /debug/vars", fasthttp.StatusNotFound)
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

// documents returns the documents in force.
func (d *Daemon) documents() []config.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.ConfigDocuments()
}

// writeDocuments writes documents as JSON, each with its original text. It keeps no copy,
// because a routes document may be large. A failed write ends the connection.
func writeDocuments(w *bufio.Writer, documents []config.Document) {
	_, _ = w.WriteString(`{"documents":[`)
	for i, d := range documents {
		if i > 0 {
			_ = w.WriteByte(',')
		}
		// A key contains no character that JSON escapes.
		_, _ = fmt.Fprintf(w, "\n{\"key\":%q,\"revision\":%d,\"digest\":%q,\"document\":", d.Key(), d.Revision(), d.Digest())
		_, _ = w.Write(d.Bytes())
		_ = w.WriteByte('}')
	}
	_, _ = w.WriteString("]}\n")
}
