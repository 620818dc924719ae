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
	return dial(ctx, address, nil)
}

// DialFrom returns a Dial whose connections come from an IP of this machine.
func DialFrom(ip string) func(ctx context.Context, address string) (net.Conn, error) {
	from := &net.TCPAddr{IP: net.ParseIP(ip)}
	return func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, address, from) }
}

func dial(ctx context.Context, address string, from net.Addr) (net.Conn, error) {
	d := net.Dialer{
		LocalAddr: from,
		Control:   limitSilence,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveEvery, Interval: keepAliveEvery, Count: keepAliveMisses,
		},
	}
	return d.DialContext(ctx, "tcp", address)
}
