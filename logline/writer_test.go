package logline_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"pomelodoor.example/pomelodoor/logline"
)

// blockedWriter blocks all writes while mu is locked.
type blockedWriter struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestWriteDoesNotWaitForOutput(t *testing.T) {
	to := &blockedWriter{}
	to.mu.Lock()
	w := logline.New(logline.Config{To: to})
	start := time.Now()
	for range 5000 {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("Write: got %d, %v; want 5, nil", n, err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Fatalf("writing 5000 lines took %s, want at most 1 s", took)
	}
	if w.Withheld() == 0 {
		t.Fatal("Withheld does not count the lost lines")
	}
	to.mu.Unlock()
	w.Close(2 * time.Second)
	if text := to.text.String(); !strings.Contains(text, "Lines were lost") {
		t.Fatalf("the log does not report the lost lines:\n%.200s", text)
	}
}

func TestLineBudget(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		routine, faults         int
		wantRoutine, wantFaults int
	}{
		"below both budgets":                 {50, 10, 50, 10},
		"routine over budget":                {1000, 0, 100, 0},
		"faults draw on the routine budget":  {0, 1000, 0, 300},
		"both over budget":                   {1000, 1000, 100, 200},
		"routine over budget, faults within": {1000, 150, 100, 150},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := logline.New(logline.Config{To: io.Discard})
			defer w.Close(time.Second)
			count := func(class logline.Class, n int) (allowed int) {
				for range n {
					if w.Allow(class, now) {
						allowed++
					}
				}
				return allowed
			}
			if got := count(logline.Routine, test.routine); got != test.wantRoutine {
				t.Errorf("got %d routine lines, want %d", got, test.wantRoutine)
			}
			if got := count(logline.Fault, test.faults); got != test.wantFaults {
				t.Errorf("got %d fault lines, want %d", got, test.wantFaults)
			}
			if !w.Allow(logline.Routine, now.Add(time.Second)) {
				t.Error("the budget is not renewed in the next second")
			}
		})
	}
}

// BenchmarkLine measures writing one log line about a request.
func BenchmarkLine(b *testing.B) {
	w := logline.New(logline.Config{To: io.Discard})
	defer w.Close(time.Second)
	logger := log.NewWithOptions(w, log.Options{ReportTimestamp: true, Formatter: log.JSONFormatter}).WithPrefix("ingress")
	b.ReportAllocs()
	for b.Loop() {
		logger.Info("A request is answered.", "id", "9c41d07be2a35f68", "call", "7add7ce47337b6f3", "outcome", "run",
			"reason", "answered", "status", 200, "tookMs", 12.25)
	}
}
