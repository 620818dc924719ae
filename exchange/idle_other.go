//go:build !linux

package exchange

import "net"

// socketIdle assumes an idle socket on platforms where it cannot be inspected.
func socketIdle(net.Conn) bool { return true }
