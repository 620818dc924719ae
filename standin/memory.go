package standin

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// PeakMemoryMB returns the peak of the process's resident memory in MB (VmHWM in proc(5)). It
// returns false where that cannot be read: on systems without /proc, or after the end.
func (p *Process) PeakMemoryMB() (int, bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		return 0, false
	}
	_, after, found := strings.Cut(string(text), "\nVmHWM:")
	fields := strings.Fields(after)
	if !found || len(fields) == 0 {
		return 0, false
	}
	kB, err := strconv.Atoi(fields[0])
	return kB / 1024, err == nil
}
