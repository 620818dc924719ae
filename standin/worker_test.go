package standin

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

func newTestWorker(t *testing.T, cfg WorkerConfig) *Worker {
	t.Helper()
	w, err := NewWorker(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

// postOrder sends an order with a token and a body. It returns the status and
// the result of checking the response.
func postOrder(w *Worker, token, body string, fillerBytes int, header ...string) (int, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + w.Addr() + "/orders")
	req.Header.SetMethod("POST")
	req.Header.Set(headerToken, token)
	req.Header.Set(headerAnswerBytes, fmt.Sprint(fillerBytes))
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	req.SetBodyString(body)
	client := fasthttp.HostClient{Addr: w.Addr(), MaxIdemponentCallAttempts: 1}
	if err := client.DoTimeout(req, resp, 5*time.Second); err != nil {
		return 0, err
	}
	sum, _, _ := checksum(strings.NewReader(body))
	got := string(resp.Header.Peek(headerAnswerSum))
	return resp.StatusCode(), checkResponseBody(resp.Body(), got, token, sum, fillerBytes)
}

func TestWorkerResponses(t *testing.T) {
	w := newTestWorker(t, WorkerConfig{ID: "w"})
	tests := map[string]struct {
		body        string
		fillerBytes int
	}{
		"empty":        {},
		"small":        {body: "hello", fillerBytes: 100},
		"large answer": {body: "x", fillerBytes: 3 << 20},
		"large body":   {body: strings.Repeat("photo", 1<<20), fillerBytes: 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			code, err := postOrder(w, "token-"+name[:5], tt.body, tt.fillerBytes, "Idempotency-Key", "k1", "Pomelodoor-Call", "c1")
			if code != 200 || err != nil {
				t.Fatalf("got status %d, error %v, want 200 and no error", code, err)
			}
			all := w.Executions()
			e := all[len(all)-1]
			if e.Key != "k1" || e.Call != "c1" || e.Bytes != int64(len(tt.body)) || !e.Ran() || e.EndUs < e.StartUs {
				t.Errorf("recorded execution: got %+v, want key k1, call c1 and the complete body", e)
			}
		})
	}
}

func TestCheckResponseBody(t *testing.T) {
	sum, _, _ := checksum(strings.NewReader("body"))
	good := make([]byte, responseSize("t", sum, 50))
	r := responseBody("t", sum, 50)
	for n := 0; n < len(good); {
		k, _ := r.Read(good[n:])
		n += k
	}
	goodSum, _, _ := checksum(strings.NewReader(string(good)))
	flipped := append([]byte(nil), good...)
	flipped[len(flipped)-1] ^= 1
	tests := map[string]struct {
		body    []byte
		sum     string
		token   string
		bodySum string
		n       int
		wantOK  bool
	}{
		"match":        {good, goodSum, "t", sum, 50, true},
		"other token":  {good, goodSum, "u", sum, 50, false},
		"other body":   {good, goodSum, "t", "0", 50, false},
		"cut short":    {good[:60], goodSum, "t", sum, 50, false},
		"flipped byte": {flipped, goodSum, "t", sum, 50, false},
		"other length": {good, goodSum, "t", sum, 51, false},
		"no line":      {nil, goodSum, "t", sum, 50, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := checkResponseBody(tt.body, tt.sum, tt.token, tt.bodySum, tt.n)
			if (err == nil) != tt.wantOK {
				t.Errorf("got error %v, want none exactly if wantOK", err)
			}
		})
	}
}

func TestWorkerSlotsLimitConcurrency(t *testing.T) {
	w := newTestWorker(t, WorkerConfig{Slots: 2, ServiceTime: 20 * time.Millisecond})
	start := time.Now()
	var done sync.WaitGroup
	for i := range 10 {
		done.Go(func() {
			if code, err := postOrder(w, fmt.Sprintf("t%d", i), "", 0); code != 200 || err != nil {
				t.Errorf("got status %d, error %v, want 200 and no error", code, err)
			}
		})
	}
	time.Sleep(15 * time.Millisecond)
	if load := w.currentLoad(time.Now()); load.InFlight < 8 || load.Slots != 2 {
		t.Errorf("load: got %+v, want at least 8 requests in flight and 2 slots", load)
	}
	done.Wait()
	if took := time.Since(start); took < 60*time.Millisecond {
		t.Errorf("ten requests of 20 ms on two slots took %v, want at least 60ms", took)
	}
}

func TestWorkerModes(t *testing.T) {
	w := newTestWorker(t, WorkerConfig{ServiceTime: 5 * time.Millisecond, ColdTime: time.Minute})
	timed := func() (int, time.Duration) {
		start := time.Now()
		code, _ := postOrder(w, "t", "", 0)
		return code, time.Since(start)
	}
	set := func(query string) { sendRequest(t, "POST", w.AdminAddr(), "/admin/set?"+query, "") }
	set("factor=20")
	if _, took := timed(); took < 20*time.Millisecond {
		t.Errorf("request with factor 20 took %v, want at least 20ms", took)
	}
	set("factor=1&failFast=on")
	if code, _ := timed(); code != 500 {
		t.Errorf("failing fast: got status %d, want 500", code)
	}
	set("failFast=off&cold=on")
	if load := w.currentLoad(time.Now()); load.State != Cold {
		t.Errorf("cold worker: got state %s, want cold", load.State)
	}
	if f, _ := w.slowdown(time.Now()); f < 9 {
		t.Errorf("cold worker: got service time factor %v, want at least 9", f)
	}
	set("cold=off&drain=on")
	_, body := get(t, w.Addr(), "/load")
	var load Load
	decode(t, body, &load)
	if load.State != Draining {
		t.Errorf("draining worker: got load %s, want state draining", body)
	}
}

func TestWorkerCrashAndRestart(t *testing.T) {
	w := newTestWorker(t, WorkerConfig{Slots: 1, ServiceTime: 100 * time.Millisecond, RestartDelay: 300 * time.Millisecond})
	var done sync.WaitGroup
	for i := range 3 {
		done.Go(func() {
			if _, err := postOrder(w, fmt.Sprintf("t%d", i), "", 0); err == nil {
				t.Error("request in flight during a crash: got a response, want an error")
			}
		})
	}
	time.Sleep(30 * time.Millisecond)
	w.Crash()
	done.Wait()
	if _, err := postOrder(w, "t", "", 0); err == nil {
		t.Error("request to a crashed worker: got a response, want an error")
	}
	time.Sleep(600 * time.Millisecond)
	if n := len(w.Executions()); n != 1 {
		t.Errorf("got %d executions, want 1 for the request that held the slot", n)
	}
	if code, err := postOrder(w, "t9", "", 0); code != 200 || err != nil {
		t.Errorf("after the restart: got status %d, error %v, want 200 and no error", code, err)
	}
	if _, err := postOrder(w, "bad", "", 0, headerCrash, "1"); err == nil {
		t.Error("request that crashes the worker: got a response, want an error")
	}
	if w.Crashes() != 2 {
		t.Errorf("got %d crashes, want 2", w.Crashes())
	}
}

func TestWorkerTruncatedBodyDoesNotRun(t *testing.T) {
	w := newTestWorker(t, WorkerConfig{})
	for name, head := range map[string]string{
		"length":  "Content-Length: 100\r\n\r\nhalf",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n64\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", w.Addr())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = fmt.Fprintf(c, "POST /o HTTP/1.1\r\nHost: x\r\nX-Token: %s\r\n%s", name, head)
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = bufio.NewReader(c).ReadString('\n')
			_ = c.Close()
			for _, e := range w.Executions() {
				if e.Token == name && e.Ran() {
					t.Errorf("request with a truncated body ran: %+v", e)
				}
			}
		})
	}
}
