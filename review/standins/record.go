package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a client, with its own id.
type attempt struct {
	id, class, caller, method, path string
	body                            string
	unsafe                          bool
	runs                            []run
	status                          int
	sentAt                          time.Duration
}

// run is one run of a request at a worker.
type run struct {
	at     time.Duration
	worker string
}

// recorder writes what was sent, answered and run, and checks it.
type recorder struct {
	mu       sync.Mutex
	start    time.Time
	file     *os.File
	out      *bufio.Writer
	attempts map[string]*attempt
	breaks   map[string][]string
	answers  map[int]int
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{
		start: time.Now(), file: file, out: bufio.NewWriter(file), attempts: map[string]*attempt{},
		breaks: map[string][]string{}, answers: map[int]int{},
	}, nil
}

func (r *recorder) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%9.4f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// broken records that a rule was broken. The caller holds r.mu.
func (r *recorder) broken(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.line("BROKEN %s: %s", rule, text)
	r.breaks[rule] = append(r.breaks[rule], text)
}

func (r *recorder) sent(a *attempt, to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.sentAt = time.Since(r.start)
	r.attempts[a.id] = a
	r.line("sent     %s %s %s to %s", a.id, a.class, a.path, to)
}

// ran records that a worker began to work on a request, and checks what it got.
func (r *recorder) ran(id, worker, method, path, body string, callers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("runs     %s at %s", id, worker)
	a := r.attempts[id]
	if a == nil {
		r.broken("UNASKED", "%s was not sent by a client", id)
		return
	}
	a.runs = append(a.runs, run{time.Since(r.start), worker})
	if a.method != method || a.path != path || a.body != body {
		r.broken("UNASKED", "%s %s: the worker got %s %s with %d bytes for %s %s with %d bytes", id, a.class, method, path, len(body), a.method, a.path, len(a.body))
	}
	if got := strings.Join(callers, ", "); got != a.caller {
		r.broken("UNASKED", "%s %s: %s is %q, the request began beside %q", id, a.class, callerHeader, got, a.caller)
	}
	if a.unsafe && len(a.runs) > 1 {
		r.broken("TWICE", "%s %s ran at %s and at %s", id, a.class, a.runs[0].worker, worker)
	}
	r.checkRefused(a)
}

// answered records the answer to a client. status 0 is a connection that ended.
func (r *recorder) gotAnswer(a *attempt, status int, seal, echo string, whole bool, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.status = status
	r.answers[status]++
	r.line("answered %s %d seal=%q whole=%v %s", a.id, status, seal, whole, detail)
	if status/100 == 2 {
		switch {
		case seal == "":
			r.broken("MIXED", "%s %s: success without a seal", a.id, a.class)
		case echo != a.id, !whole:
			r.broken("MIXED", "%s %s: the answer is that of %q, whole=%v", a.id, a.class, echo, whole)
		case len(a.runs) == 0:
			r.broken("MIXED", "%s %s: success without a run", a.id, a.class)
		}
	}
	r.checkRefused(a)
}

// checkRefused checks the promise of 429, 503, 408 and 421. The caller holds r.mu.
func (r *recorder) checkRefused(a *attempt) {
	switch a.status {
	case 429, 503, 408, 421:
		if a.unsafe && len(a.runs) > 0 {
			r.broken("REFUSED", "%s %s was answered %d and ran at %s", a.id, a.class, a.status, a.runs[0].worker)
		}
	}
}

// since returns the time of the record.
func (r *recorder) since() time.Duration { return time.Since(r.start) }

// served returns how many requests of clients were sent from one time to another, and how
// many of them were answered with success.
func (r *recorder) served(from, to time.Duration) (sent, served int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		if a.sentAt < from || a.sentAt >= to || classes[a.class].perSecond == 0 {
			continue
		}
		sent++
		if a.status/100 == 2 {
			served++
		}
	}
	return sent, served
}

// close ends the record and returns how often each rule was broken.
func (r *recorder) close() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := map[string]int{}
	for rule, texts := range r.breaks {
		count[rule] = len(texts)
	}
	r.line("requests %d, answers by status %v, rules broken %v", len(r.attempts), r.answers, count)
	_ = r.out.Flush()
	_ = r.file.Close()
	return count
}
