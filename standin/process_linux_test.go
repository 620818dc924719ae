package standin

import (
	"testing"
	"time"
)

// TestFreezeWaitsUntilStopped checks that all threads are stopped when Freeze
// returns, and that Thaw resumes the process.
func TestFreezeWaitsUntilStopped(t *testing.T) {
	p, err := StartProcess(ProcessConfig{Name: "busy", Path: "/bin/sh", Args: []string{"-c", "while :; do :; done"}})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	if frozen(p.Pid()) {
		t.Fatal("process is frozen before Freeze")
	}
	for range 20 {
		if err := p.Pause(); err != nil || !frozen(p.Pid()) {
			t.Fatalf("Freeze: got error %v or a running process, want it frozen", err)
		}
		if err := p.Resume(); err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(freezeTimeout); frozen(p.Pid()); time.Sleep(freezePollInterval) {
			if time.Now().After(deadline) {
				t.Fatal("process is still frozen after Thaw")
			}
		}
	}
}
