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
// Keep-Alive header (RFC 2068, section 19.7.1): the shortest timeout of all its lines, or
// the longest duration if there is none.
func parseKeepAlive(h *fasthttp.ResponseHeader) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, line := range h.PeekAll("Keep-Alive") {
		for part := range strings.SplitSeq(string(line), ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			value = strings.Trim(strings.TrimSpace(value), `"`)
			if seconds, err := strconv.ParseUint(value, 10, 16); err == nil {
				shortest = min(shortest, max(time.Duration(seconds)*time.Second-keepAliveMargin, 0))
			}
		}
	}
	return shortest
}
