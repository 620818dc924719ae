//go:build cgo && unix

package main

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// startingEnv makes the test binary a process that only starts and ends.
const startingEnv = "POMELODOOR_TEST_STARTING"

func TestMain(m *testing.M) {
	if os.Getenv(startingEnv) != "" {
		time.Sleep(30 * time.Millisecond)
		return
	}
	if os.Getenv(daemonEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestReloadDuringStart sends a reload signal while the process starts, before main has
// installed its handlers.
func TestReloadDuringStart(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 2 * time.Millisecond, 4 * time.Millisecond, 8 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			for range 5 {
				c := exec.Command(os.Args[0])
				c.Env = append(os.Environ(), startingEnv+"=1")
				if err := c.Start(); err != nil {
					t.Fatal(err)
				}
				time.Sleep(delay)
				if err := c.Process.Signal(syscall.SIGHUP); err != nil {
					t.Fatal(err)
				}
				if err := c.Wait(); err != nil {
					t.Fatalf("the starting process ended: %v", err)
				}
			}
		})
	}
}
