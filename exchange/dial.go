package exchange

import (
	"context"
	"net"
	"time"
)

const (
	// silenceLimit is how long sent bytes may go unacknowledged. A peer without
	// power or behind a partition sends no reset.
	silenceLimit = 1500 * time.Millisecond
	// keepAliveEvery and keepAliveMisses find a silent connection on which
	// nothing is being sent.
	keepAliveEvery  = time.Second
	keepAliveMisses = 2
)

// Dial opens a TCP connection that fails once the other end has been silent for
// a few seconds.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Control: limitSilence,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveEvery, Interval: keepAliveEvery, Count: keepAliveMisses,
		},
	}
	return d.DialContext(ctx, "tcp", address)
}
