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

// TestMain lets the test program stand for the command: the fleet starts its
// stand-ins from the program that runs.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && !strings.HasPrefix(os.Args[1], "-") {
		main()
		return
	}
	os.Exit(m.Run())
}

// children returns the processes that this one started and that still live.
func children(t *testing.T) []string {
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

// stateOf returns the state of a process, empty when it is gone. A process in
// state Z has ended; whether it is still listed is up to init.
func stateOf(pid string) string {
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
	if left := children(t); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

func TestDemoEndsWithItsContext(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	demo := demoArgs{Direct: true, Rate: 100, Duration: 15 * time.Second, Seed: 2}
	start := time.Now()
	if err := demo.run(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v", err)
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("took %v", took)
	}
	if left := children(t); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

func TestDemoLeavesNothingWhenKilled(t *testing.T) {
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
			if n := len(strings.Fields(string(started))); n != demoWorkers+1 {
				t.Errorf("%d processes started", n)
			}
			_ = cmd.Process.Signal(signal)
			_ = cmd.Wait()
			time.Sleep(500 * time.Millisecond)
			for pid := range strings.FieldsSeq(string(started)) {
				if state := stateOf(pid); state != "" && state[0] != 'Z' {
					t.Errorf("process %s lives on in state %s", pid, state)
				}
			}
		})
	}
}

func TestBadFlags(t *testing.T) {
	for name, run := range map[string]func() error{
		"rate":     func() error { return (&demoArgs{Rate: -1, Duration: time.Second}).run(t.Context()) },
		"duration": func() error { return (&demoArgs{Rate: 1, Duration: time.Hour}).run(t.Context()) },
		"pairs":    func() error { return (&addedArgs{}).run(t.Context()) },
	} {
		t.Run(name, func(t *testing.T) {
			if err := run(); !errors.Is(err, errBadFlag) {
				t.Errorf("got %v", err)
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
		"too many names": {plotArgs{Out: out, Names: []string{"a", "b"}, Reports: []string{good}}, errBadFlag},
		"no report":      {plotArgs{Out: out, Reports: []string{good, bad}}, daychart.ErrReport},
		"no file":        {plotArgs{Out: out, Reports: []string{filepath.Join(dir, "none")}}, os.ErrNotExist},
		"no directory":   {plotArgs{Out: filepath.Join(dir, "none", "day.svg"), Reports: []string{good}}, os.ErrNotExist},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if err := test.args.run(); !errors.Is(err, test.want) {
				t.Fatalf("error %v, want %v", err, test.want)
			}
		})
	}
}
