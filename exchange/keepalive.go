package exchange

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// keepAliveMargin is how much sooner than the server closes an idle connection
// it is no longer taken: a request and the close would meet on the way.
const keepAliveMargin = 500 * time.Millisecond

// keepAlive returns how long a connection may stay idle by the Keep-Alive
// header (RFC 2068, section 19.7.1), or the longest time when that says nothing.
func keepAlive(h *fasthttp.ResponseHeader) time.Duration {
	for part := range strings.SplitSeq(string(h.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseUint(value, 10, 16); err == nil {
			return max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
		}
	}
	return math.MaxInt64
}
