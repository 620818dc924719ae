package standin

import (
	"testing"
	"time"
)

// TestFreezeWaitsUntilTheProcessHasStopped: once Freeze returns no thread runs on,
// and Thaw lets all go on.
func TestFreezeWaitsUntilTheProcessHasStopped(t *testing.T) {
	p, err := StartProcess(ProcessConfig{Name: "busy", Path: "/bin/sh", Args: []string{"-c", "while :; do :; done"}})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	if frozen(p.Pid()) {
		t.Fatal("frozen before")
	}
	for range 20 {
		if err := p.Freeze(); err != nil || !frozen(p.Pid()) {
			t.Fatalf("runs on: %v", err)
		}
		if err := p.Thaw(); err != nil {
			t.Fatal(err)
		}
		for limit := time.Now().Add(freezeLimit); frozen(p.Pid()); time.Sleep(freezePoll) {
			if time.Now().After(limit) {
				t.Fatal("still frozen")
			}
		}
	}
}
