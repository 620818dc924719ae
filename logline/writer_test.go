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

// stuck is a reader that takes nothing until it is released.
type stuck struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestAStuckReaderDelaysNobody(t *testing.T) {
	to := &stuck{}
	to.mu.Lock()
	w := logline.New(logline.Config{To: to})
	start := time.Now()
	for range 5000 {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("%d, %v", n, err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Fatalf("5000 lines took %s", took)
	}
	if w.Withheld() == 0 {
		t.Fatal("lines that were lost are not counted")
	}
	to.mu.Unlock()
	w.Close(2 * time.Second)
	if text := to.text.String(); !strings.Contains(text, "Lines were lost") {
		t.Fatalf("the log does not tell of lost lines:\n%.200s", text)
	}
}

func TestBudget(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		routine, trouble       int
		wantRoutine, wantOther int
	}{
		"calm":              {50, 10, 50, 10},
		"many successes":    {1000, 0, 100, 0},
		"many failures":     {0, 1000, 0, 300},
		"both":              {1000, 1000, 100, 200},
		"failures go first": {1000, 150, 100, 150},
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
				t.Errorf("%d routine lines, want %d", got, test.wantRoutine)
			}
			if got := count(logline.Trouble, test.trouble); got != test.wantOther {
				t.Errorf("%d lines of trouble, want %d", got, test.wantOther)
			}
			if !w.Allow(logline.Routine, now.Add(time.Second)) {
				t.Error("the next second has no room")
			}
		})
	}
}

// BenchmarkLine is what one line on a request costs.
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
