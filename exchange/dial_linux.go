package exchange

import (
	"fmt"
	"syscall"
)

// tcpUserTimeoutOption is the socket option TCP_USER_TIMEOUT of tcp(7), whose value
// is in milliseconds.
const tcpUserTimeoutOption = 18

// setUserTimeout limits how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(unackedTimeout.Milliseconds()))
	})
	if err == nil {
		err = setErr
	}
	if err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}
