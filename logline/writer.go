// Package logline writes log lines without ever making a request wait: lines go
// through a bounded buffer to one goroutine, and a budget bounds how many there
// are in a second. What is left out is counted and told.
//
//	w := logline.New(logline.Config{To: os.Stdout})
//	logger := log.NewWithOptions(w, options)
//	if w.Allow(logline.Routine, now) {
//		logger.Info("A request was answered.", "id", id)
//	}
package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Class says how much a line is worth to somebody who looks for a cause.
type Class string

// The classes. Lines of a higher class are also paid for by the budgets of the
// lower ones.
const (
	// Routine is a request that went well.
	Routine Class = "routine"
	// Trouble is a refusal, a failure, a further attempt.
	Trouble Class = "trouble"
)

const (
	// routinePerSecond and troublePerSecond bound the lines on single requests.
	routinePerSecond = 100
	troublePerSecond = 200
	// bufferLines is about two seconds of both budgets.
	bufferLines = 600
	// batchBytes is the length from which lines are written.
	batchBytes = 16 << 10
)

// Config sets up a Writer.
type Config struct {
	To io.Writer
}

// Writer is a log's output that does not block.
type Writer struct {
	to    io.Writer
	lines chan []byte
	// lost counts the lines that found the buffer full, withheld those that the
	// budget left out.
	lost     atomic.Int64
	withheld atomic.Int64
	done     chan struct{}
	once     sync.Once

	mu      sync.Mutex
	second  int64
	routine int
	trouble int
}

// New starts a writer.
func New(cfg Config) *Writer {
	w := &Writer{to: cfg.To, lines: make(chan []byte, bufferLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never waits and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.lost.Add(1)
	}
	return len(p), nil
}

// Allow reports whether the budget has room for one more line of the class.
func (w *Writer) Allow(class Class, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := now.Unix(); second != w.second {
		w.second, w.routine, w.trouble = second, 0, 0
	}
	switch {
	case class == Trouble && w.trouble < troublePerSecond:
		w.trouble++
		return true
	case w.routine < routinePerSecond:
		w.routine++
		return true
	}
	w.withheld.Add(1)
	return false
}

// Withheld returns how many lines were left out so far.
func (w *Writer) Withheld() int64 { return w.withheld.Load() + w.lost.Load() }

// Close writes what is buffered and stops, or gives up at the limit.
func (w *Writer) Close(limit time.Duration) {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

// gather adds the lines that wait already, so that they cost one system call.
func (w *Writer) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = w.gather(append(batch[:0], line...))
		_, _ = w.to.Write(batch)
		if n := w.lost.Swap(0); n > 0 {
			w.withheld.Add(n)
			_, _ = fmt.Fprintf(w.to, `{"level":"warn","prefix":"log","msg":"Lines were lost, the reader is too slow.","lines":%d}`+"\n", n)
		}
	}
}
