//go:build !linux

package exchange

import "net"

// quiet trusts the connection where the socket cannot be looked at.
func quiet(net.Conn) bool { return true }
