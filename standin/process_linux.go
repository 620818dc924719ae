package standin

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// dieWithParent lets the system kill a child when its parent dies.
func dieWithParent(a *syscall.SysProcAttr) { a.Pdeathsig = syscall.SIGKILL }

// frozen reports whether every thread of a process has stopped, by its state in
// proc(5).
func frozen(pid int) bool {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(tasks) == 0 {
		return false
	}
	for _, task := range tasks {
		text, err := os.ReadFile(task)
		if err != nil {
			return false
		}
		// The name before the state stands in brackets and may hold any byte.
		_, after, found := strings.Cut(string(text[bytes.LastIndexByte(text, ')')+1:]), " ")
		if !found || !strings.HasPrefix(after, "T") {
			return false
		}
	}
	return true
}
