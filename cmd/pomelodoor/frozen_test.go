//go:build cgo && unix

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/platform/platformtest"
	"pomelodoor.example/pomelodoor/standin"
)

// daemonEnv makes the test binary a daemon.
const daemonEnv = "POMELODOOR_TEST_DAEMON"

// pair is two daemons in processes of their own, at two loopback addresses. One upstream
// serves, beside the first or the second.
type pair struct {
	listen  string
	daemons [2]*exec.Cmd
	// ended are closed when the daemons have ended.
	ended  [2]chan struct{}
	worker *platformtest.Worker
}

// startPair starts the daemons, and the upstream beside the one with the given index, and
// waits until it serves. The process of another test may take a free port first.
func startPair(t *testing.T, upstream, slots int, work time.Duration) *pair {
	t.Helper()
	const tries = 5
	for range tries {
		p := newPair(t, upstream, slots, work)
		for start := time.Now(); p.running() && time.Since(start) < 10*time.Second; time.Sleep(50 * time.Millisecond) {
			if p.served() {
				return p
			}
		}
	}
	t.Fatalf("no request is served after %d tries", tries)
	return nil
}

func newPair(t *testing.T, upstream, slots int, work time.Duration) *pair {
	t.Helper()
	store := platformtest.NewStore()
	endpoint, err := store.Open("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	addresses, err := standin.FreeAddrs(6)
	if err != nil {
		t.Fatal(err)
	}
	p := &pair{listen: addresses[0]}
	at := func(i, n int) string {
		return strings.Replace(addresses[n], "127.0.0.1", fmt.Sprintf("127.0.0.%d", i+1), 1)
	}
	p.worker, err = platformtest.StartWorker(platformtest.WorkerConfig{
		ID: "i-1", Service: "faults", Zone: "a", Listen: at(upstream, 5), Slots: slots, Work: work,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.worker.Close)
	store.Configure(1, []platformtest.Route{{Name: "look", Prefix: "/look/", Safe: true, Service: "faults"}})
	store.Put(p.worker.Entry(false))
	for i := range p.daemons {
		c := exec.Command(os.Args[0], "run", "--instance", fmt.Sprintf("faults-%d", i), "--service", "faults", "--availability-zone", "a",
			"--listen", at(i, 0), "--peer", at(i, 1), "--control", at(i, 2), "--admin", at(i, 3), "--ready", at(i, 4), "--upstream", at(i, 5),
			"--store", endpoint.Addr(), "--bounds", platformtest.Bounds, "--assume", "retry", "shed", "loadAware", "probe")
		c.Env = append(os.Environ(), daemonEnv+"=1")
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		p.daemons[i], p.ended[i] = c, make(chan struct{})
		go func() {
			_ = c.Wait()
			close(p.ended[i])
		}()
		t.Cleanup(func() {
			_ = c.Process.Kill()
			<-p.ended[i]
		})
	}
	return p
}

// running reports whether both daemons run.
func (p *pair) running() bool {
	for _, ended := range p.ended {
		select {
		case <-ended:
			return false
		default:
		}
	}
	return true
}

// served reports whether a request is served.
func (p *pair) served() bool {
	caller := platformtest.NewCaller()
	defer caller.Close()
	return caller.Send(p.listen, platformtest.Request{
		Token: fmt.Sprint("warm-", time.Now().UnixNano()), Method: http.MethodGet, Path: "/look/warm", Timeout: time.Second,
	}).Served()
}

// signal sends a signal to a daemon.
func (p *pair) signal(t *testing.T, i int, s syscall.Signal) {
	t.Helper()
	if err := p.daemons[i].Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// send opens connections, sends a request on each, and returns them.
func (p *pair) send(t *testing.T, count int) []net.Conn {
	t.Helper()
	conns := make([]net.Conn, count)
	for i := range conns {
		c, err := net.Dial("tcp", p.listen)
		if err != nil {
			t.Fatal(err)
		}
		request := platformtest.Request{Token: fmt.Sprint("left-", i), Method: http.MethodGet, Path: "/look/left", Timeout: 5 * time.Second}
		if _, err = io.WriteString(c, request.Text()); err != nil {
			t.Fatal(err)
		}
		conns[i] = c
	}
	return conns
}

// TestCallersLeaveWhileDaemonIsFrozen guards against GONE: a daemon that did not run for
// a while, but is not so late that it regards itself as paused, sends on what it then
// finds, although the callers have left in the meantime.
func TestCallersLeaveWhileDaemonIsFrozen(t *testing.T) {
	const (
		callers = 30
		// few is how many may still run, as the users' rule says.
		few    = 3
		frozen = 800 * time.Millisecond
	)
	tests := map[string]struct {
		upstream, frozen int
		// sendFirst sends the requests before the daemon is frozen.
		sendFirst bool
		slots     int
		work      time.Duration
		maxLate   int
	}{
		"not read, upstream beside the daemon":     {upstream: 0, frozen: 0, slots: 30, work: time.Millisecond, maxLate: few},
		"not read, upstream elsewhere":             {upstream: 1, frozen: 0, slots: 30, work: time.Millisecond, maxLate: few},
		"on the way to the other daemon":           {upstream: 1, frozen: 1, slots: 30, work: time.Millisecond, maxLate: few},
		"waiting in the queue beside the daemon":   {upstream: 0, frozen: 0, sendFirst: true, slots: 2, work: 300 * time.Millisecond, maxLate: few},
		"waiting in the queue of the other daemon": {upstream: 1, frozen: 1, sendFirst: true, slots: 2, work: 300 * time.Millisecond, maxLate: few},
		// The frozen daemon can't learn that its callers leave.
		"waiting elsewhere, the caller's daemon frozen": {upstream: 1, frozen: 0, sendFirst: true, slots: 2, work: 300 * time.Millisecond, maxLate: callers},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPair(t, test.upstream, test.slots, test.work)
			var conns []net.Conn
			if test.sendFirst {
				conns = p.send(t, callers)
				time.Sleep(50 * time.Millisecond)
			}
			p.signal(t, test.frozen, syscall.SIGSTOP)
			if !test.sendFirst {
				conns = p.send(t, callers)
				time.Sleep(50 * time.Millisecond)
			}
			for _, c := range conns {
				_ = c.Close()
			}
			left := time.Now()
			time.Sleep(frozen)
			p.signal(t, test.frozen, syscall.SIGCONT)
			time.Sleep(700 * time.Millisecond)
			late, all := 0, 0
			for _, r := range p.worker.Runs() {
				if !strings.HasPrefix(r.Token, "left-") {
					continue
				}
				all++
				if r.StartedAt.Sub(left) > frozen/2 {
					late++
				}
			}
			t.Logf("%d requests ran, %d of them late", all, late)
			if late > test.maxLate {
				t.Errorf("%d of %d requests ran more than %s after their callers had left, want at most %d", late, callers, frozen/2, test.maxLate)
			}
		})
	}
}
