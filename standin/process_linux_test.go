package standin

import (
	"testing"
	"time"
)

// TestPauseWaitsUntilStopped checks that all threads are stopped when Pause
// returns, and that Resume continues the process.
func TestPauseWaitsUntilStopped(t *testing.T) {
	p, err := StartProcess(ProcessConfig{Name: "busy", Path: "/bin/sh", Args: []string{"-c", "while :; do :; done"}})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	if stopped(p.Pid()) {
		t.Fatal("process is stopped before Pause")
	}
	for range 20 {
		if err := p.Pause(); err != nil || !stopped(p.Pid()) {
			t.Fatalf("Pause: got error %v or a running process, want it stopped", err)
		}
		if err := p.Resume(); err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(pauseTimeout); stopped(p.Pid()); time.Sleep(pausePollInterval) {
			if time.Now().After(deadline) {
				t.Fatal("process is still stopped after Resume")
			}
		}
	}
}
