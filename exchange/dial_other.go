//go:build !linux

package exchange

import "syscall"

// setUserTimeout does nothing on other platforms; only the keep-alive probes detect
// a dead connection there.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
