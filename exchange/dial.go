package exchange

import (
	"context"
	"net"
	"time"
)

const (
	// unackedTimeout is how long sent bytes may stay unacknowledged. A host without
	// power or behind a network partition sends no reset.
	unackedTimeout = 1500 * time.Millisecond
	// tcpKeepAliveInterval and tcpKeepAliveProbes detect a dead connection on which
	// nothing is being sent.
	tcpKeepAliveInterval = time.Second
	tcpKeepAliveProbes   = 2
)

// Dial opens a TCP connection that fails once the other host has not acknowledged
// anything for a few seconds.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return dial(ctx, address, nil)
}

// DialFrom returns a Dial function that binds its connections to a local IP.
func DialFrom(ip string) func(ctx context.Context, address string) (net.Conn, error) {
	localAddr := &net.TCPAddr{IP: net.ParseIP(ip)}
	return func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, address, localAddr) }
}

func dial(ctx context.Context, address string, localAddr net.Addr) (net.Conn, error) {
	d := net.Dialer{
		LocalAddr: localAddr,
		Control:   setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: tcpKeepAliveInterval, Interval: tcpKeepAliveInterval, Count: tcpKeepAliveProbes,
		},
	}
	return d.DialContext(ctx, "tcp", address)
}
