package soak

import (
	"context"
	"fmt"
	"time"
)

const (
	// daemonMemoryMB is the memory of a machine that its daemon is told, and the bound on the
	// daemon's resident memory.
	daemonMemoryMB = 64
	// memoryInterval is the time between two looks at the daemons' memory.
	memoryInterval = 200 * time.Millisecond
)

// watchMemory records the resident memory of the daemons until the context ends.
func (f *fleet) watchMemory(ctx context.Context) {
	for sleep(ctx, memoryInterval) {
		for _, m := range f.machines {
			if mb, ok := m.peakMemory(); ok {
				f.history.addMemory(m.name(), mb)
			}
		}
	}
}

// peakMemory returns the peak of the daemon's resident memory in MB, if it can be read.
func (m *machine) peakMemory() (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return 0, false
	}
	return m.process.PeakMemoryMB()
}

// addMemory records the resident memory of a daemon.
func (h *history) addMemory(daemon string, mb int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if mb > h.memoryMost {
		h.memoryMost, h.memoryDaemon = mb, daemon
	}
}

// checkMemory checks that no daemon had more resident memory than the bound, if there is one.
func (h *history) checkMemory() []Violation {
	if h.memoryBound == 0 || h.memoryMost <= h.memoryBound {
		return nil
	}
	return []Violation{{Promise: MemoryBounded, Detail: fmt.Sprintf(
		"%s had %d MB of resident memory, at most %d are allowed", h.memoryDaemon, h.memoryMost, h.memoryBound)}}
}
