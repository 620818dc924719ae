package main

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/daychart"
)

// TestMain runs the command itself if the test binary is started with a
// subcommand: a fleet starts its stand-ins from the running executable.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && !strings.HasPrefix(os.Args[1], "-") {
		main()
		return
	}
	os.Exit(m.Run())
}

// liveChildren returns the child processes of the test that still run.
func liveChildren(t *testing.T) []string {
	t.Helper()
	out, err := exec.Command("ps", "-o", "pid=,args=", "--ppid", strconv.Itoa(os.Getpid())).Output()
	if err != nil && len(out) == 0 {
		return nil
	}
	var left []string
	for line := range strings.Lines(string(out)) {
		if !strings.Contains(line, "ps -o") {
			left = append(left, strings.TrimSpace(line))
		}
	}
	return left
}

// processState returns the state of a process, or "" if it is not listed. A
// process in state Z has exited but has not been reaped by init yet.
func processState(pid string) string {
	out, _ := exec.Command("ps", "-o", "stat=", "-p", pid).Output()
	return strings.TrimSpace(string(out))
}

func TestDemoDirect(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	demo := demoArgs{Direct: true, Rate: 100, Duration: time.Second, Seed: 2}
	if err := demo.run(t.Context()); err != nil {
		t.Error(err)
	}
	if left := liveChildren(t); len(left) > 0 {
		t.Errorf("child processes still running after the demo: %v", left)
	}
}

func TestDemoStopsWhenContextExpires(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	demo := demoArgs{Direct: true, Rate: 100, Duration: 15 * time.Second, Seed: 2}
	start := time.Now()
	if err := demo.run(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("run() error = %v, want context.DeadlineExceeded", err)
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("run() returned after %v, want at most 5s", took)
	}
	if left := liveChildren(t); len(left) > 0 {
		t.Errorf("child processes still running after the demo timed out: %v", left)
	}
}

func TestDemoChildrenExitWhenDemoIsKilled(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for name, signal := range map[string]syscall.Signal{"interrupt": syscall.SIGINT, "kill": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			cmd := exec.Command(os.Args[0], "demo", "--direct", "--duration", "15s")
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1500 * time.Millisecond)
			started, _ := exec.Command("ps", "-o", "pid=", "--ppid", strconv.Itoa(cmd.Process.Pid)).Output()
			if n := len(strings.Fields(string(started))); n != demoWorkerCount+1 {
				t.Errorf("demo started %d processes, want one per worker and the platform", n)
			}
			_ = cmd.Process.Signal(signal)
			_ = cmd.Wait()
			time.Sleep(500 * time.Millisecond)
			for pid := range strings.FieldsSeq(string(started)) {
				if state := processState(pid); state != "" && state[0] != 'Z' {
					t.Errorf("process %s still runs in state %s after the demo was killed", pid, state)
				}
			}
		})
	}
}

func TestInvalidArgs(t *testing.T) {
	for name, run := range map[string]func() error{
		"rate":     func() error { return (&demoArgs{Rate: -1, Duration: time.Second}).run(t.Context()) },
		"duration": func() error { return (&demoArgs{Rate: 1, Duration: time.Hour}).run(t.Context()) },
		"pairs":    func() error { return (&addedArgs{}).run(t.Context()) },
	} {
		t.Run(name, func(t *testing.T) {
			if err := run(); !errors.Is(err, errInvalidArgs) {
				t.Errorf("run() error = %v, want errInvalidArgs", err)
			}
		})
	}
}

func TestPlot(t *testing.T) {
	dir := t.TempDir()
	good, bad, out := filepath.Join(dir, "a.json"), filepath.Join(dir, "b.json"), filepath.Join(dir, "day.svg")
	if err := os.WriteFile(good, []byte(`{"windows":[{"name":"0","worth":1},{"name":"2","worth":0.5}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(bad, []byte(`{}`), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		args plotArgs
		want error
	}{
		"two versions":   {plotArgs{Out: out, Names: []string{"before", "after"}, Reports: []string{good, good}}, nil},
		"no name":        {plotArgs{Out: out, Reports: []string{good}}, nil},
		"too many names": {plotArgs{Out: out, Names: []string{"a", "b"}, Reports: []string{good}}, errInvalidArgs},
		"invalid report": {plotArgs{Out: out, Reports: []string{good, bad}}, daychart.ErrInvalidReport},
		"no file":        {plotArgs{Out: out, Reports: []string{filepath.Join(dir, "none")}}, os.ErrNotExist},
		"no directory":   {plotArgs{Out: filepath.Join(dir, "none", "day.svg"), Reports: []string{good}}, os.ErrNotExist},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if err := test.args.run(); !errors.Is(err, test.want) {
				t.Fatalf("run() error = %v, want %v", err, test.want)
			}
		})
	}
}
