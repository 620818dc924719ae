package standin

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// killWithParent makes the system kill the child when its parent dies.
func killWithParent(a *syscall.SysProcAttr) { a.Pdeathsig = syscall.SIGKILL }

// stopped reports whether every thread of a process is stopped according to
// /proc, see proc(5).
func stopped(pid int) bool {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(tasks) == 0 {
		return false
	}
	for _, task := range tasks {
		text, err := os.ReadFile(task)
		if err != nil {
			return false
		}
		// The name before the state is in parentheses and may contain any byte.
		_, after, found := strings.Cut(string(text[bytes.LastIndexByte(text, ')')+1:]), " ")
		if !found || !strings.HasPrefix(after, "T") {
			return false
		}
	}
	return true
}
