//go:build !linux

package ingress

import "net"

// disconnected cannot inspect the socket on other platforms; there the deadline ends the
// request.
func disconnected(net.Conn) bool { return false }
