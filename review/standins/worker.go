package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	workerSlots = 9
	workerQueue = 36
	// healthTime is how long an answer of the health path takes.
	healthTime = 6 * time.Millisecond
	// callShare is the share of the runs that make calls, callTimes how many one after the other.
	callShare = 0.7
	callTimes = 2
)

// worker is a stand-in of an application worker.
type worker struct {
	f       *fleet
	m       *machine
	slots   chan struct{}
	waiting atomic.Int64
	running atomic.Int64
	calls   *client

	// mu guards the fields below it.
	mu sync.Mutex
	id string
	// conns are the open connections to the worker.
	conns map[net.Conn]bool
	// shed is the share of the requests that the worker rejects, late the share of its
	// answers of which a second copy comes where the next one is due.
	shed float64
	late float64
	// unframed makes the answers of the health path end with their connection, without
	// a length.
	unframed bool
}

func startWorker(f *fleet, m *machine) (*worker, error) {
	l, err := net.Listen("tcp", m.address(portWorker))
	if err != nil {
		return nil, err
	}
	w := &worker{f: f, m: m, id: fmt.Sprintf("i-%08x", rand.Uint32()), slots: make(chan struct{}, workerSlots), conns: map[net.Conn]bool{}}
	w.calls = newClient(f, m)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
	w.register("ready")
	return w, nil
}

func (w *worker) register(state string) {
	w.f.store.put("servers/"+w.name(), map[string]any{
		"address": w.m.address(portWorker), "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": w.m.service, "version": "v1", "zone": w.m.zone, "slots": workerSlots},
		"status": map[string]any{"state": state, "sequence": 1, coldField: "0ms"},
	})
}

// restart ends the worker and starts it again as a new one at the same address.
func (w *worker) restart(unframed bool) {
	w.f.store.remove("servers/" + w.name())
	w.mu.Lock()
	w.id, w.unframed = fmt.Sprintf("i-%08x", rand.Uint32()), unframed
	for c := range w.conns {
		_ = c.Close()
	}
	w.mu.Unlock()
	w.register("ready")
	w.f.rec.note("worker %s starts beside %s, health answers without a length: %v", w.name(), w.m.name, unframed)
}

// name returns the id of the worker.
func (w *worker) name() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

func (w *worker) healthUnframed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unframed
}

func (w *worker) setFaults(shed, late float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shed, w.late = shed, late
}

// draw returns whether to reject the request, and whether to repeat its answer.
func (w *worker) draw() (shed, late bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rand.Float64() < w.shed, rand.Float64() < w.late
}

// answer is an answer of the worker: its head without the length, and its body.
type answer struct {
	status int
	header [][2]string
	body   string
	// unframed is true if the body ends with the connection, without a length.
	unframed bool
}

func (a answer) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for _, h := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	if a.unframed {
		fmt.Fprintf(&b, "Connection: close\r\n\r\n%s", a.body)
		return b.Bytes()
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	return b.Bytes()
}

func (w *worker) load() string {
	return fmt.Sprintf("%d,%d,%d,100", w.running.Load(), w.waiting.Load(), workerSlots)
}

// serve answers the requests of one connection, one at a time.
func (w *worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	var second []byte
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if second != nil {
			// The second copy of the answer before comes where this one is due.
			if _, err := c.Write(second); err != nil {
				return
			}
			second = nil
		}
		a, isRequest := w.handle(req, string(body))
		text := a.bytes()
		if _, err := c.Write(text); err != nil || a.unframed {
			return
		}
		if _, late := w.draw(); late && isRequest {
			w.f.rec.note("second copy of the answer %d to %q follows at %s", a.status, req.Header.Get(attemptHeader), w.name())
			second = text
		}
	}
}

func (w *worker) handle(req *http.Request, body string) (a answer, isRequest bool) {
	if req.URL.Path == "/health" {
		time.Sleep(healthTime)
		return answer{
			status: 200, header: [][2]string{{instanceHeader, w.name()}, {loadHeader, w.load()}}, body: "ok", unframed: w.healthUnframed(),
		}, false
	}
	id := req.Header.Get(attemptHeader)
	if want := req.Header.Get(expectHeader); want != "" && want != w.name() {
		return answer{status: 421, header: [][2]string{{instanceHeader, w.name()}}}, true
	}
	if id == "" {
		return answer{status: 400, header: [][2]string{{notRunHeader, "1"}}}, true
	}
	if shed, _ := w.draw(); shed || !w.acquire() {
		// As PROTOCOL.md and the bench's examples show it: no request id.
		w.f.rec.note("rejected %s at %s", id, w.name())
		return answer{status: 503, header: [][2]string{{notRunHeader, "1"}}}, true
	}
	defer func() { w.running.Add(-1); <-w.slots }()
	w.f.rec.ran(id, w.name(), req.Method, req.RequestURI, body, req.Header.Values(callerHeader))
	deadline := time.Second
	if ms, err := strconv.ParseFloat(req.Header.Get(deadlineHeader), 64); err == nil {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	end := time.Now().Add(deadline)
	header := [][2]string{{attemptHeader, id}, {sealHeader, seal(id)}, {loadHeader, w.load()}}
	if !w.callOthers(req.URL.Path, end) {
		return answer{status: 500, header: header, body: "a call failed"}, true
	}
	time.Sleep(min(workOf(req.URL.Path), time.Until(end)))
	if !time.Now().Before(end) {
		return answer{status: 504, header: header, body: "deadline"}, true
	}
	return answer{status: 200, header: header, body: bodyFor(id)}, true
}

// acquire waits for a slot, or returns false if the queue is full.
func (w *worker) acquire() bool {
	if w.waiting.Add(1) > workerQueue {
		w.waiting.Add(-1)
		return false
	}
	w.slots <- struct{}{}
	w.waiting.Add(-1)
	w.running.Add(1)
	return true
}

// callOthers makes the calls of a run through the daemon of the same machine, one after
// the other, and reports whether all succeeded.
func (w *worker) callOthers(path string, end time.Time) bool {
	class := ""
	switch {
	case strings.HasPrefix(path, classes["route-lookup"].prefix):
		class = "booking-check"
	case strings.HasPrefix(path, classes["wipe-booking"].prefix):
		class = "photo-check"
	}
	if class == "" || rand.Float64() >= callShare {
		return true
	}
	for range callTimes {
		if w.calls.call(class, min(time.Until(end), classes[class].deadline)) != http.StatusOK {
			return false
		}
	}
	return true
}

// workOf is how long the work on a request takes.
func workOf(path string) time.Duration {
	for _, c := range classes {
		if strings.HasPrefix(path, c.prefix) {
			return time.Duration(float64(c.work) * (0.7 + 0.6*rand.Float64()))
		}
	}
	return 50 * time.Millisecond
}

func seal(id string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte("seal " + id))
	return fmt.Sprintf("%016x", h.Sum64())
}

// bodyFor is the body of the answer to a request.
func bodyFor(id string) string { return "answer to " + id + " " + seal(id) }
