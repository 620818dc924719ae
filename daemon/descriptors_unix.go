//go:build unix

package daemon

import "syscall"

// maxDescriptors returns how many descriptors this process may open.
func maxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		return defaultDescriptors
	}
	// The limit may be infinite.
	return int(min(limit.Cur, 1<<20))
}
