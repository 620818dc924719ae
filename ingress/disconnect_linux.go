package ingress

import (
	"net"
	"syscall"
)

// disconnected reports whether the other end has closed the connection. It neither blocks
// nor consumes a byte.
func disconnected(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	var buf [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, recvErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = (n == 0 && recvErr == nil) || recvErr == syscall.ECONNRESET
	})
	return err != nil || closed
}
