package exchange

import (
	"math"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// TestKeepAliveLines guards against a timeout that is missed because it is not in the
// first line of the header.
func TestKeepAliveLines(t *testing.T) {
	tests := map[string]struct {
		lines []string
		want  time.Duration
	}{
		"none":                {nil, math.MaxInt64},
		"timeout":             {[]string{"timeout=5"}, 4500 * time.Millisecond},
		"second parameter":    {[]string{"max=100, timeout=5"}, 4500 * time.Millisecond},
		"second line":         {[]string{"max=100", "timeout=5"}, 4500 * time.Millisecond},
		"two timeouts":        {[]string{"timeout=9", "timeout=5"}, 4500 * time.Millisecond},
		"spaces and quotes":   {[]string{`Timeout = "5"`}, 4500 * time.Millisecond},
		"less than a second":  {[]string{"timeout=0"}, 0},
		"not a whole number":  {[]string{"timeout=soon"}, math.MaxInt64},
		"invalid, then valid": {[]string{"timeout=-1", "timeout=5"}, 4500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var h fasthttp.ResponseHeader
			for _, line := range test.lines {
				h.Add("Keep-Alive", line)
			}
			if got := parseKeepAlive(&h); got != test.want {
				t.Fatalf("got %s, want %s", got, test.want)
			}
		})
	}
}
