package standin

import (
	"os/exec"
	"testing"
	"time"
)

// processStarters is the number of goroutines that keep starting processes while
// the test closes and reopens the listener.
const processStarters = 4

// TestListenRightAfterClose listens on an address directly after closing its
// listener, while other goroutines start processes. A child process holds the
// parent's file descriptors until exec, which must not make Listen fail.
func TestListenRightAfterClose(t *testing.T) {
	closers := map[string]func(*Listener){
		"closed": func(l *Listener) { _ = l.Close() },
		"killed": (*Listener).Kill,
	}
	for name, closeListener := range closers {
		t.Run(name, func(t *testing.T) {
			defer startProcesses(t)()
			l, err := Listen("", 0)
			if err != nil {
				t.Fatal(err)
			}
			addr := l.Addr().String()
			for stop := time.Now().Add(time.Second); time.Now().Before(stop); {
				closeListener(l)
				if l, err = Listen(addr, 0); err != nil {
					t.Fatalf("Listen on the same address: got %v, want no error", err)
				}
			}
			l.Kill()
		})
	}
}

// startProcesses starts short-lived processes until the returned function is
// called.
func startProcesses(t *testing.T) func() {
	t.Helper()
	stop := make(chan struct{})
	ended := make(chan error, processStarters)
	for range processStarters {
		go func() {
			for {
				select {
				case <-stop:
					ended <- nil
					return
				default:
				}
				if err := exec.Command("true").Run(); err != nil {
					ended <- err
					return
				}
			}
		}()
	}
	return func() {
		close(stop)
		for range processStarters {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	}
}
