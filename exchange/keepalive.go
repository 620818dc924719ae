package exchange

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// keepAliveMargin is how long before the server's idle timeout a connection is no
// longer reused: the server might close it while a request is on the way.
const keepAliveMargin = 500 * time.Millisecond

// parseKeepAlive returns how long a connection may stay idle according to the
// Keep-Alive header (RFC 2068, section 19.7.1), or the longest duration if the header
// has no timeout.
func parseKeepAlive(h *fasthttp.ResponseHeader) time.Duration {
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
