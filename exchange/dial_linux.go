package exchange

import (
	"fmt"
	"syscall"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), in milliseconds.
const tcpUserTimeout = 18

// limitSilence bounds how long sent bytes may go unacknowledged.
func limitSilence(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silenceLimit.Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		return fmt.Errorf("limit silence: %w", err)
	}
	return nil
}
