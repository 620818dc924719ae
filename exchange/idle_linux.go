package exchange

import (
	"net"
	"syscall"
)

// socketIdle reports whether the socket is open and has no unread bytes. It neither
// blocks nor consumes a byte.
func socketIdle(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, recvErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = recvErr == syscall.EAGAIN
	})
	return err == nil && open
}
