//go:build cgo && unix

package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/platform/platformtest"
	"pomelodoor.example/pomelodoor/standin"
)

// The limits of a daemon that a crowd meets, and the crowds. The crowds were chosen so
// that the daemon exceeded the bounds before it had an account of its memory.
const (
	// crowdMemoryMB is the memory of the daemon's machine, and the bound on its resident
	// memory.
	crowdMemoryMB = 96
	// fewDescriptors and manyDescriptors are the daemon's RLIMIT_NOFILE. Of those,
	// spareDescriptors must stay unused.
	fewDescriptors   = 512
	manyDescriptors  = 4096
	spareDescriptors = 64

	bodyCallers = 160
	bodyBytes   = 1_000_000
	headCallers = 700
	// messageCallers send control messages of messageBytes, the longest that are accepted.
	messageCallers = 600
	messageBytes   = 256 << 10
	answerCallers  = 1000
	// answerRequests is how many requests each caller sends whose answers it does not read,
	// so that they exceed the buffers of its connection.
	answerRequests = 12
)

// crowded is a daemon in a process of its own, with an upstream beside it.
type crowded struct {
	// descriptors is its RLIMIT_NOFILE.
	descriptors int
	addresses   []string
	daemon      *exec.Cmd
	ended       chan struct{}
}

// The indices of crowded.addresses.
const (
	listenAddress = iota
	peerAddress
	controlAddress
	adminAddress
	readyAddress
	upstreamAddress
	addressCount
)

// startCrowded starts a daemon and waits until it serves. The process of another test may
// take a free port first.
func startCrowded(t *testing.T, descriptors int) *crowded {
	t.Helper()
	if testing.Short() {
		t.Skip("the memory of a process with the race detector says nothing")
	}
	if _, err := os.Stat("/proc/self/status"); err != nil {
		t.Skip("no /proc here: the memory and the descriptors of a process cannot be read")
	}
	const tries = 5
	for range tries {
		c := newCrowded(t, descriptors)
		for start := time.Now(); c.running() && time.Since(start) < 10*time.Second; time.Sleep(50 * time.Millisecond) {
			if c.send("").Served() {
				return c
			}
		}
	}
	t.Fatalf("no request is served after %d tries", tries)
	return nil
}

func newCrowded(t *testing.T, descriptors int) *crowded {
	t.Helper()
	store := platformtest.NewStore()
	endpoint, err := store.Open("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	c := &crowded{descriptors: descriptors, ended: make(chan struct{})}
	if c.addresses, err = standin.FreeAddrs(addressCount); err != nil {
		t.Fatal(err)
	}
	worker, err := platformtest.StartWorker(platformtest.WorkerConfig{
		ID: "i-1", Service: "faults", Zone: "a", Listen: c.addresses[upstreamAddress], Slots: 30, Work: time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(worker.Close)
	store.Configure(1, []platformtest.Route{{Name: "look", Prefix: "/look/", Safe: true, Service: "faults"}})
	store.Put(worker.Entry(false))
	a := c.addresses
	c.daemon = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors),
		os.Args[0], "run", "--instance", "faults-0", "--service", "faults", "--availability-zone", "a", "--listen", a[listenAddress],
		"--peer", a[peerAddress], "--control", a[controlAddress], "--admin", a[adminAddress], "--ready", a[readyAddress],
		"--upstream", a[upstreamAddress], "--store", endpoint.Addr(), "--bounds", platformtest.Bounds, "--assume", "retry", "shed", "loadAware", "probe")
	c.daemon.Env = append(os.Environ(), daemonEnv+"=1", fmt.Sprint("POMELODOOR_MEMORY_MB=", crowdMemoryMB))
	if err := c.daemon.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = c.daemon.Wait()
		close(c.ended)
	}()
	t.Cleanup(func() {
		_ = c.daemon.Process.Kill()
		<-c.ended
	})
	return c
}

// running reports whether the daemon runs.
func (c *crowded) running() bool {
	select {
	case <-c.ended:
		return false
	default:
		return true
	}
}

// send sends an ordinary request over a connection of its own.
func (c *crowded) send(body string) platformtest.Result {
	caller := platformtest.NewCaller()
	defer caller.Close()
	return caller.Send(c.addresses[listenAddress], platformtest.Request{
		Token: fmt.Sprint("ordinary-", time.Now().UnixNano()), Method: http.MethodPost, Path: "/look/ordinary", Body: body, Timeout: 2 * time.Second,
	})
}

// check checks that the daemon has stayed within its bounds, and that an ordinary request
// and a large one are served while the crowd is there.
func (c *crowded) check(t *testing.T, mostOpen int) {
	t.Helper()
	for name, body := range map[string]string{"small": "a", "large": strings.Repeat("b", bodyBytes)} {
		c.checkServed(t, name, body)
	}
	if !c.running() {
		t.Fatal("the daemon has ended")
	}
	peak := c.peakMB(t)
	mostOpen = max(mostOpen, c.open(t))
	t.Logf("peak of resident memory %d MB, %d descriptors", peak, mostOpen)
	if peak > crowdMemoryMB {
		t.Errorf("the daemon had %d MB of memory, want at most %d", peak, crowdMemoryMB)
	}
	if most := c.descriptors - spareDescriptors; mostOpen > most {
		t.Errorf("the daemon had %d open descriptors, want at most %d", mostOpen, most)
	}
}

// checkServed checks that a request is served. A refusal may be repeated, as callers do.
func (c *crowded) checkServed(t *testing.T, name, body string) {
	t.Helper()
	const tries = 10
	var last platformtest.Result
	for range tries {
		if last = c.send(body); last.Served() {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	t.Errorf("a %s request is not served after %d tries: last %+v", name, tries, last)
}

// peakMB returns the highest resident memory of the daemon so far.
func (c *crowded) peakMB(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.daemon.Process.Pid))
	if err != nil {
		t.Fatalf("the daemon has ended: %v", err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); fields[0] == "VmHWM:" {
			kB, err := strconv.Atoi(fields[1])
			if err != nil {
				t.Fatal(err)
			}
			return kB / 1024
		}
	}
	t.Fatal("the status of the process has no VmHWM")
	return 0
}

// open returns how many descriptors the daemon has open.
func (c *crowded) open(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.daemon.Process.Pid))
	if err != nil {
		t.Fatalf("the daemon has ended: %v", err)
	}
	return len(entries)
}

// gather runs one function for each caller of a crowd, some at a time, and returns the most
// descriptors that the daemon had open. The connections stay open until the end of the test.
func (c *crowded) gather(t *testing.T, callers int, join func(i int, dial func(address string) (net.Conn, error))) int {
	t.Helper()
	const atOnce = 40
	var (
		mu    sync.Mutex
		conns []net.Conn
		wg    sync.WaitGroup
		slots = make(chan struct{}, atOnce)
	)
	t.Cleanup(func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	})
	dial := func(address string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: time.Second, Control: smallBuffers}
		conn, err := dialer.Dial("tcp", address)
		if err != nil {
			return nil, err
		}
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, conn)
		// A daemon that has stopped reading must not keep the test.
		return conn, conn.SetDeadline(time.Now().Add(5 * time.Second))
	}
	most := 0
	for i := range callers {
		slots <- struct{}{}
		wg.Go(func() {
			join(i, dial)
			<-slots
		})
		if i%20 == 0 {
			most = max(most, c.open(t))
		}
	}
	wg.Wait()
	return max(most, c.settle(t))
}

// settle waits until the daemon has accepted the connections that wait in its backlogs, and
// returns the most descriptors that it had open meanwhile.
func (c *crowded) settle(t *testing.T) int {
	t.Helper()
	const same, limit = 5, 100
	most, before, times := 0, 0, 0
	for range limit {
		now := c.open(t)
		if times++; now != before {
			before, times = now, 0
		}
		if most = max(most, now); times == same {
			break
		}
		time.Sleep(30 * time.Millisecond)
	}
	return most
}

// smallBuffers gives a connection the buffers of a link with short packets; with those of
// the loopback interface, megabytes of answers fit into the kernel.
func smallBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
	})
}

// head returns a request head that ends before its last field.
func head(i int) string {
	request := platformtest.Request{Token: fmt.Sprint("crowd-", i), Method: http.MethodPost, Path: "/look/crowd", Timeout: time.Minute}
	text, _, _ := strings.Cut(request.Text(), "Content-Length")
	return text
}

// forwardedHead returns a request head like those that daemons send to each other.
func forwardedHead(i int) string {
	return head(i) + fmt.Sprintf("Pomelodoor-Call: %016x\r\nPomelodoor-Deadline-Ms: 60000\r\nPomelodoor-Forward: f=x&s=faults\r\n", i)
}

// chunked returns a body in chunks, without the last one.
func chunked(size int) []byte {
	var b bytes.Buffer
	chunk := bytes.Repeat([]byte("c"), size)
	for sent := 0; sent+size <= bodyBytes; sent += size {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", size, chunk)
	}
	return b.Bytes()
}

// inPieces writes a body in pieces.
func inPieces(w io.Writer, body []byte) {
	const pieces = 50
	size := len(body)/pieces + 1
	for len(body) > 0 {
		n := min(size, len(body))
		if _, err := w.Write(body[:n]); err != nil {
			return
		}
		body = body[n:]
		time.Sleep(time.Millisecond)
	}
}

// TestCrowdOfIncompleteBodies guards against a process that runs out of memory: many
// callers send bodies of legal size nearly whole, and keep their connections open.
func TestCrowdOfIncompleteBodies(t *testing.T) {
	const (
		byLength  = "Content-Length: 1000000\r\n\r\n"
		inChunks  = "Transfer-Encoding: chunked\r\n\r\n"
		allAtOnce = false
		piecewise = true
	)
	cut := bytes.Repeat([]byte("a"), bodyBytes-1)
	large, small := chunked(64<<10), chunked(16)
	tests := map[string]struct {
		port    int
		head    func(int) string
		framing string
		body    []byte
		pieces  bool
	}{
		"by length":                         {listenAddress, head, byLength, cut, allAtOnce},
		"by length, in pieces":              {listenAddress, head, byLength, cut, piecewise},
		"large chunks":                      {listenAddress, head, inChunks, large, allAtOnce},
		"large chunks, in pieces":           {listenAddress, head, inChunks, large, piecewise},
		"small chunks":                      {listenAddress, head, inChunks, small, allAtOnce},
		"small chunks, in pieces":           {listenAddress, head, inChunks, small, piecewise},
		"port of daemons, by length":        {peerAddress, forwardedHead, byLength, cut, allAtOnce},
		"port of daemons, chunks in pieces": {peerAddress, forwardedHead, inChunks, large, piecewise},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := startCrowded(t, fewDescriptors)
			mostOpen := c.gather(t, bodyCallers, func(i int, dial func(string) (net.Conn, error)) {
				conn, err := dial(c.addresses[test.port])
				if err != nil {
					return
				}
				// Errors are refusals, which are allowed.
				_, _ = io.WriteString(conn, test.head(i)+test.framing)
				if test.pieces {
					inPieces(conn, test.body)
					return
				}
				_, _ = conn.Write(test.body)
			})
			c.check(t, mostOpen)
		})
	}
}

// TestCrowdOfHalfHeads guards against a daemon without descriptors: many callers open
// connections, send part of a head, and keep them open.
func TestCrowdOfHalfHeads(t *testing.T) {
	tests := map[string][]int{
		"callers' port":     {listenAddress},
		"port of daemons":   {peerAddress},
		"other ports":       {peerAddress, adminAddress, readyAddress},
		"all ports in turn": {listenAddress, peerAddress, adminAddress, readyAddress},
	}
	for name, ports := range tests {
		t.Run(name, func(t *testing.T) {
			c := startCrowded(t, fewDescriptors)
			mostOpen := c.gather(t, headCallers, func(i int, dial func(string) (net.Conn, error)) {
				conn, err := dial(c.addresses[ports[i%len(ports)]])
				if err == nil {
					_, _ = io.WriteString(conn, head(i)+"X-Long: "+strings.Repeat("h", 8000))
				}
			})
			c.check(t, mostOpen)
		})
	}
}

// TestCrowdOfHalfMessages guards against control messages that never end: the process keeps
// what has arrived of each.
func TestCrowdOfHalfMessages(t *testing.T) {
	message := append(binary.AppendUvarint(nil, messageBytes), bytes.Repeat([]byte("m"), messageBytes-1)...)
	for name, descriptors := range map[string]int{"few descriptors": fewDescriptors, "many descriptors": manyDescriptors} {
		t.Run(name, func(t *testing.T) {
			c := startCrowded(t, descriptors)
			mostOpen := c.gather(t, messageCallers, func(_ int, dial func(string) (net.Conn, error)) {
				conn, err := dial(c.addresses[controlAddress])
				if err == nil {
					_, _ = conn.Write(message)
				}
			})
			c.check(t, mostOpen)
		})
	}
}

// TestCrowdOfUnreadAnswers guards against answers that are kept for callers which never
// read them.
func TestCrowdOfUnreadAnswers(t *testing.T) {
	for name, descriptors := range map[string]int{"few descriptors": fewDescriptors, "many descriptors": manyDescriptors} {
		t.Run(name, func(t *testing.T) {
			c := startCrowded(t, descriptors)
			mostOpen := c.gather(t, answerCallers, func(i int, dial func(string) (net.Conn, error)) {
				conn, err := dial(c.addresses[listenAddress])
				if err == nil {
					_, _ = io.WriteString(conn, strings.Repeat(longAnswerRequest(i), answerRequests))
				}
			})
			c.check(t, mostOpen)
		})
	}
}

// longAnswerRequest returns a request whose answer is long, but short enough to be buffered
// whole.
func longAnswerRequest(i int) string {
	const least, most = 58_000, 64_000
	for n := 0; ; n++ {
		token := fmt.Sprintf("unread-%04d-%06d-%s", i, n, strings.Repeat("t", 140))
		if length := len(platformtest.AnswerBody(token)); length >= least && length <= most {
			return platformtest.Request{Token: token, Method: http.MethodGet, Path: "/look/long", Timeout: time.Minute}.Text()
		}
	}
}
