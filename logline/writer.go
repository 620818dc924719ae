// Package logline writes log lines without blocking the caller. Lines go through a
// bounded buffer to a goroutine that writes them, and a budget limits the lines
// about single requests per second. Lines that are left out are counted; those
// that find the buffer full are also reported in the log.
//
//	w := logline.New(logline.Config{To: os.Stdout})
//	logger := log.NewWithOptions(w, options)
//	if w.Allow(logline.Routine, now) {
//		logger.Info("A request is answered.", "id", id)
//	}
package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Class is the importance of a log line about a request for troubleshooting.
type Class string

// The classes. Once the budget of Fault is used up, its lines draw on the budget
// of Routine.
const (
	// Routine is for requests that succeed and for attempts that are sent.
	Routine Class = "routine"
	// Fault is for refusals and failures.
	Fault Class = "trouble"
)

const (
	// routineLinesPerSecond and faultLinesPerSecond are the budgets for lines
	// about single requests.
	routineLinesPerSecond = 100
	faultLinesPerSecond   = 200
	// bufferLines is the size of the buffer: about two seconds of both budgets.
	bufferLines = 600
	// batchBytes is the size at which a batch of lines is written without adding
	// more.
	batchBytes = 16 << 10
)

// Config configures a Writer.
type Config struct {
	To io.Writer
}

// Writer is a log output that does not block.
type Writer struct {
	to    io.Writer
	lines chan []byte
	// lost counts the lines dropped because the buffer was full that are not
	// reported in the log yet. withheld counts all other lines left out.
	lost     atomic.Int64
	withheld atomic.Int64
	done     chan struct{}
	once     sync.Once

	mu      sync.Mutex
	second  int64
	routine int
	faults  int
}

// New returns a Writer and starts its goroutine.
func New(cfg Config) *Writer {
	w := &Writer{to: cfg.To, lines: make(chan []byte, bufferLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.lost.Add(1)
	}
	return len(p), nil
}

// Allow reports whether the budget allows one more line of the class, and counts
// that line.
func (w *Writer) Allow(class Class, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := now.Unix(); second != w.second {
		w.second, w.routine, w.faults = second, 0, 0
	}
	switch {
	case class == Fault && w.faults < faultLinesPerSecond:
		w.faults++
		return true
	case w.routine < routineLinesPerSecond:
		w.routine++
		return true
	}
	w.withheld.Add(1)
	return false
}

// Withheld returns how many lines were left out so far.
func (w *Writer) Withheld() int64 { return w.withheld.Load() + w.lost.Load() }

// Close writes the buffered lines and stops the writer. It gives up after limit.
func (w *Writer) Close(limit time.Duration) {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

// appendBuffered appends the lines that are already buffered, so that one system
// call writes them all.
func (w *Writer) appendBuffered(batch []byte) []byte {
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
		batch = w.appendBuffered(append(batch[:0], line...))
		_, _ = w.to.Write(batch)
		if n := w.lost.Swap(0); n > 0 {
			w.withheld.Add(n)
			_, _ = fmt.Fprintf(w.to, `{"level":"warn","prefix":"log","msg":"Lines were lost, the reader is too slow.","lines":%d}`+"\n", n)
		}
	}
}
