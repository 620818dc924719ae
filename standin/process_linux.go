package standin

import "syscall"

// dieWithParent lets the system kill a child when its parent dies.
func dieWithParent(a *syscall.SysProcAttr) { a.Pdeathsig = syscall.SIGKILL }
