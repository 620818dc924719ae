//go:build !linux

package standin

import "syscall"

// dieWithParent does nothing where the system offers no death signal.
func dieWithParent(*syscall.SysProcAttr) {}
